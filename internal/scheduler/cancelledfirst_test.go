package scheduler

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// Callers may cancel any number of jobs that do not exist.
func TestCancellationsOfUnknownJobsAreNotKeptOnceTheJobsAreRead(t *testing.T) {
	e := New(Options{Token: 1, Epoch: 1, MaxLease: time.Second, Parts: 1, PartOf: func(string) int { return 0 }, Log: zap.NewNop()})
	e.JobsRead(10)
	e.Cancel("before", 9, 0)
	job := jobOf(1, 1, 1)
	e.Cancel(job.ID, 12, 0)
	e.Cancel("after", 14, 0)
	if got := len(e.cancelledFirst); got != 2 {
		t.Errorf("%d cancellations are kept, want the two whose jobs may still be read", got)
	}
	e.AddJob(job, &workload.Progress{Queue: job.Queue, State: workload.Queued}, 11, 0, false, 0)
	if j := e.jobs[job.ID]; j == nil || !j.cancelled {
		t.Error("the job is not cancelled, though its cancellation was read before it")
	}
	e.JobsRead(13)
	if got := len(e.cancelledFirst); got != 1 {
		t.Errorf("%d cancellations are kept, want the one whose job may still be read", got)
	}
	e.JobsRead(14)
	if got := len(e.cancelledFirst); got != 0 {
		t.Errorf("%d cancellations are kept, want none", got)
	}
}
