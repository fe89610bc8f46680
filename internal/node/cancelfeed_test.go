package node

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/ctxtime"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// troubledRows is a table service that returns few rows at a time, late, and leaves
// calls of feeds without an answer.
type troubledRows struct {
	*standin.Rows
	mu     sync.Mutex // guards random
	random *rand.Rand
}

// wait delays a call by up to a time. One in so many silent calls gets no answer.
func (s *troubledRows) wait(ctx context.Context, most time.Duration, silent int) error {
	s.mu.Lock()
	delay := time.Duration(s.random.Int64N(int64(most)))
	if s.random.IntN(silent) == 0 {
		delay = time.Hour
	}
	s.mu.Unlock()
	return ctxtime.Sleep(ctx, delay)
}

// rowsInPage is the number of rows that a page holds.
const rowsInPage = 3

func (s *troubledRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	rows, stamp, err := s.Rows.Changes(ctx, table, after, wait)
	if len(rows) > rowsInPage {
		rows = rows[:rowsInPage]
		stamp.Version = rows[rowsInPage-1].Version
	}
	if err := s.wait(ctx, 50*time.Millisecond, 50); err != nil {
		return nil, platform.Stamp{}, err
	}
	return rows, stamp, err
}

func (s *troubledRows) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if err := s.wait(ctx, 100*time.Millisecond, math.MaxInt); err != nil {
		return nil, platform.Stamp{}, err
	}
	var all []platform.PartRow
	var first platform.Stamp
	for {
		rows, stamp, err := s.Rows.ReadRows(ctx, table, part, from, to)
		if err == nil {
			err = s.wait(ctx, 2*time.Millisecond, math.MaxInt)
		}
		if err != nil {
			return nil, platform.Stamp{}, err
		}
		if first.Version == 0 {
			first = stamp
		}
		if len(rows) <= rowsInPage {
			return append(all, rows...), first, nil
		}
		all = append(all, rows[:rowsInPage]...)
		from = rows[rowsInPage-1].Key + "\x00"
	}
}

// The owner reads cancellations in pages, beside silent calls, and anew whenever the history is dropped.
func TestEveryCancellationOlderThanTheStatedAgeIsKnown(t *testing.T) {
	rows := standin.NewRows()
	o := testOwner(t, rows, 1)
	n := o.node
	const seed = 20261206
	n.Rows = &troubledRows{Rows: rows, random: rand.New(rand.NewPCG(seed, 0))}
	o.engine = scheduler.New(scheduler.Options{
		Token: o.token, Epoch: 1, MaxLease: time.Second, CancelWithin: cancelBound, Parts: jobParts, PartOf: partOf, Log: zap.NewNop(),
	})
	o.engine.SetCatalog(testCatalog(1, "/q/"))
	const jobs = 300
	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
		job := &workload.Job{ID: ids[i], Queue: "q", Pool: "p", Steps: []workload.Step{{Count: 1}}}
		o.engine.AddJob(job, &workload.Progress{Queue: "q", State: workload.Queued}, 1, 0, false, 0)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stamp, err := rows.CommitRows(ctx, platform.RowTxn{})
	if err != nil {
		t.Fatal(err)
	}
	go o.sendHeartbeats(ctx)
	go o.watchCancels(ctx, stamp.Version)

	var mu sync.Mutex // guards acknowledged
	var acknowledged []time.Duration
	other := New(Options{Name: "entry-2", Rows: rows, Log: zap.NewNop()})
	go func() {
		for i, id := range ids {
			if err := other.writeCancel(ctx, id); err != nil {
				return // ctx has ended
			}
			mu.Lock()
			acknowledged = append(acknowledged, other.Clock.Now())
			mu.Unlock()
			if i%40 == 20 {
				rows.Forget()
			}
			_ = ctxtime.Sleep(ctx, 10*time.Millisecond)
		}
	}()

	deadline := time.After(30 * time.Second)
	decidedAt := n.Clock.Now()
	for handled := int64(0); handled < jobs; {
		select {
		case fn := <-o.events:
			fn(n.Clock.Now())
		case <-deadline:
			t.Fatalf("%d of %d cancellations are known", handled, jobs)
		}
		decidedAt += 100 * time.Millisecond // the age is counted once in a sweep
		o.engine.Decide(decidedAt, scheduler.OwnershipExpired)
		s := o.engine.Stats()
		handled = s.JobsCancelled
		asOf := decidedAt - time.Duration(s.CancelsAgeMS+1)*time.Millisecond
		mu.Lock()
		stored := int64(0)
		for _, at := range acknowledged {
			if at < asOf {
				stored++
			}
		}
		mu.Unlock()
		if handled < stored {
			t.Fatalf("%d cancellations are known, of %d that were stored before the time up to which all are", handled, stored)
		}
	}
}
