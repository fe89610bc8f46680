package scheduler

import (
	"cmp"
	"time"
)

// timeliness classifies a job by its expected end.
type timeliness int

const (
	// onTime jobs can still meet their objective.
	onTime timeliness = iota
	// late jobs cannot, but their results are still of use.
	late
	// tooLate jobs would end after tooLateFactor times their objective.
	tooLate
)

// tooLateFactor times the objective is the age after which a finished job is of
// little use.
const tooLateFactor = 3

const (
	// baseWeight and workWeight make up the weight of a job: a fixed part, and
	// one in proportion to its work relative to the mean of its queue.
	baseWeight = 0.3
	workWeight = 0.7
	// maxWeight bounds the weight of a job. A job with the mean work of its
	// queue has a weight of 1.
	maxWeight = 4
)

// rank orders the waiting steps of a pool, whose demand is at times several
// times its capacity. Long-running steps come first, because they are useful
// all the time; then jobs that can still meet their objective; then late ones.
// Within each class, steps are ordered by priority, and then by the weight of
// their job per core-second of remaining work.
type rank struct {
	longRunning bool
	priority    int
	timeliness  timeliness
	// value is the weight of the job per core-second of its remaining work.
	value    float64
	accepted time.Duration
}

func (r rank) compare(o rank) int {
	if by := r.compareClass(o); by != 0 {
		return by
	}
	return cmp.Or(
		cmp.Compare(r.priority, o.priority),
		-cmp.Compare(r.value, o.value),
		cmp.Compare(r.accepted, o.accepted),
	)
}

// compareClass orders the classes of steps.
func (r rank) compareClass(o rank) int {
	if r.longRunning != o.longRunning {
		if r.longRunning {
			return -1
		}
		return 1
	}
	return cmp.Compare(r.timeliness, o.timeliness)
}

// rank returns the rank of a step.
func (e *Engine) rank(s *step, now time.Duration) rank {
	j := s.job
	r := rank{longRunning: s.LongRunning, accepted: s.occ.releaseTime(j)}
	if j.queue != nil {
		r.priority = j.queue.Priority
	}
	r.timeliness = j.timeliness(s.occ, now)
	r.value = e.weight(j) / max(s.occ.workLeft(), minWork)
	return r
}

// minWork in core-seconds keeps the value of nearly finished jobs finite.
const minWork = 0.1

// releaseTime returns when the occurrence became due, or when a job without a
// schedule was accepted.
func (o *occurrence) releaseTime(j *job) time.Duration {
	if j.Schedule != nil {
		return o.due
	}
	return j.accepted
}

// objective returns the age at which the job should be complete.
func (j *job) objective() time.Duration {
	q := j.queue
	if q == nil {
		return j.criticalPath
	}
	return time.Duration(q.Stretch*float64(j.criticalPath)) + q.LatencyTarget
}

// timeliness returns the class of an occurrence by its expected end.
func (j *job) timeliness(o *occurrence, now time.Duration) timeliness {
	finish := now - o.releaseTime(j) + o.criticalPathLeft()
	objective := j.objective()
	switch {
	case finish <= objective:
		return onTime
	case finish <= tooLateFactor*objective:
		return late
	}
	return tooLate
}

// criticalPathLeft returns the longest critical path of the steps that are not
// done.
func (o *occurrence) criticalPathLeft() time.Duration {
	var longest time.Duration
	for _, s := range o.steps {
		if s.left > 0 {
			longest = max(longest, s.criticalPath)
		}
	}
	return longest
}

// workLeft returns the work that is not done, in core-seconds.
func (o *occurrence) workLeft() float64 {
	var sum float64
	for _, s := range o.steps {
		sum += float64(s.left) * s.Size.Processors * s.Estimate.Seconds()
	}
	return sum
}

// weight returns the weight of a job relative to the mean job of its queue.
func (e *Engine) weight(j *job) float64 {
	return Weight(j.Work(), e.pool(j.Pool).queues[j.Queue].work)
}

// Weight returns the weight of a job of the given work relative to a job of the mean
// work of its queue, 1 if the mean is not known. Work is in core-seconds.
func Weight(work, mean float64) float64 {
	if mean <= 0 {
		return 1
	}
	return min(baseWeight+workWeight*work/mean, maxWeight)
}
