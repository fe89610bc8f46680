package admission

import (
	"cmp"
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

// playResult counts jobs by the class of their age at the end, from their acceptance,
// and those that were refused in the end. Flagged counts jobs that would be refused.
type playResult struct {
	Ended, Flagged [3]int
	Refused        int
}

// play submits jobs of the queues for 100 s. Each queue asks for a share of the
// pool's capacity, in the first 20 s and afterwards. With refuse set, jobs are
// refused, and their callers return up to 4 times.
func play(seed uint64, kinds []playKind, demand [][2]float64, refuse bool) playResult {
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
	free, arrivals := playCores, make([]float64, len(kinds))
	for tick := range int(160 / playTick) {
		now := float64(tick) * playTick
		for i, k := range kinds {
			share := demand[i][0]
			if now >= 20 {
				share = demand[i][1]
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
			switch {
			case !d.Refused || !refuse:
				c.accepted = now
				jobs = append(jobs, c)
			case c.attempts == 4:
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
			b.Add("", Rank(j.priority, j.value()), seconds(j.objective()+left), seconds(LateFactor*j.objective()+left), j.waitingWork())
		}
	}
	s := &State{Entries: playEntries}
	if startable >= 2*playCores {
		s.Pools = []Pool{{Name: "p", Cores: playCores, Teams: b.Teams()}}
	}
	s.Bound()
	return s
}

// TestRefusalsCostNoCallerItsJob plays a queue that asks for several times its mean,
// which is 0.4 of the pool, beside one of lower priority. It guards against refusals of jobs that
// would have been of use, and says who is served with and without refusals.
func TestRefusalsCostNoCallerItsJob(t *testing.T) {
	alike := []playKind{{0, 1, 1.25, 2.4}, {0, 2, 1.25, 2.4}, {0, 3, 1.25, 2.4}, {0, 4, 1.25, 2.4}}
	mixed := []playKind{{0, 1, 10, 2.4}, {1, 3, 1.25, 2.4}}
	for _, burst := range []float64{1, 5, 5.5, 6, 12} {
		q := [2]float64{burst * 0.4 / 4, 0.4 / 20 / 4}
		check := func(name string, kinds []playKind, demand [][2]float64) {
			with, without := play(1, kinds, demand, true), play(1, kinds, demand, false)
			t.Logf("%s, %v times the mean: ended in time, late and useless: with refusals %v, without %v; refused %d; would be refused %v",
				name, burst, with.Ended, without.Ended, with.Refused, without.Flagged)
			if without.Flagged[0]+without.Flagged[1] > 0 {
				t.Errorf("%s, %v times the mean: %v of the jobs that would be refused end in time or late", name, burst, without.Flagged)
			}
			if with.Ended[0] < without.Ended[0] || with.Ended[0]+with.Ended[1] < without.Ended[0]+without.Ended[1] {
				t.Errorf("%s, %v times the mean: with refusals %v, without %v", name, burst, with.Ended, without.Ended)
			}
		}
		check("one queue", alike, [][2]float64{q, q, q, q})
		check("beside another queue", mixed, [][2]float64{{burst * 0.4, 0.02}, {0.1, 0.1}})
	}
}
