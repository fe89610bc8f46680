package admission

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// playKind is a kind of jobs: steps one after the other, of 8 tasks each.
type playKind struct {
	priority, steps int
	seconds, cores  float64
}

// playJob is a job in a pool that serves tasks in the order of package scheduler:
// jobs that can meet their objective first, then late ones, each by priority, value
// and age.
type playJob struct {
	playKind
	submitted, accepted float64
	step                int
	// waiting and running are the tasks of the current step.
	waiting, running, attempts int
	// flagged is set if the job would be refused.
	flagged bool
}

const (
	playTick, playTasks = 0.05, 8
	playEntries         = 42
	playCores           = 400.0
)

func (j *playJob) objective() float64 { return 1.6*float64(j.steps)*j.seconds + 0.6 }
func (j *playJob) pathLeft() float64  { return float64(j.steps-j.step) * j.seconds }
func (j *playJob) waitingWork() float64 {
	return (float64(max(0, j.steps-j.step-1)*playTasks) + float64(j.waiting)) * j.cores * j.seconds
}
func (j *playJob) value() float64 {
	return 1 / (j.waitingWork() + float64(j.running)*j.cores*j.seconds)
}

// class is 0 if the job can meet its objective, 1 if it can be of use, 2 otherwise.
func (j *playJob) class(now float64) int { return j.classOf(now - j.accepted + j.pathLeft()) }

func (j *playJob) classOf(age float64) int {
	switch {
	case age <= j.objective():
		return 0
	case age <= LateFactor*j.objective():
		return 1
	}
	return 2
}

// playResult counts jobs by the class of their age at the end: Ended from their
// acceptance, First from their first attempt, with the Value that they earn. Flagged
// counts jobs that would be refused, Refused those that were in the end, and AtOnce
// those that were at their first attempt.
type playResult struct {
	Ended, First, Flagged [3]int
	Value                 float64
	Refused, AtOnce       int
}

func (r *playResult) add(o playResult) {
	for i := range 3 {
		r.Ended[i] += o.Ended[i]
		r.First[i] += o.First[i]
		r.Flagged[i] += o.Flagged[i]
	}
	r.Value += o.Value
	r.Refused += o.Refused
	r.AtOnce += o.AtOnce
}

// load is what queues ask for: the kinds of jobs of each, and the share of the pool's
// capacity during a burst and afterwards.
type load struct {
	kinds  []playKind
	demand [][2]float64
	burst  float64
}

// weight is that of package scheduler: kinds of the same priority are of one queue.
func (l *load) weight(j *playJob) float64 {
	work, jobs := 0.0, 0.0
	for i, k := range l.kinds {
		if k.priority == j.priority {
			work += l.demand[i][0]
			jobs += l.demand[i][0] / (float64(k.steps*playTasks) * k.cores * k.seconds)
		}
	}
	return 0.3 + 0.7*float64(j.steps*playTasks)*j.cores*j.seconds*jobs/work
}

