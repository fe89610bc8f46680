package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
	"github.com/egretpitch/egretpitch/internal/workload"
)

// behaviour is what the fake table service does with one call.
type behaviour struct {
	// refuse answers that the service is unavailable.
	refuse bool
	// reset ends the call without an answer at once, and silent at the end of its
	// context. A transaction is then applied after applyAfter, or never if that is 0.
	reset, silent bool
	applyAfter    time.Duration
	// takes is how long an answered call takes.
	takes time.Duration
}

// unstableRows is a table service that fails as behave says, which gets the number
// of the call and whether it is a transaction.
type unstableRows struct {
	*standin.Rows
	behave func(call int, commit bool) behaviour

	mu    sync.Mutex
	calls int
	late  sync.WaitGroup
	// outstanding is the number of transactions without an answer yet, and sent that
	// of transactions by job.
	outstanding int
	sent        map[string]int
}

func (r *unstableRows) next(commit bool) behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.behave(r.calls, commit)
}

func (r *unstableRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	b := r.next(true)
	if b.refuse {
		return platform.Stamp{}, platform.ErrUnavailable
	}
	r.mu.Lock()
	r.outstanding++
	for _, w := range txn.Writes {
		if w.Table == jobTable {
			if r.sent == nil {
				r.sent = map[string]int{}
			}
			r.sent[w.Key]++
		}
	}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.outstanding--
		r.mu.Unlock()
	}()
	if b.applyAfter > 0 {
		r.late.Go(func() {
			time.Sleep(b.applyAfter)
			_, _ = r.Rows.CommitRows(context.Background(), txn)
		})
	}
	if err := b.wait(ctx); err != nil {
		return platform.Stamp{}, err
	}
	return r.Rows.CommitRows(ctx, txn)
}

func (r *unstableRows) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if err := r.next(false).wait(ctx); err != nil {
		return nil, platform.Stamp{}, err
	}
	return r.Rows.ReadRows(ctx, table, part, from, to)
}

// wait returns nil once a call is to be answered, or the error of one that is not.
func (b behaviour) wait(ctx context.Context) error {
	switch {
	case b.refuse:
		return platform.ErrUnavailable
	case b.reset:
		return platform.ErrUnknown
	case b.silent:
		<-ctx.Done()
		return platform.ErrUnknown
	}
	select {
	case <-time.After(b.takes):
		return nil
	case <-ctx.Done():
		return platform.ErrUnknown
	}
}

// unstableNode returns a running process whose table service fails as told.
func unstableNode(t *testing.T, behave func(call int, commit bool) behaviour) (*Node, *unstableRows) {
	t.Helper()
	rows := &unstableRows{Rows: standin.NewRows(), behave: behave}
	n := New(Options{Name: "entry-1", Rows: rows, Log: zap.NewNop()})
	go func() { _ = n.acceptor.run(t.Context()) }()
	t.Cleanup(rows.late.Wait)
	return n, rows
}

// testTimeout is the time of a caller that names no deadline.
const testTimeout = defaultRequestTimeout - answerMargin

// submitTest submits a job and returns the outcome and the time that it took.
func submitTest(ctx context.Context, n *Node, id string, timeout time.Duration) (submitOutcome, time.Duration) {
	begin := time.Now()
	outcome := n.acceptor.submit(ctx, &workload.Job{ID: id, Queue: "q", Pool: "p"}, begin.Add(timeout))
	return outcome, time.Since(begin)
}

// TestAnswersWhileTheTableServiceFails guards against answers that are unknown though they need not be.
func TestAnswersWhileTheTableServiceFails(t *testing.T) {
	var (
		answered = behaviour{takes: 8 * time.Millisecond}
		refuse   = behaviour{refuse: true}
		reset    = behaviour{reset: true}
		silent   = behaviour{silent: true}
	)
	always := func(b behaviour) func(int, bool) behaviour {
		return func(int, bool) behaviour { return b }
	}
	first := func(b, then behaviour) func(int, bool) behaviour {
		return func(call int, _ bool) behaviour {
			if call == 1 {
				return b
			}
			return then
		}
	}
	for _, c := range []struct {
		name     string
		behave   func(int, bool) behaviour
		want     submitOutcome
		min, max time.Duration
	}{
		{"refused", always(refuse), submitNotStored, 250, 400},
		{"reset", always(reset), submitUnknown, 600, 700},
		{"silent", always(silent), submitUnknown, 1800, 1900},
		{"silent once", first(silent, answered), submitStored, 900, 1000},
		{"reset once, applied late", first(behaviour{reset: true, applyAfter: time.Second}, answered), submitStored, 60, 100},
		{"reset once, then refused", first(reset, refuse), submitUnknown, 600, 700},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, _ := unstableNode(t, c.behave)
				got, took := submitTest(t.Context(), n, testID, testTimeout)
				if got != c.want || took < c.min*time.Millisecond || took > c.max*time.Millisecond {
					t.Errorf("outcome %d after %v, want %d after %d to %d ms", got, took, c.want, c.min, c.max)
				}
			})
		})
	}
}

// TestJobThatWasNeverSentIsUnknown shows what a job gets that waits behind an attempt without an answer.
func TestJobThatWasNeverSentIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, rows := unstableNode(t, func(int, bool) behaviour { return behaviour{silent: true} })
		go submitTest(t.Context(), n, testID, testTimeout)
		time.Sleep(time.Millisecond)
		if got, _ := submitTest(t.Context(), n, sameParts(1)[0], 800*time.Millisecond); got != submitUnknown {
			t.Errorf("outcome %d, want unknown", got)
		}
		if sent := len(rows.sent); sent != 1 {
			t.Errorf("%d jobs were sent, want 1", sent)
		}
	})
}

// TestJobThatWasRefusedIsUnknownWhileTheServiceIsUnreachable shows that unreachable reports also refused jobs as unknown.
func TestJobThatWasRefusedIsUnknownWhileTheServiceIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := unstableNode(t, func(int, bool) behaviour { return behaviour{refuse: true} })
		n.reachability.observe(platform.ErrUnavailable)
		time.Sleep(unreachableAfter - time.Millisecond)
		if got, _ := submitTest(t.Context(), n, testID, testTimeout); got != submitUnknown {
			t.Errorf("outcome %d, want unknown", got)
		}
	})
}

// sameParts returns ids of jobs in the part of testID.
func sameParts(count int) []string {
	var ids []string
	for i := 0; len(ids) < count; i++ {
		if id := fmt.Sprintf("%016x", i); partOf(id) == partOf(testID) && id != testID {
			ids = append(ids, id)
		}
	}
	return ids
}
