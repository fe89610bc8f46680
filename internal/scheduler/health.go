package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// failedJobsToSetAside is the number of jobs with a failed task on a
	// worker, without a success in between, after which it is set aside.
	failedJobsToSetAside = 2
	// minSetAside is the first time for which a worker is set aside. It doubles
	// with every failure on probation, up to maxSetAside.
	minSetAside = 2 * time.Second
	maxSetAside = 8 * time.Second
)

// health holds the recent failures of a worker.
type health struct {
	// failedJobs holds the jobs whose tasks failed on the worker since its last
	// success.
	failedJobs map[string]struct{}
	// setAsideUntil is when the worker may get new tasks again. setAsideFor is
	// how long it was last set aside for failures.
	setAsideUntil time.Duration
	setAsideFor   time.Duration
	// onProbation is set if the worker was set aside and has had no success
	// since.
	onProbation bool
}

// penalize counts a failed run against its worker. Failures of a single job do
// not set a worker aside unless it is on probation: the fault may be the job's.
func (e *Engine) penalize(w *worker, t *task, now time.Duration) {
	if w.failedJobs == nil {
		w.failedJobs = map[string]struct{}{}
	}
	w.failedJobs[t.step.job.ID] = struct{}{}
	if len(w.failedJobs) < failedJobsToSetAside && !w.onProbation {
		return
	}
	w.setAsideFor = min(max(w.setAsideFor*2, minSetAside), maxSetAside)
	w.setAsideUntil = now + w.setAsideFor
	w.onProbation = true
	w.failedJobs = nil
	e.stats.WorkersSetAside++
	event.WorkerSetAside.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("for", w.setAsideFor),
		zap.String("last_job", t.step.job.ID))
}

// succeeded clears the failures and ends the time for which the worker is set
// aside.
func (h *health) succeeded(now time.Duration) {
	h.failedJobs = nil
	h.onProbation = false
	h.setAsideFor = 0
	h.setAsideUntil = min(h.setAsideUntil, now)
}

// pauseUntil sets the worker aside until a time, if it is not set aside for
// longer already.
func (h *health) pauseUntil(at time.Duration) { h.setAsideUntil = max(h.setAsideUntil, at) }

// pauseAfterUnanswered sets the worker aside for a while after an order without
// an answer.
func (h *health) pauseAfterUnanswered(now time.Duration) {
	h.pauseUntil(now + refusalPause)
}

// setAside reports whether the worker gets no new tasks at present.
func (h *health) setAside(now time.Duration) bool { return now < h.setAsideUntil }