// play submits jobs of the queues for 100 s. Jobs are refused unless retries is
// negative, and their callers return up to so many times.
func play(seed uint64, l load, retries int) playResult {
	arrival, random := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, 1))
	var result playResult
	var jobs, callers []*playJob
	type taskEnd struct {
		at  float64
		job *playJob
	}
	var ends []taskEnd
	gates := make([]*Gate, playEntries)
	for i := range gates {
		gates[i] = NewGate()
	}
	view, next := View{State: &State{}}, View{State: &State{}}
	free, arrivals := playCores, make([]float64, len(l.kinds))
	for tick := range int(160 / playTick) {
		now := float64(tick) * playTick
		for i, k := range l.kinds {
			share := l.demand[i][0]
			if now >= l.burst {
				share = l.demand[i][1]
			}
			if now >= 100 {
				share = 0
			}
			c := playJob{playKind: k, submitted: now, accepted: now, waiting: playTasks}
			for arrivals[i] += share * playCores * playTick / c.waitingWork(); arrivals[i] >= arrival.Float64(); arrivals[i]-- {
				job := c
				callers = append(callers, &job)
			}
		}
		for _, e := range ends {
			if e.at > now {
				continue
			}
			j := e.job
			free += j.cores
			if j.running--; j.running > 0 || j.waiting > 0 {
				continue
			}
			if j.step++; j.step < j.steps {
				j.waiting = playTasks
				continue
			}
			class := j.classOf(now - j.accepted)
			result.Ended[class]++
			first := j.classOf(now - j.submitted)
			result.First[first]++
			result.Value += []float64{1, 0.07, 0}[first] * l.weight(j)
			if j.flagged {
				result.Flagged[class]++
			}
		}
		ends = slices.DeleteFunc(ends, func(e taskEnd) bool { return e.at <= now })
		jobs = slices.DeleteFunc(jobs, func(j *playJob) bool { return j.step == j.steps })
		if tick%6 == 0 {
			view, next = next, View{State: publish(jobs, now), Version: int64(tick + 1), AsOf: seconds(now)}
		}
		var later []*playJob
		for _, c := range callers {
			if c.accepted > now {
				later = append(later, c)
				continue
			}
			d := gates[random.IntN(playEntries)].Decide(view, Job{
				Pool: "p", Work: c.waitingWork(), Rank: Rank(c.priority, c.value()),
				CriticalPath: seconds(c.pathLeft()), Objective: seconds(c.objective()),
			}, seconds(now))
			c.flagged = d.Refused
			if d.Refused && c.attempts == 0 {
				result.AtOnce++
			}
			switch {
			case !d.Refused || retries < 0:
				c.accepted = now
				jobs = append(jobs, c)
			case c.attempts == retries:
				result.Refused++
			default:
				c.attempts++
				c.accepted = now + math.Ceil(d.RetryAfter.Seconds())
				later = append(later, c)
			}
		}
		callers = later
		slices.SortStableFunc(jobs, func(a, b *playJob) int {
			return cmp.Or(cmp.Compare(a.class(now), b.class(now)), cmp.Compare(a.priority, b.priority),
				-cmp.Compare(a.value(), b.value()), cmp.Compare(a.accepted, b.accepted))
		})
		for _, j := range jobs {
			for free >= j.cores && j.waiting > 0 {
				free -= j.cores
				j.waiting--
				j.running++
				ends = append(ends, taskEnd{now + j.seconds, j})
			}
		}
	}
	result.Ended[2] += len(jobs)
	result.First[2] += len(jobs)
	result.Refused += len(callers)
	return result
}

// publish returns the state of the pool as the owner computes it.
func publish(jobs []*playJob, now float64) *State {
	var b Builder
	startable := 0.0
	for _, j := range jobs {
		if j.class(now) < 2 {
			startable += float64(j.waiting) * j.cores * j.seconds
			left := j.accepted - now - j.pathLeft()
			b.Add("", Rank(j.priority, j.value()), seconds(j.objective()+left), seconds(LateFactor*j.objective()+left), float64(j.waiting)*j.cores*j.seconds)
		}
	}
	s := &State{Entries: playEntries}
	if startable >= 2*playCores {
		s.Pools = []Pool{{Name: "p", Cores: playCores, Teams: b.Teams()}}
	}
	s.Bound()
	return s
}

var (
	alike = []playKind{{0, 1, 1.25, 2.4}, {0, 2, 1.25, 2.4}, {0, 3, 1.25, 2.4}, {0, 4, 1.25, 2.4}}
	mixed = []playKind{{0, 1, 10, 2.4}, {1, 3, 1.25, 2.4}}
	// steps has a queue whose jobs leave capacity while their steps wait for others.
	steps = []playKind{{0, 3, 4, 3}, {1, 2, 1, 2}}
)

