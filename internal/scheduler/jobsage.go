package scheduler

import (
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

const (
	// startMargin is left of Options.CancelWithin when the time for a start ends.
	// It covers the error of the estimate of a worker's clock.
	startMargin = 200 * time.Millisecond
	// minStartWindow is the least time that is left for a start to reach its
	// worker when it is decided.
	minStartWindow = 300 * time.Millisecond
)

// JobsRead reports that all jobs and cancellations that were stored before asOf
// have been added, after the answer that told of them had waited in this process.
// Until the first report, nothing is started if Options.CancelWithin is set.
func (e *Engine) JobsRead(asOf, waited time.Duration) {
	e.jobsAsOf, e.jobsWaited = max(e.jobsAsOf, asOf), waited
}

// jobsAge returns the age of the known jobs.
func (e *Engine) jobsAge(now time.Duration) time.Duration { return now - e.jobsAsOf }

// startsUntil returns the time until which a start that is decided now may be
// carried out: a cancellation that is not known yet was acknowledged after
// jobsAsOf.
func (e *Engine) startsUntil(now time.Duration) time.Duration {
	until := now + startWindow
	if e.opts.CancelWithin > 0 {
		until = min(until, e.jobsAsOf+e.opts.CancelWithin-startMargin)
	}
	return until
}

// mayStart reports whether the known jobs are recent enough for starts. A start
// that is decided on older ones could reach its worker too late after the
// cancellation of its job.
func (e *Engine) mayStart(now time.Duration) bool {
	held := e.startsUntil(now) < now+minStartWindow
	switch {
	case held && !e.startsHeld:
		e.heldSince = now
		event.StartsHeld.Log(e.opts.Log, zap.Duration("jobs_age", e.jobsAge(now)), zap.Int("jobs", len(e.jobs)))
	case !held && e.startsHeld:
		e.stats.StartsHeldMS += (now - e.heldSince).Milliseconds()
		event.StartsResumed.Log(e.opts.Log, zap.Duration("jobs_age", e.jobsAge(now)), zap.Duration("after", now-e.heldSince))
	}
	e.startsHeld = held
	return !held
}
