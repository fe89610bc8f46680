package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/scheduler"
)

// Events come all the time.
func TestRoundsOfDecisionsAreApartAndCoverAllEvents(t *testing.T) {
	n, _, f := nodeWithTwoTasks(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const workers = 400
	entries := make([]estate.Worker, workers)
	for i := range entries {
		entries[i] = testWorker
		entries[i].ID, entries[i].Draining = fmt.Sprintf("w%d", i), true
	}
	f.list(entries...)
	n.acquire(ctx)
	waitFor(t, "the owner decides", func() bool { o := n.owner.Load(); return o != nil && o.deciding.Load() })
	o := n.owner.Load()
	var rounds []time.Duration
	handled := 0
	began := n.Clock.Now()
	const events = 300
	for range events {
		o.post(ctx, func(time.Duration) {
			handled++
			if len(rounds) == 0 || rounds[len(rounds)-1] != o.lastRound {
				rounds = append(rounds, o.lastRound)
			}
		})
		time.Sleep(time.Millisecond)
	}
	done := make(chan scheduler.Stats, 1)
	o.post(ctx, func(time.Duration) { done <- o.engine.Stats() })
	<-done
	if handled != events {
		t.Errorf("%d of %d events were handled", handled, events)
	}
	// Ticks begin further rounds.
	elapsed := n.Clock.Now() - began
	if most := int(elapsed/(workers*roundIntervalPerWorker)) + int(elapsed/decideInterval) + 2; len(rounds) > most {
		t.Errorf("%d rounds in %v, want at most %d", len(rounds), elapsed, most)
	}
}