// queueAlone is the load of a queue that asks for a multiple of its mean, which is 0.4
// of the pool, and besideAnother that beside a queue of lower priority.
func queueAlone(multiple, burst float64) load {
	q := [2]float64{multiple * 0.4 / 4, 0.4 / 20 / 4}
	return load{alike, [][2]float64{q, q, q, q}, burst}
}

func besideAnother(kinds []playKind, multiple, burst float64) load {
	return load{kinds, [][2]float64{{multiple * 0.4, 0.02}, {0.1, 0.1}}, burst}
}

// TestRefusalsCostNoCallerItsJob plays a queue that asks for several times its mean,
// which is 0.4 of the pool, beside one of lower priority. It guards against refusals of jobs that
// would have been of use, and says who is served with and without refusals.
func TestRefusalsCostNoCallerItsJob(t *testing.T) {
	for _, burst := range []float64{1, 5, 5.5, 6, 12} {
		check := func(name string, l load) {
			with, without := play(1, l, 4), play(1, l, -1)
			t.Logf("%s, %v times the mean: ended in time, late and useless: with refusals %v, without %v; refused %d; would be refused %v",
				name, burst, with.Ended, without.Ended, with.Refused, without.Flagged)
			if without.Flagged[0]+without.Flagged[1] > 0 {
				t.Errorf("%s, %v times the mean: %v of the jobs that would be refused end in time or late", name, burst, without.Flagged)
			}
			if with.Ended[0] < without.Ended[0] || with.Ended[0]+with.Ended[1] < without.Ended[0]+without.Ended[1] {
				t.Errorf("%s, %v times the mean: with refusals %v, without %v", name, burst, with.Ended, without.Ended)
			}
		}
		check("one queue", queueAlone(burst, 20))
		check("beside another queue", besideAnother(mixed, burst, 20))
	}
}

// TestRefusalsCostNoValue guards against refusals that lower the number of jobs that
// end in time or late, or the value that they earn, from their first attempt: for each
// seed if refused callers do not return, and over 20 seeds if they do. Beside a queue of
// several long steps, returning callers are not checked: docs/design/admission.md tells
// what they cost.
func TestRefusalsCostNoValue(t *testing.T) {
	check := func(name string, l load, seeds uint64, retries int) {
		var without, with playResult
		for seed := range seeds {
			w, r := play(seed+1, l, -1), play(seed+1, l, retries)
			if w.Flagged[0]+w.Flagged[1] > 0 {
				t.Errorf("%s, seed %d: %v of the jobs that would be refused end in time or late", name, seed+1, w.Flagged)
			}
			if retries == 0 && (r.First[0]+r.First[1] < w.First[0]+w.First[1] || r.Value < w.Value-1e-6) {
				t.Errorf("%s, seed %d: %+v with refusals, %+v without", name, seed+1, r, w)
			}
			without.add(w)
			with.add(r)
		}
		t.Logf("%s, %d retries: in time, late, useless and value: with refusals %v %.1f, without %v %.1f; refused at once %d",
			name, retries, with.First, with.Value, without.First, without.Value, with.AtOnce)
		if with.First[0]+with.First[1] < without.First[0]+without.First[1] || with.Value < without.Value-1e-6 {
			t.Errorf("%s, %d retries: with refusals %+v, without %+v", name, retries, with, without)
		}
	}
	for _, multiple := range []float64{5, 6, 12} {
		for _, burst := range []float64{8, 12, 20} {
			check(fmt.Sprintf("%v times the mean for %v s beside another queue", multiple, burst), besideAnother(mixed, multiple, burst), 2, 0)
			check(fmt.Sprintf("%v times the mean for %v s beside a queue of several steps", multiple, burst), besideAnother(steps, multiple, burst), 2, 0)
		}
		check(fmt.Sprintf("%v times the mean", multiple), queueAlone(multiple, 20), 1, 4)
		check(fmt.Sprintf("%v times the mean beside another queue", multiple), besideAnother(mixed, multiple, 20), 20, 4)
	}
}
