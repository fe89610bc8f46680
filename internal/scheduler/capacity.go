package scheduler

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/placement"
)

// overcommits reports whether the workers of a pool start whatever they are told
// to, also beyond their capacity.
func (e *Engine) overcommits(poolName string) bool {
	if e.catalog == nil {
		return false
	}
	p := e.catalog.Pools[poolName]
	return p != nil && !p.RejectsOverload
}

// recordCapacity records the capacity of an entry of this incarnation.
func (w *worker) recordCapacity(capacity placement.Resources) {
	if w.ownEntry {
		capacity = capacity.Max(w.full)
	}
	w.full = capacity
}

// maxEntryDelay is the longest time after which the store may still carry out the
// write of an entry. A larger difference between two entries is not a delay: one of
// their clocks is wrong.
const maxEntryDelay = 12 * time.Second

// hasNewerEntry reports whether an entry of the same incarnation was read that the
// worker wrote later: the store may carry out a write after newer ones.
func (w *worker) hasNewerEntry(entry estate.Worker) bool {
	same := w.ownEntry && entry.StartedMS != 0 && entry.StartedMS == w.StartedMS
	return same && entry.ClockMS < w.ClockMS && entry.ClockMS >= w.ClockMS-maxEntryDelay.Milliseconds()
}

// capacityValidity returns how long after it was written an entry of the pool may
// be relied on for the capacity of its worker, 0 without a limit.
func (e *Engine) capacityValidity(poolName string) time.Duration {
	if !e.overcommits(poolName) {
		return 0
	}
	return e.opts.CapacityValidity
}

// capacityValidTo returns until when, on its own clock, the worker may start tasks
// by the capacity of its entry. It reports false if there is no limit.
func (w *worker) capacityValidTo(now time.Duration) (int64, bool) {
	validity := w.pool.capacityValidity
	if validity == 0 {
		return 0, false
	}
	written := min(w.ClockMS, w.clock(now))
	if w.ClockMS == 0 {
		written = w.clock(w.entryAt)
	}
	return written + int64(float64(validity.Milliseconds())*(1-clockDrift)), true
}

// capacityOutdated reports whether the worker's entry is too old to start anything.
// The clock of a worker that was not polled for long may be behind its estimate. A
// start that is sent too late is refused, and the worker is polled then.
func (w *worker) capacityOutdated(now time.Duration) bool {
	validTo, limited := w.capacityValidTo(now)
	if !limited {
		return false
	}
	return w.earliestClock(now)+minStartWindow.Milliseconds() > validTo
}

// startDeadline returns until when, on its own clock, the worker may carry out a
// start that is decided now.
func (w *worker) startDeadline(now time.Duration) int64 {
	deadline := w.clock(now) + startWindow.Milliseconds()
	if validTo, limited := w.capacityValidTo(now); limited {
		deadline = min(deadline, validTo)
	}
	return deadline
}
