package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// drainBound is the time after which no task may start on a draining worker.
const drainBound = 2 * time.Second

// silentEntries is a discovery service whose feed gives no answer while it is
// silent.
type silentEntries struct {
	*testWorkers
	silent atomic.Bool
}

func (s *silentEntries) WatchWorkers(ctx context.Context, after int64, wait time.Duration) (platform.WorkerChanges, error) {
	if s.silent.Load() {
		if err := ctxtime.Sleep(ctx, time.Second); err != nil {
			return platform.WorkerChanges{}, err
		}
		return platform.WorkerChanges{}, platform.ErrUnknown
	}
	return s.testWorkers.WatchWorkers(ctx, after, wait)
}

// The owner keeps its lease while its feed of workers' entries is silent.
func TestNoTaskStartsLongAfterItsWorkerDrains(t *testing.T) {
	n, _, f := nodeWithTwoTasks(t)
	entries := &silentEntries{testWorkers: f}
	n.Discovery = entries
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	waitFor(t, "start of the first task", func() bool { starts, _ := f.counts("w"); return starts == 1 })
	entries.silent.Store(true)
	time.Sleep(time.Second) // the call that was in flight has returned
	draining := testWorker
	draining.Draining = true
	f.list(draining)
	time.Sleep(drainBound + 500*time.Millisecond)
	f.end("w", workload.TaskID{Job: testID})
	time.Sleep(time.Second)
	if starts, _ := f.counts("w"); starts != 1 {
		t.Errorf("a task was started more than %v after its worker's entry said draining", drainBound)
	}
	if n.owner.Load() == nil || !n.owner.Load().ownershipValid(n.Clock.Now()) {
		t.Error("the owner has lost its lease, so it starts nothing in any case")
	}
}

func TestEntriesOfAPageThatIsNotTheLastDoNotRenewTheirAge(t *testing.T) {
	n, _, f := nodeWithTwoTasks(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	waitFor(t, "start of the first task", func() bool { starts, _ := f.counts("w"); return starts == 1 })
	o := n.owner.Load()
	cancel()
	<-o.done // this test has the engine to itself
	o.cancelMarks, o.entryMarks = nil, versionMarks{{version: 5, at: 2 * time.Hour}, {version: 11, at: 4 * time.Hour}}
	page := entryChanges{WorkerChanges: platform.WorkerChanges{Stamp: platform.Stamp{Version: 7}, LastVersion: 7}, sent: 3 * time.Hour}
	o.applyEntries(page, 5*time.Hour)
	if got := o.engine.EntriesAge(5 * time.Hour); got != 3*time.Hour {
		t.Errorf("entries are %v old after a page that may not be the last, want 3h: the mark of version 5", got)
	}
	page.Version = 9
	o.applyEntries(page, 5*time.Hour)
	if got := o.engine.EntriesAge(5 * time.Hour); got != 2*time.Hour {
		t.Errorf("entries are %v old after the last page, want 2h: since its call was sent", got)
	}
}
