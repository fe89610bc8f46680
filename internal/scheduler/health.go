package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// failedJobsToSetAside is how many tasks of different jobs in a row may fail
	// on a worker before it is set aside.
	failedJobsToSetAside = 2
	// minSetAside is the first time for which a worker is set aside; it
	// doubles with every failed trial, up to setAsideMax.
	minSetAside = 2 * time.Second
	maxSetAside = 8 * time.Second
)

// health is what the ends of runs say about a worker.
type health struct {
	// failedJobs are the jobs whose tasks failed since the last success.
	failedJobs    map[string]struct{}
	setAsideUntil time.Duration
	setAsideFor   time.Duration
	// onProbation says that the worker was set aside and has not succeeded since.
	onProbation bool
}

// penalize counts a failed run against its worker. Failures of one job alone
// speak against the job.
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

// succeeded clears what spoke against the worker.
func (h *health) succeeded(now time.Duration) {
	h.failedJobs = nil
	h.onProbation = false
	h.setAsideFor = 0
	h.setAsideUntil = min(h.setAsideUntil, now)
}

// pauseUntil gives the worker no new task until a time.
func (h *health) pauseUntil(at time.Duration) { h.setAsideUntil = max(h.setAsideUntil, at) }

// pauseAfterUnanswered notes an order without an answer.
func (h *health) pauseAfterUnanswered(now time.Duration) {
	h.pauseUntil(now + refusalPause)
}

// setAside reports whether the worker gets no new tasks for now.
func (h *health) setAside(now time.Duration) bool { return now < h.setAsideUntil }
