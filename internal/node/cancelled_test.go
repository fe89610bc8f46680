package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/placement"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// cancelBound is the time within which a cancellation has to take effect.
const cancelBound = 3 * time.Second

// silentFeed is a table service whose feeds of jobs and cancellations give no
// answer while it is silent. All other calls are answered.
type silentFeed struct {
	platform.Rows
	silent atomic.Bool
}

func (s *silentFeed) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	if table != jobTable && table != cancelTable {
		return s.Rows.Changes(ctx, table, after, wait)
	}
	rows, stamp, err := s.Rows.Changes(ctx, table, after, wait)
	if s.silent.Load() {
		if err := ctxtime.Sleep(ctx, time.Second); err != nil {
			return nil, platform.Stamp{}, err
		}
		return nil, platform.Stamp{}, platform.ErrUnknown
	}
	return rows, stamp, err
}

// end lists a run of a worker as done.
func (f *testWorkers) end(id string, task workload.TaskID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[id] = append(f.ends[id], platform.EndedRun{Number: int64(len(f.ends[id]) + 1), Task: task, Run: f.runs[id][task], End: platform.EndDone})
	delete(f.runs[id], task)
}

// nodeWithTwoTasks returns a node whose store holds a job of two tasks that each
// need the whole test worker.
func nodeWithTwoTasks(t *testing.T) (*Node, *standin.Rows, *testWorkers) {
	t.Helper()
	n, rows, _ := testNode(t)
	f := &testWorkers{
		changed: make(chan struct{}), runs: map[string]map[workload.TaskID]int{}, ends: map[string][]platform.EndedRun{}, starts: map[string]int{},
	}
	n.Runner, n.Discovery, n.Fleet = f, f, f
	n.Scheduling.MaxLease, n.Scheduling.StopGrace = 6*time.Second, 900*time.Millisecond
	job := &workload.Job{ID: testID, Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 2, Size: placement.Resources{Processors: testWorker.Capacity.Processors, MemoryMB: 10}}}}
	submission, err := newSubmission(job, time.Now())
	if err == nil {
		_, err = rows.CommitRows(t.Context(), platform.RowTxn{Writes: submission.rows[:]})
	}
	if err != nil {
		t.Fatal(err)
	}
	return n, rows, f
}

// The owner keeps its lease while its feeds of jobs and cancellations are silent, and a worker becomes free after the bound.
func TestNoTaskStartsLongAfterItsJobWasCancelled(t *testing.T) {
	n, rows, f := nodeWithTwoTasks(t)
	feed := &silentFeed{Rows: rows}
	n.Rows = feed
	other := New(Options{Name: "entry-2", Rows: rows, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	waitFor(t, "start of the first task", func() bool { starts, _ := f.counts("w"); return starts == 1 })
	feed.silent.Store(true)
	if err := other.writeCancel(ctx, testID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(cancelBound)
	f.end("w", workload.TaskID{Job: testID})
	time.Sleep(time.Second)
	if starts, _ := f.counts("w"); starts != 1 {
		t.Errorf("a task was started more than %v after the cancellation of its job", cancelBound)
	}
	if n.owner.Load() == nil || !n.owner.Load().ownershipValid(n.Clock.Now()) {
		t.Error("the owner has lost its lease, so it starts nothing in any case")
	}
}

func TestSlowestCancelledJobIsPublished(t *testing.T) {
	c := newCancelledRuns()
	c.record(scheduler.CancelledRunsEnd{Job: "a", Worker: "w1", Took: time.Second, Age: -1})
	c.record(scheduler.CancelledRunsEnd{Job: "b", Worker: "w2", Took: 2 * time.Second, Age: time.Second})
	c.record(scheduler.CancelledRunsEnd{Job: "c", Worker: "w3", Took: time.Millisecond, Age: 0})
	s := c.summary()
	if diff := cmp.Diff(map[string]any{"job": "b", "worker": "w2", "us": int64(2_000_000)}, s["slowest"]); diff != "" {
		t.Errorf("slowest (-want +got):\n%s", diff)
	}
	known, stored := s["known"].(map[string]int64), s["stored"].(map[string]int64)
	if known["count"] != 3 || stored["count"] != 2 || known["max"] < 1_980_000 || stored["max"] < 2_970_000 {
		t.Errorf("known %v, stored %v; want 3 ends up to 2 s, and 2 up to 3 s", known, stored)
	}
}
