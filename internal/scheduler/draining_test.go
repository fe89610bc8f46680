package scheduler

import (
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/workload"
)

// The owner reads cancellations all the time, but no entries of workers.
func TestStartsEndWithTheAgeOfTheWorkersEntries(t *testing.T) {
	const drainWithin, clockMS = 2 * time.Second, 50_000
	e := fullEngine(1, 4, 0)
	e.opts.CancelWithin, e.opts.DrainWithin = 3*time.Second, drainWithin
	read := 10 * time.Second
	e.EntriesRead(read)
	for _, w := range e.workers {
		w.clockMS, w.clockAt = clockMS, read
	}
	starts := func(now time.Duration, job int) (list []*StartOrder) {
		j := jobOf(job, 1, 1)
		j.Steps[0].Size.MemoryMB = 1
		j.Queue, j.Pool = "p0", "p0"
		e.AddJob(j, &workload.Progress{Queue: "p0", State: workload.Queued}, 1, now, false, now)
		e.CancelsRead(now, 0)
		for _, order := range e.Decide(now, OwnershipValid) {
			if s, ok := order.(*StartOrder); ok {
				list = append(list, s)
			}
		}
		return list
	}
	list := starts(read+time.Second, 1)
	if len(list) != 1 {
		t.Fatalf("%d starts while the entries are recent, want 1", len(list))
	}
	if got, most := list[0].DeadlineMS, int64(clockMS)+(drainWithin-startMargin).Milliseconds(); got > most || list[0].NotAfter > read+drainWithin-startMargin {
		t.Errorf("the start may be sent until %v and carried out until %d on the worker's clock, want %v and %d", list[0].NotAfter, got, read+drainWithin-startMargin, most)
	}
	late := read + drainWithin - startMargin
	if n := len(starts(late, 2)); n != 0 {
		t.Errorf("%d starts on entries that are %v old, want 0", n, late-read)
	}
	e.EntriesRead(late)
	if n := len(starts(late+time.Millisecond, 3)); n != 2 {
		t.Errorf("%d starts once the entries were read again, want 2", n)
	}
}
