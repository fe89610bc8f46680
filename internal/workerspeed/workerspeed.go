// Package workerspeed estimates how fast workers are relative to each other, from
// the progress of what they run. It is pure: callers pass the time, as the
// duration since any fixed point.
//
// A run is compared with the median of the runs of its group (its image or
// queue, with its distance to the data) on all workers, so that wrong estimates
// of run times, distance and start-up cancel out. An Estimator is not safe for
// concurrent use.
package workerspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memory is the time in which the weight of evidence falls by the factor e.
	memory = 4 * time.Second
	// groupMemory is how long an observation takes part in the median of its group,
	// and groupSize how many do at most.
	groupMemory = 10 * time.Second
	groupSize   = 48
	// medianInterval is how long a median is used.
	medianInterval = 200 * time.Millisecond
	// maxGroups bounds the number of groups. The one that was not seen for longest
	// is forgotten.
	maxGroups = 128
	// minWorkers is the number of workers that a group was observed on before any
	// of them is compared with the others.
	minWorkers = 3
	// noise is the standard deviation of the logarithm of one observation around
	// its worker's speed; priorWeight is the weight of the expectation that a worker
	// is as fast as the others.
	noise       = 0.35
	priorWeight = 0.5
	// minRate is the least rate that is taken in, so that its logarithm is finite.
	minRate = 0.02
	// maxLog bounds the logarithm of a rate relative to its group.
	maxLog = 3.0
	// slowBelow is the speed below which a worker is slow, once it is below it by
	// certainty standard errors. It is normal again above normalAbove. Between the
	// two, contention with other tasks has the same effect.
	slowBelow   = 0.6
	normalAbove = 0.75
	certainty   = 2.0
	// clearWeight is the weight of evidence after which a slow worker counts as
	// normal again, one ended run: between trials, evidence decays too much to add up.
	clearWeight = 1.0
	// firstTrial is the time from when a worker is found slow to its first trial. It
	// doubles with each further trial up to maxTrial.
	firstTrial = 4 * time.Second
	maxTrial   = 16 * time.Second
	// maxJobWeight is the weight that the runs of one job have together as evidence
	// about one worker, and jobMemory the number of jobs for which that is kept.
	maxJobWeight = 1.5
	jobMemory    = 16
	// trustMemory is the number of ended runs over which reported progress is
	// compared with the ends. Reports are ignored while they differ by distrust, the
	// logarithm of a factor, on average.
	trustMemory = 4
	distrust    = 0.6
	// faultMemory is how long a stalled or failed run counts.
	faultMemory = 8 * time.Second
)

// Class is what is wrong with a worker.
type Class int

const (
	Normal Class = iota
	// Slow workers make progress, but clearly less than others.
	Slow
	// Stalled workers had a run without any progress, Failing ones runs that
	// failed, and none that ended well since.
	Stalled
	Failing
)

func (c Class) String() string { return [...]string{"normal", "slow", "stalled", "failing"}[c] }

// Observation is how fast a run was.
type Observation struct {
	Worker string
	// Job is the job of the run. Its estimate may be wrong for all of its tasks.
	Job string
	// Group names the runs that are compared with each other.
	Group string
	// Rate is the progress relative to the estimate, 1 for as estimated.
	Rate float64
	// Weight is 1 for the whole of a run, and less for a part of it.
	Weight float64
	// Whole is set if the rate is that of an ended run, by the time that it took.
	// Its group must not have other observations. Claimed is then the rate that the
	// worker reported for the run relative to ReportedGroup, 0 if there is none.
	Whole         bool
	Claimed       float64
	ReportedGroup string
}

// Estimator holds the evidence. The zero value is ready to use.
type Estimator struct {
	groups  map[string]*group
	workers map[string]*worker
	slow    int
}

// group holds the last observations of a group in a ring.
type group struct {
	ring   [groupSize]rate
	next   int
	count  int
	seenAt time.Duration
	// cached is the median at cachedAt, if it is known.
	cached   float64
	known    bool
	cachedAt time.Duration
}

type rate struct {
	log    float64
	worker string
	at     time.Duration
}

// worker holds the evidence about one worker.
type worker struct {
	weight, sum float64
	// jobs holds the weights of the last jobs, in a ring.
	jobs    [jobMemory]jobWeight
	nextJob int
	at      time.Duration
	slow    bool
	// speed is the estimate when the worker was last found slow.
	speed float64
	// nextTrial is when a slow worker may get a run though it is slow, and wait
	// the time to the one after. trials counts those since it was found slow.
	nextTrial, wait time.Duration
	trials          int
	// lie is the mean difference between reported progress and ends, over ends runs.
	lie  float64
	ends float64
	// stalledAt and failedAt are when a run last stalled or failed without a good
	// end since, -1 if none did.
	stalledAt, failedAt time.Duration
}

