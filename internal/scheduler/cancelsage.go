package scheduler

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/event"
)

// startMargin is left of Options.CancelWithin when the time for a start ends. It
// covers the error of the estimate of a worker's clock.
const startMargin = 200 * time.Millisecond

// CancelsRead reports that all cancellations that were stored before asOf have
// been handled, after the answer that told of them had waited in this process.
// Until the first report, nothing is started if Options.CancelWithin is set.
func (e *Engine) CancelsRead(asOf, waited time.Duration) {
	e.cancelsAsOf, e.cancelsWaited = max(e.cancelsAsOf, asOf), waited
}

// cancelsAge returns the age of the known cancellations.
func (e *Engine) cancelsAge(now time.Duration) time.Duration { return now - e.cancelsAsOf }

// startsUntil returns the time until which starts that are decided now may be
// carried out: a cancellation that is not known yet was acknowledged after
// cancelsAsOf.
func (e *Engine) startsUntil() time.Duration {
	if e.opts.CancelWithin == 0 {
		return math.MaxInt64
	}
	return e.cancelsAsOf + e.opts.CancelWithin - startMargin
}

// mayStart reports whether the known cancellations are recent enough for starts.
// A start that is decided on older ones could reach its worker too late after the
// cancellation of its job.
func (e *Engine) mayStart(now time.Duration) bool {
	held := e.startsUntil() < now+minStartWindow
	switch {
	case held && !e.startsHeld:
		e.heldSince = now
		event.StartsHeld.Log(e.opts.Log, zap.Duration("cancels_age", e.cancelsAge(now)), zap.Int("jobs", len(e.jobs)))
	case !held && e.startsHeld:
		e.stats.StartsHeldMS += (now - e.heldSince).Milliseconds()
		event.StartsResumed.Log(e.opts.Log, zap.Duration("cancels_age", e.cancelsAge(now)), zap.Duration("after", now-e.heldSince))
	}
	e.startsHeld = held
	return !held
}
