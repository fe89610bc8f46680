package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// deadlineBoost is added to the priority of a job whose deadline is at
	// risk. It lifts a nightly run over ordinary work, and not over the checks
	// that somebody waits for.
	deadlineBoost = 40
	// runTimeFactor multiplies the expected run time to find the latest start.
	// Declared run times are far off.
	runTimeFactor = 2
)

// Rank returns the priority of a job with the boost of its deadline.
func Rank(j *Job, class ClassUsage, now time.Time) int {
	if j.Deadline.IsZero() || now.Before(latestStart(j, class)) {
		return j.Priority
	}
	return j.Priority + deadlineBoost
}

// latestStart returns when a job must start to meet its deadline.
func latestStart(j *Job, class ClassUsage) time.Time {
	return j.Deadline.Add(-runTimeFactor * expectedRunTime(j, class))
}

// pendingJob is a pending job with its place in the order. The keys are copied out
// of the job, since sorting reads them many times.
type pendingJob struct {
	job  *Job
	size Resources
	rank int
	// start is the latest start in Unix nanoseconds, noStart without deadline.
	start int64
	// submitted is in Unix nanoseconds.
	submitted int64
}

// noStart is the latest start of a job without a deadline, after all others.
const noStart = math.MaxInt64

// compare orders jobs by rank, latest start, age and name.
func (r pendingJob) compare(o pendingJob) int {
	switch {
	case r.rank != o.rank:
		return cmp.Compare(o.rank, r.rank)
	case r.start != o.start:
		return cmp.Compare(r.start, o.start)
	case r.submitted != o.submitted:
		return cmp.Compare(r.submitted, o.submitted)
	}
	return cmp.Compare(r.job.ID, o.job.ID)
}

// order returns the pending jobs, the first to be placed first.
func (p *pass) order() []pendingJob {
	pending := make([]pendingJob, 0, len(p.state.Jobs))
	for i := range p.state.Jobs {
		j := &p.state.Jobs[i]
		if j.Task != nil || j.Cancelled {
			continue
		}
		class := p.state.Usage[j.Class]
		r := pendingJob{
			job:       j,
			size:      Estimate(j, class),
			rank:      Rank(j, class, p.state.Now),
			start:     noStart,
			submitted: j.Submitted.UnixNano(),
		}
		if !j.Deadline.IsZero() {
			r.start = latestStart(j, class).UnixNano()
		}
		pending = append(pending, r)
	}
	slices.SortFunc(pending, pendingJob.compare)
	return pending
}
