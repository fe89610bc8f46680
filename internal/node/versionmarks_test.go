package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// lateAnswers is a table service whose answers about a table arrive late, if a
// delay is set for them.
type lateAnswers struct {
	platform.Rows
	changes, reads atomic.Int64
	silent         atomic.Bool
}

func (s *lateAnswers) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	if table == cancelTable && s.silent.Load() {
		return nil, platform.Stamp{}, ctxtime.Sleep(ctx, time.Hour)
	}
	late := time.Duration(s.changes.Load())
	rows, stamp, err := s.Rows.Changes(ctx, table, after, wait)
	if table == cancelTable && late > 0 {
		if err := ctxtime.Sleep(ctx, late); err != nil {
			return nil, platform.Stamp{}, err
		}
	}
	return rows, stamp, err
}

func (s *lateAnswers) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	rows, stamp, err := s.Rows.ReadRows(ctx, table, part, from, to)
	if late := time.Duration(s.reads.Load()); table == cancelTable && late > 0 {
		if err := ctxtime.Sleep(ctx, late); err != nil {
			return nil, platform.Stamp{}, err
		}
	}
	return rows, stamp, err
}

// startLateAnswers returns a node with a job of two tasks, whose table service
// answers late, and another node that uses the service itself.
func startLateAnswers(t *testing.T) (n, other *Node, service *lateAnswers, f *testWorkers) {
	t.Helper()
	n, rows, f := nodeWithTwoTasks(t)
	service = &lateAnswers{Rows: rows}
	n.Rows = service
	other = New(Options{Name: "entry-2", Rows: rows, Log: zap.NewNop()})
	return n, other, service, f
}

// The answer that the owner handles last was read from the store before the cancellation.
func TestAgeOfTheCancellationsCountsFromTheSendingOfTheCall(t *testing.T) {
	n, other, service, f := startLateAnswers(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.list(testWorker)
	n.acquire(ctx)
	waitFor(t, "start of the first task", func() bool { starts, _ := f.counts("w"); return starts == 1 })
	service.changes.Store(int64(2500 * time.Millisecond))
	time.Sleep(2 * feedLongPollWait) // the call that was in flight has returned, and the next one has been read
	if err := other.writeCancel(ctx, testID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(cancelBound)
	f.end("w", workload.TaskID{Job: testID})
	time.Sleep(500 * time.Millisecond)
	if starts, _ := f.counts("w"); starts != 1 {
		t.Errorf("a task was started more than %v after the cancellation of its job", cancelBound)
	}
}

// The cancellation follows the read of a new owner, whose answer is late.
func TestAgeOfTheCancellationsCountsFromTheReadOfANewOwner(t *testing.T) {
	n, other, service, f := startLateAnswers(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	service.reads.Store(int64(2500 * time.Millisecond))
	service.silent.Store(true)
	n.acquire(ctx)
	time.Sleep(200 * time.Millisecond)
	if err := other.writeCancel(ctx, testID); err != nil {
		t.Fatal(err)
	}
	time.Sleep(cancelBound)
	f.list(testWorker)
	time.Sleep(1500 * time.Millisecond)
	if o := n.owner.Load(); o == nil || !o.deciding.Load() {
		t.Fatal("the owner has not loaded the stored state")
	}
	if starts, _ := f.counts("w"); starts != 0 {
		t.Errorf("a task was started more than %v after the cancellation of its job", cancelBound)
	}
}

func TestVersionMarksReachNoLaterVersion(t *testing.T) {
	var m versionMarks
	m = m.add(4, time.Second).add(6, 2*time.Second).add(8, 3*time.Second)
	asOf, later := m.reach(7)
	if asOf != 2*time.Second || len(later) != 1 || later[0].version != 8 {
		t.Errorf("reach(7) = %v, %v; want 2s and the mark of version 8", asOf, later)
	}
	if asOf, later = later.reach(7); asOf != 0 || len(later) != 1 {
		t.Errorf("reach(7) = %v, %v without an earlier mark; want 0 and the mark of version 8", asOf, later)
	}
}
