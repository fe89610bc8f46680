package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// failuresToSetAside is how many tasks of different jobs in a row may fail
	// on a worker before it is set aside.
	failuresToSetAside = 2
	// setAsideFirst is the first time for which a worker is set aside; it
	// doubles with every failed trial, up to setAsideMax.
	setAsideFirst = 2 * time.Second
	setAsideMax   = 8 * time.Second
)

// evidence is what the ends of runs say about a worker.
type evidence struct {
	// failedJobs are the jobs whose tasks failed since the last success.
	failedJobs map[string]struct{}
	asideUntil time.Duration
	asideFor   time.Duration
	// trial says that the worker was set aside and has not succeeded since.
	trial bool
}

// blame counts a failed run against its worker. Failures of one job alone
// speak against the job.
func (e *Engine) blame(w *worker, t *task, now time.Duration) {
	if w.failedJobs == nil {
		w.failedJobs = map[string]struct{}{}
	}
	w.failedJobs[t.step.job.ID] = struct{}{}
	if len(w.failedJobs) < failuresToSetAside && !w.trial {
		return
	}
	w.asideFor = min(max(w.asideFor*2, setAsideFirst), setAsideMax)
	w.asideUntil = now + w.asideFor
	w.trial = true
	w.failedJobs = nil
	e.stats.WorkersSetAside++
	event.WorkerSetAside.Log(e.opts.Log, zap.String("worker", w.ID), zap.String("pool", w.Pool), zap.Duration("for", w.asideFor),
		zap.String("last_job", t.step.job.ID))
}

// succeeded clears what spoke against the worker.
func (v *evidence) succeeded(now time.Duration) {
	v.failedJobs = nil
	v.trial = false
	v.asideFor = 0
	v.asideUntil = min(v.asideUntil, now)
}

// pauseUntil gives the worker no new task until a time.
func (v *evidence) pauseUntil(at time.Duration) { v.asideUntil = max(v.asideUntil, at) }

// pauseAfterUnanswered notes an order without an answer.
func (v *evidence) pauseAfterUnanswered(now time.Duration) {
	v.pauseUntil(now + busyPause)
}

// setAside reports whether the worker gets no new tasks for now.
func (v *evidence) setAside(now time.Duration) bool { return now < v.asideUntil }
