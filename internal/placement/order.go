package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// deadlineBoost is added to the priority of a job whose deadline is at
	// risk. It raises a nightly run above ordinary jobs, but not above checks
	// that a person waits for.
	deadlineBoost = 40
	// runTimeFactor multiplies the expected run time when the latest start is
	// computed, because declared run times are inaccurate.
	runTimeFactor = 2
)

// Rank returns the effective priority of a job: its priority, plus
// deadlineBoost once its latest start has passed.
func Rank(j *Job, class ClassUsage, now time.Time) int {
	if j.Deadline.IsZero() || now.Before(latestStart(j, class)) {
		return j.Priority
	}
	return j.Priority + deadlineBoost
}

// latestStart returns the time by which a job must start to meet its deadline.
// The job must have one.
func latestStart(j *Job, class ClassUsage) time.Time {
	return j.Deadline.Add(-runTimeFactor * expectedRunTime(j, class))
}

// pendingJob is a pending job with its sort keys. The keys are copied out of
// the job because sorting reads them many times.
type pendingJob struct {
	job  *Job
	size Resources
	rank int
	// start is the latest start in Unix nanoseconds, or noStart without a
	// deadline.
	start int64
	// submitted is the submission time in Unix nanoseconds.
	submitted int64
}

// noStart sorts jobs without a deadline after all others of the same rank.
const noStart = math.MaxInt64

// compare orders jobs by rank (highest first), latest start, submission time
// and ID.
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

// order returns the pending jobs in the order in which they are placed.
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
