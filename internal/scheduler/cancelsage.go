package scheduler

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

// startMargin is left of Options.CancelWithin and Options.DrainWithin when the
// time for a start ends. It covers the error of the estimate of a worker's clock.
const startMargin = 200 * time.Millisecond

// CancelsRead reports that all cancellations that were stored before asOf have
// been handled, after the answer that told of them had waited in this process.
// Until the first report, nothing is started if Options.CancelWithin is set.
func (e *Engine) CancelsRead(asOf, waited time.Duration) {
	e.cancelsAsOf, e.cancelsWaited = max(e.cancelsAsOf, asOf), waited
}

// EntriesRead reports that all entries of workers that were stored before asOf
// have been handled. Until the first report, nothing is started if
// Options.DrainWithin is set.
func (e *Engine) EntriesRead(asOf time.Duration) { e.entriesAsOf = max(e.entriesAsOf, asOf) }

// cancelsAge returns the age of the known cancellations.
func (e *Engine) cancelsAge(now time.Duration) time.Duration { return now - e.cancelsAsOf }

// EntriesAge returns the age of the known entries of workers.
func (e *Engine) EntriesAge(now time.Duration) time.Duration { return now - e.entriesAsOf }

// startsUntil returns the time until which starts that are decided now may be
// carried out: a cancellation that is not known yet was acknowledged after
// cancelsAsOf, and an entry that says that its worker drains was stored after
// entriesAsOf.
func (e *Engine) startsUntil() time.Duration {
	until := time.Duration(math.MaxInt64)
	if e.opts.CancelWithin > 0 {
		until = e.cancelsAsOf + e.opts.CancelWithin - startMargin
	}
	if e.opts.DrainWithin > 0 {
		until = min(until, e.entriesAsOf+e.opts.DrainWithin-startMargin)
	}
	return until
}

// startsTooOld reports whether what starts rely on is too old for them.
func (e *Engine) startsTooOld(now time.Duration) bool { return e.startsUntil() < now+minStartWindow }

// mayStart reports whether the known cancellations and entries of workers are
// recent enough for starts. A start that is decided on older ones could reach its
// worker too late after the cancellation of its job, or after the worker began to
// drain.
func (e *Engine) mayStart(now time.Duration) bool {
	held := e.startsTooOld(now)
	switch {
	case held && !e.startsHeld:
		e.heldSince = now
		event.StartsHeld.Log(e.opts.Log, zap.Duration("cancels_age", e.cancelsAge(now)), zap.Duration("entries_age", e.EntriesAge(now)), zap.Int("jobs", len(e.jobs)))
	case !held && e.startsHeld:
		e.stats.StartsHeldMS += (now - e.heldSince).Milliseconds()
		event.StartsResumed.Log(e.opts.Log, zap.Duration("cancels_age", e.cancelsAge(now)), zap.Duration("entries_age", e.EntriesAge(now)), zap.Duration("after", now-e.heldSince))
	}
	e.startsHeld = held
	return !held
}