func (e *Estimator) worker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		if e.workers == nil {
			e.workers = map[string]*worker{}
		}
		w = &worker{stalledAt: -1, failedAt: -1}
		e.workers[id] = w
	}
	return w
}

// Forget drops the evidence about a worker that has ended.
func (e *Estimator) Forget(id string) {
	if w := e.workers[id]; w != nil {
		if w.slow {
			e.slow--
		}
		delete(e.workers, id)
	}
}

// Observe takes in an observation. It reports whether the worker was found slow,
// or normal again, by it.
func (e *Estimator) Observe(o Observation, now time.Duration) (changed bool) {
	if o.Rate < 0 || math.IsNaN(o.Rate) || math.IsInf(o.Rate, 0) || o.Weight <= 0 {
		return false
	}
	y := math.Log(max(o.Rate, minRate))
	g := e.group(o.Group, now)
	g.add(rate{y, o.Worker, now})
	median, ok := g.median(now)
	if !ok {
		return false
	}
	w := e.worker(o.Worker)
	if o.Whole {
		w.stalledAt, w.failedAt = -1, -1
		if o.Claimed > 0 {
			e.compareClaim(w, o, y-median, now)
		}
	} else if w.lies() {
		return false
	}
	w.add(min(max(y-median, -maxLog), maxLog), w.ofJob(o.Job, o.Weight), now)
	return e.classify(w, now)
}

// compareClaim compares the progress that was reported for a run with its end.
func (e *Estimator) compareClaim(w *worker, o Observation, relative float64, now time.Duration) {
	median, ok := e.group(o.ReportedGroup, now).median(now)
	if !ok {
		return
	}
	difference := math.Abs(math.Log(max(o.Claimed, minRate)) - median - relative)
	w.ends = min(w.ends+1, trustMemory)
	w.lie += (min(difference, maxLog) - w.lie) / w.ends
}

// lies reports whether the worker's reports of progress do not agree with the
// ends of its runs.
func (w *worker) lies() bool { return w.ends >= 2 && w.lie > distrust }

func (w *worker) add(log, weight float64, now time.Duration) {
	w.decay(now)
	w.weight += weight
	w.sum += weight * log
}

// jobWeight is the weight of the runs of one job as evidence about a worker.
type jobWeight struct {
	job    string
	weight float64
}

// ofJob returns the part of a weight that the runs of a job, empty for none, may
// still add.
func (w *worker) ofJob(job string, weight float64) float64 {
	if job == "" {
		return weight
	}
	i := slices.IndexFunc(w.jobs[:], func(j jobWeight) bool { return j.job == job })
	if i < 0 {
		i = w.nextJob
		w.nextJob = (w.nextJob + 1) % jobMemory
		w.jobs[i] = jobWeight{job: job}
	}
	weight = min(weight, maxJobWeight-w.jobs[i].weight)
	w.jobs[i].weight += weight
	return weight
}

func (w *worker) decay(now time.Duration) {
	by := math.Exp(-float64(now-w.at) / float64(memory))
	w.weight *= by
	w.sum *= by
	w.at = now
}

// estimate returns the logarithm of the speed and its standard error.
func (w *worker) estimate() (log, sd float64) {
	total := w.weight + priorWeight
	return w.sum / total, noise / math.Sqrt(total)
}

// classify decides whether the worker is slow.
func (e *Estimator) classify(w *worker, now time.Duration) (changed bool) {
	log, sd := w.estimate()
	switch {
	case log+certainty*sd < math.Log(slowBelow):
		w.speed = math.Exp(w.sum / w.weight)
		if w.slow {
			return false
		}
		e.slow++
		w.slow, w.trials, w.wait, w.nextTrial = true, 0, firstTrial, now+firstTrial
		return true
	case w.slow && w.weight >= clearWeight && w.sum/w.weight > math.Log(normalAbove):
		e.slow--
		w.slow = false
		return true
	}
	return false
}

// AnySlow reports whether any worker is slow.
func (e *Estimator) AnySlow() bool { return e.slow > 0 }

// Slow returns the number of slow workers.
func (e *Estimator) Slow() int { return e.slow }

// SlowFactor returns how many times as long as elsewhere a run takes on a slow
// worker, and 1 for any other. It is 1 for a slow one while a trial is due.
func (e *Estimator) SlowFactor(id string, now time.Duration) float64 {
	w := e.workers[id]
	if w == nil || !w.slow || now >= w.nextTrial {
		return 1
	}
	return max(1/w.speed, 1)
}

