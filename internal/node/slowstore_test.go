package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// slowRows is a table service whose parts apply one transaction at a time, each in
// half a second, and refuse more than a second of waiting ones.
type slowRows struct {
	*standin.Rows
	reads time.Duration
	// refusal is the error of a transaction that is refused.
	refusal error

	mu    sync.Mutex
	until map[string]time.Time
	late  sync.WaitGroup
	// applied and refused count transactions.
	applied, refused int
}

const slowCommit = 480 * time.Millisecond

func (r *slowRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	part := txn.Conditions[0].Part
	r.mu.Lock()
	now := time.Now()
	if r.until[part].Before(now) {
		r.until[part] = now
	}
	if r.until[part].Sub(now) > time.Second {
		r.refused++
		r.mu.Unlock()
		time.Sleep(8 * time.Millisecond)
		return platform.Stamp{}, r.refusal
	}
	r.until[part] = r.until[part].Add(slowCommit)
	done := r.until[part]
	r.applied++
	r.mu.Unlock()
	type answer struct {
		stamp platform.Stamp
		err   error
	}
	answered := make(chan answer, 1)
	r.late.Go(func() {
		time.Sleep(time.Until(done))
		stamp, err := r.Rows.CommitRows(context.Background(), txn)
		answered <- answer{stamp, err}
	})
	select {
	case a := <-answered:
		return a.stamp, a.err
	case <-ctx.Done():
		return platform.Stamp{}, platform.ErrUnknown
	}
}

func (r *slowRows) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if err := (behaviour{takes: r.reads}).wait(ctx); err != nil {
		return nil, platform.Stamp{}, err
	}
	return r.Rows.ReadRows(ctx, table, part, from, to)
}

func (r *slowRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	if err := (behaviour{takes: r.reads}).wait(ctx); err != nil {
		return nil, platform.Stamp{}, err
	}
	return r.Rows.Changes(ctx, table, after, wait)
}

// TestSlowPartsAreUsed guards against transactions whose answers are given up while they wait in a slow part that answers reads; 14 jobs were stored and 139 unknown.
func TestSlowPartsAreUsed(t *testing.T) {
	for _, c := range []struct {
		reads   time.Duration
		refusal error
	}{
		{8 * time.Millisecond, platform.ErrUnavailable}, {slowCommit, platform.ErrUnavailable},
		{8 * time.Millisecond, platform.ErrLimited}, {slowCommit, platform.ErrLimited},
	} {
		t.Run(c.reads.String()+" "+c.refusal.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := &slowRows{Rows: standin.NewRows(), reads: c.reads, refusal: c.refusal, until: map[string]time.Time{}}
				defer rows.late.Wait()
				var nodes []*Node
				for range 42 {
					nodes = append(nodes, startUnstableNode(t, rows))
				}
				random := rand.New(rand.NewPCG(1, 2))
				var counts [submitCancelled + 1]atomic.Int32
				var callers sync.WaitGroup
				begin := time.Now()
				for i := range 64 * 20 {
					node := nodes[random.IntN(len(nodes))]
					callers.Go(func() {
						outcome, _ := submitTest(t.Context(), node, fmt.Sprintf("%016x", i*0x9e3779b97f4a7c1>>1), testTimeout)
						counts[outcome].Add(1)
					})
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 64))
				}
				took := time.Since(begin)
				callers.Wait()
				stored, refused, unknown := counts[submitStored].Load(), counts[submitNotStored].Load(), counts[submitUnknown].Load()
				t.Logf("in %v: stored %d, not stored %d, unknown %d; %d transactions applied, %d refused", took, stored, refused, unknown, rows.applied, rows.refused)
				if stored < 150 || unknown > 15 {
					t.Errorf("%d jobs are stored and %d unknown, want at least 150 and at most 15", stored, unknown)
				}
			})
		})
	}
}
