package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/adminapi"
)

// TestOwnJobsAPIRunsJobsOfSteps submits jobs through the admin API of one process
// and waits for their ends: a scheduled job whose steps run in order, and a
// long-running job that is cancelled.
func TestOwnJobsAPIRunsJobsOfSteps(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 7)
	const scheduled, longRunning = "00000000000000a1", "00000000000000a2"
	w.checker.addJob(scheduled, &jobRecord{steps: []step{{count: 2, after: -1}, {count: 1, after: 0}}, accepted: true})
	w.checker.addJob(longRunning, &jobRecord{steps: []step{{count: 2, after: -1}}, accepted: true, cancelSent: true, longRunning: true})
	for _, id := range []string{scheduled, longRunning} {
		w.checker.update(id, func(j *jobRecord) { j.allRefused = false })
	}
	client := adminapi.NewClient(w.nodes[0].adminAddress)
	step := adminapi.JobStep{Count: 2, Processors: 1, MemoryMB: 64, RunMS: 200}
	second := adminapi.JobStep{Count: 1, Processors: 1, MemoryMB: 64, RunMS: 200, After: []int{0}}
	long := adminapi.JobStep{Count: 2, Processors: 1, MemoryMB: 64, LongRunning: true, MaxUnavailable: 1}
	jobs := []adminapi.JobSpec{
		{ID: scheduled, Queue: "q", Command: spec, Steps: []adminapi.JobStep{step, second},
			Schedule: &adminapi.JobSchedule{StartMS: time.Now().UnixMilli(), IntervalMS: 300, Occurrences: 2}},
		{ID: longRunning, Queue: "q", Command: spec, Steps: []adminapi.JobStep{long}},
	}
	w.eventually("the jobs are accepted", func() bool {
		_, err := client.SubmitJobs(t.Context(), jobs)
		return err == nil
	})
	jobHasState := func(id, want string) func() bool {
		return func() bool {
			all, err := client.Jobs(t.Context())
			return err == nil && slices.ContainsFunc(all.Jobs, func(j adminapi.Job) bool { return j.ID == id && j.State == want })
		}
	}
	w.eventually("the scheduled job is done", jobHasState(scheduled, adminapi.JobDone))
	w.eventually("the long-running job runs", jobHasState(longRunning, adminapi.JobRunning))
	if reply, err := client.CancelJobs(t.Context(), []string{longRunning}); err != nil || reply.Changed != 1 {
		t.Errorf("cancellation: %+v, %v", reply, err)
	}
	w.eventually("the long-running job is cancelled", jobHasState(longRunning, adminapi.JobCancelled))
	w.checker.observeState(scheduled, "completed")
	w.checker.observeState(longRunning, "cancelled")
	if violations := w.checker.finish(); len(violations) > 0 {
		t.Error(violations)
	}
}

// eventually polls a condition, and fails the test if it does not hold within
// 15 s.
func (w *world) eventually(description string, condition func() bool) {
	w.t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Fatalf("condition not met after 15 s: %s", description)
}