// Started tells that a run starts on a worker. If a trial is due it is this run,
// and trial is true.
func (e *Estimator) Started(id string, now time.Duration) (trial bool) {
	w := e.workers[id]
	if w == nil || !w.slow || now < w.nextTrial {
		return false
	}
	w.trials++
	w.wait = min(2*w.wait, maxTrial)
	w.nextTrial = now + w.wait
	return true
}

// Stalled tells that a run on the worker showed no progress, and Failed that one
// failed.
func (e *Estimator) Stalled(id string, now time.Duration) { e.worker(id).stalledAt = now }

// Failed tells that a run on the worker failed.
func (e *Estimator) Failed(id string, now time.Duration) { e.worker(id).failedAt = now }

// Estimate is what is known of a worker's speed.
type Estimate struct {
	Class Class
	// Speed is relative to other workers, 1 for as fast. Error is the standard
	// error of its natural logarithm, and Age the time since the last observation.
	Speed, Error float64
	Age          time.Duration
	// Trials counts the trial starts since the worker was found slow.
	Trials int
	// Lies is set if its reports of progress do not agree with the ends of its runs,
	// and are ignored.
	Lies bool
}

// Estimate returns what is known of a worker.
func (e *Estimator) Estimate(id string, now time.Duration) Estimate {
	w := e.workers[id]
	if w == nil {
		_, sd := (&worker{}).estimate()
		return Estimate{Speed: 1, Error: sd}
	}
	aged := *w
	aged.decay(now)
	log, sd := aged.estimate()
	out := Estimate{Speed: math.Exp(log), Error: sd, Age: now - w.at, Trials: w.trials, Lies: w.lies()}
	switch {
	case w.failedAt >= 0 && now-w.failedAt < faultMemory:
		out.Class = Failing
	case w.stalledAt >= 0 && now-w.stalledAt < faultMemory:
		out.Class = Stalled
	case w.slow:
		out.Class = Slow
	}
	return out
}

// Ratio returns how many times the rate of one group is that of another, and false
// if either was not observed on enough workers.
func (e *Estimator) Ratio(of, to string, now time.Duration) (float64, bool) {
	a, b := e.groups[of], e.groups[to]
	if a == nil || b == nil {
		return 0, false
	}
	x, okX := a.median(now)
	y, okY := b.median(now)
	return math.Exp(x - y), okX && okY
}

func (e *Estimator) group(name string, now time.Duration) *group {
	g := e.groups[name]
	if g == nil {
		if e.groups == nil {
			e.groups = map[string]*group{}
		}
		if len(e.groups) >= maxGroups {
			e.forgetOldest()
		}
		g = &group{}
		e.groups[name] = g
	}
	g.seenAt = now
	return g
}

func (e *Estimator) forgetOldest() {
	oldest := ""
	for name, g := range e.groups {
		if oldest == "" || cmp.Or(cmp.Compare(g.seenAt, e.groups[oldest].seenAt), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	delete(e.groups, oldest)
}

func (g *group) add(r rate) {
	g.ring[g.next] = r
	g.next = (g.next + 1) % groupSize
	g.count = min(g.count+1, groupSize)
}

// median returns the median rate of the group, which is computed anew at most once in
// medianInterval: groups have thousands of observations a second.
func (g *group) median(now time.Duration) (float64, bool) {
	if !g.known || now-g.cachedAt >= medianInterval {
		g.cached, g.known = g.compute(now)
		g.cachedAt = now
	}
	return g.cached, g.known
}

// compute returns the median over workers of the mean logarithm of each one's
// rates, and false if the group was observed on too few workers. A worker with
// many runs counts once.
func (g *group) compute(now time.Duration) (float64, bool) {
	var ids [groupSize]string
	var sums, counts [groupSize]float64
	workers := 0
	for _, r := range g.ring[:g.count] {
		if now-r.at > groupMemory {
			continue
		}
		i := slices.Index(ids[:workers], r.worker)
		if i < 0 {
			i = workers
			ids[i] = r.worker
			workers++
		}
		sums[i] += r.log
		counts[i]++
	}
	if workers < minWorkers {
		return 0, false
	}
	means := make([]float64, workers)
	for i := range means {
		means[i] = sums[i] / counts[i]
	}
	slices.Sort(means)
	if workers%2 == 1 {
		return means[workers/2], true
	}
	return (means[workers/2-1] + means[workers/2]) / 2, true
}
