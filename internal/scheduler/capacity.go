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
