package scheduler

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// failedJobsToSetAside is the number of jobs with a failed task on a
	// worker, without a success in between, after which it is set aside.
	failedJobsToSetAside = 2
	// minSetAside is the first time for which a worker is set aside. It doubles
	// with every failure on probation, up to maxSetAside, which also bounds the
	// time until the worker is usable again.
	minSetAside = 2 * time.Second
	maxSetAside = 8 * time.Second
)

// health holds the recent failures of a worker.
type health struct {
	// failedJobs holds the jobs whose tasks failed on the worker since its last
	// success.
	failedJobs map[string]struct{}
	// setAsideUntil is when a worker that was set aside for failures is usable
	// again, and setAsideFor for how long it was last set aside.
	setAsideUntil time.Duration
	setAsideFor   time.Duration
	// setAsideSince is when the worker was set aside after it had been usable.
	setAsideSince time.Duration
	// pausedUntil is when the worker may get tasks again after it refused a
	// start or left an order unanswered.
	pausedUntil time.Duration
	// onProbation is set if the worker was set aside and has had no success
	// since.
	onProbation bool
}

// failedAt notes that a run of the task failed or stalled on a worker.
func (t *task) failedAt(w *worker) {
	if !slices.Contains(t.failedOn, w.ID) {
		t.failedOn = append(t.failedOn, w.ID)
	}
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
	if !w.setAside(now) && !w.justUsable(t, now) {
		w.setAsideSince = now
	}
	// Tasks that failed on the worker may have no other place. Failures of
	// further ones meanwhile must not keep them waiting without end.
	w.setAsideUntil = min(now+w.setAsideFor, w.setAsideSince+maxSetAside)
	w.onProbation = true
	w.failedJobs = nil
	e.stats.WorkersSetAside++
	event.WorkerSetAside.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("for", w.setAsideFor),
		zap.String("last_job", t.step.job.ID))
}

// justUsable reports whether a run of the task that fails now on the worker began
// before the worker was usable again, and tasks that wait for the worker may not
// have been started since.
func (w *worker) justUsable(t *task, now time.Duration) bool {
	return now < w.setAsideUntil+2*passInterval &&
		slices.ContainsFunc(t.runs, func(r *run) bool { return r.worker == w && r.sentAt < w.setAsideUntil })
}

// succeeded clears the failures and ends the time for which the worker is set
// aside or paused.
func (h *health) succeeded(now time.Duration) {
	h.failedJobs = nil
	h.onProbation = false
	h.setAsideFor = 0
	h.setAsideUntil = min(h.setAsideUntil, now)
	h.pausedUntil = min(h.pausedUntil, now)
}

// pauseUntil keeps all new tasks from the worker until a time, if it is not
// paused for longer already.
func (h *health) pauseUntil(at time.Duration) { h.pausedUntil = max(h.pausedUntil, at) }

// pauseAfterUnanswered pauses the worker after an order without an answer.
func (h *health) pauseAfterUnanswered(now time.Duration) {
	h.pauseUntil(now + refusalPause)
}

// paused reports whether the worker gets no new tasks at present because of an
// order that it refused or left unanswered.
func (h *health) paused(now time.Duration) bool { return now < h.pausedUntil }

// setAside reports whether the worker is set aside for failures at present.
func (h *health) setAside(now time.Duration) bool { return now < h.setAsideUntil }
