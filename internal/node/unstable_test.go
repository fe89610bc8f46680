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
	// limit answers that this process makes too many calls.
	limit bool
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
	// inFlight is the number of transactions that wait for their answers.
	inFlight int
	// sent counts the transactions with a job, open those that may still be applied,
	// and applied those that were.
	sent, open, applied map[string]int
	// lastSent is when the last transaction with a job was sent or refused.
	lastSent map[string]time.Time
}

// newUnstableRows returns an empty table service.
func newUnstableRows(behave func(call int, commit bool) behaviour) *unstableRows {
	return &unstableRows{Rows: standin.NewRows(), behave: behave, sent: map[string]int{}, open: map[string]int{}, applied: map[string]int{},
		lastSent: map[string]time.Time{}}
}

// count adds delta to the count of each job that a transaction stores.
func (r *unstableRows) count(counts map[string]int, txn platform.RowTxn, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, w := range txn.Writes {
		if w.Table == jobTable {
			counts[w.Key] += delta
			r.lastSent[w.Key] = time.Now()
		}
	}
}

// apply applies a transaction and counts it.
func (r *unstableRows) apply(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	stamp, err := r.Rows.CommitRows(ctx, txn)
	if err == nil {
		r.count(r.applied, txn, 1)
	}
	return stamp, err
}

func (r *unstableRows) next(commit bool) behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	return r.behave(r.calls, commit)
}

func (r *unstableRows) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	b := r.next(true)
	r.count(r.sent, txn, 1)
	if err := b.refusal(); err != nil {
		return platform.Stamp{}, err
	}
	r.count(r.open, txn, 1)
	r.addInFlight(1)
	defer r.addInFlight(-1)
	if b.applyAfter > 0 {
		r.late.Go(func() {
			time.Sleep(b.applyAfter)
			_, _ = r.apply(context.Background(), txn)
		})
	}
	if err := b.wait(ctx); err != nil {
		return platform.Stamp{}, err
	}
	r.count(r.open, txn, -1)
	return r.apply(ctx, txn)
}

// traffic returns the number of jobs that were sent and of transactions in flight.
func (r *unstableRows) traffic() (sent, inFlight int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent), r.inFlight
}

func (r *unstableRows) addInFlight(delta int) {
	r.mu.Lock()
	r.inFlight += delta
	r.mu.Unlock()
}

func (r *unstableRows) ReadRows(ctx context.Context, table, part, from, to string) ([]platform.PartRow, platform.Stamp, error) {
	if err := r.next(false).wait(ctx); err != nil {
		return nil, platform.Stamp{}, err
	}
	return r.Rows.ReadRows(ctx, table, part, from, to)
}

func (r *unstableRows) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartRow, platform.Stamp, error) {
	if err := r.next(false).wait(ctx); err != nil {
		return nil, platform.Stamp{}, err
	}
	return r.Rows.Changes(ctx, table, after, wait)
}

// refusal returns the error of a call that the service refuses, nil if it does not.
func (b behaviour) refusal() error {
	switch {
	case b.refuse:
		return platform.ErrUnavailable
	case b.limit:
		return platform.ErrLimited
	}
	return nil
}

// wait returns nil once a call is to be answered, or the error of one that is not.
func (b behaviour) wait(ctx context.Context) error {
	if err := b.refusal(); err != nil {
		return err
	}
	switch {
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

// unstableNode returns a running process whose table service fails as told once it
// has stored a job of the part of testID.
func unstableNode(t *testing.T, behave func(call int, commit bool) behaviour) (*Node, *unstableRows) {
	t.Helper()
	rows := newUnstableRows(func(int, bool) behaviour { return behaviour{takes: 8 * time.Millisecond} })
	t.Cleanup(rows.late.Wait)
	n := startUnstableNode(t, rows)
	if got, _ := submitTest(t.Context(), n, sameParts(1)[0], testTimeout); got != submitStored {
		t.Fatalf("outcome %d while the service answers, want stored", got)
	}
	rows.mu.Lock()
	defer rows.mu.Unlock()
	rows.behave = behave
	return n, rows
}

// startUnstableNode returns a process that uses a table service.
func startUnstableNode(t *testing.T, rows platform.Rows) *Node {
	t.Helper()
	n := New(Options{Name: "entry-1", Rows: rows, Log: zap.NewNop(), TakeoverBackoff: time.Hour})
	go func() { _ = n.acceptor.run(t.Context()) }()
	go func() { _ = n.probeStore(t.Context()) }()
	go func() { _ = n.watchControl(t.Context()) }()
	return n
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
		commits := 0
		return func(_ int, commit bool) behaviour {
			if commit {
				commits++
			}
			if commit && commits == 1 {
				return b
			}
			return then
		}
	}
	until := func(ms int, b, then behaviour) func(int, bool) behaviour {
		var begin time.Time
		return func(int, bool) behaviour {
			if begin.IsZero() {
				begin = time.Now()
			}
			if time.Since(begin) < time.Duration(ms)*time.Millisecond {
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
		{"limited", always(behaviour{limit: true}), submitNotStored, 250, 400},
		{"reset", always(reset), submitUnknown, 2350, 2350},
		{"silent", always(silent), submitUnknown, 2350, 2350},
		{"silent once", first(silent, answered), submitStored, 900, 1200},
		{"reset once, applied late", first(behaviour{reset: true, applyAfter: time.Second}, answered), submitStored, 60, 100},
		{"reset once, then refused", first(reset, refuse), submitUnknown, 2350, 2350},
		{"silent for 1.5 s, never applied", until(1500, silent, answered), submitStored, 1500, 2200},
		{"silent for 1.5 s, applied late", until(1500, behaviour{silent: true, applyAfter: 1300 * time.Millisecond}, answered), submitStored, 1300, 2200},
		{"slow", always(behaviour{takes: 960 * time.Millisecond}), submitStored, 960, 1000},
		{"slow, and the first answer is lost", first(behaviour{reset: true, applyAfter: time.Second}, behaviour{takes: 960 * time.Millisecond}), submitStored, 960, 1100},
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

// TestJobThatWasNeverSentIsRefused guards against 504 for a job that waits behind an attempt without an answer.
func TestJobThatWasNeverSentIsRefused(t *testing.T) {
	for _, timeout := range []time.Duration{800 * time.Millisecond, testTimeout} {
		synctest.Test(t, func(t *testing.T) {
			n, rows := unstableNode(t, func(int, bool) behaviour { return behaviour{silent: true} })
			go submitTest(t.Context(), n, testID, testTimeout)
			time.Sleep(time.Millisecond)
			got, took := submitTest(t.Context(), n, sameParts(2)[1], timeout)
			if want := min(timeout, silentAfter+silenceCheckInterval); got != submitNotStored || took > want {
				t.Errorf("outcome %d after %v, want not stored within %v", got, took, want)
			}
			if sent, _ := rows.traffic(); sent != 2 {
				t.Errorf("%d jobs were sent, want those that were submitted first", sent)
			}
			begin := time.Now()
			if got, took := submitTest(t.Context(), n, sameParts(3)[2], testTimeout); timeout == testTimeout && (got != submitNotStored || took > 0) {
				t.Errorf("outcome %d after %v while the service is silent, want not stored at once", got, time.Since(begin))
			}
		})
	}
}

// TestRefusedJobIsNotUnknownWhileTheServiceIsUnreachable guards against 504 for jobs of which no attempt was applied.
func TestRefusedJobIsNotUnknownWhileTheServiceIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := unstableNode(t, func(int, bool) behaviour { return behaviour{refuse: true} })
		n.reachability.observe(platform.ErrUnavailable)
		time.Sleep(unreachableAfter - time.Millisecond)
		if got, _ := submitTest(t.Context(), n, testID, testTimeout); got != submitNotStored {
			t.Errorf("outcome %d, want not stored", got)
		}
	})
}

// TestJobIsStoredWhileReadsAreLimited guards against refusals of jobs that the service would store, since it limits reads apart from transactions.
func TestJobIsStoredWhileReadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := unstableNode(t, func(_ int, commit bool) behaviour { return behaviour{limit: !commit, takes: 8 * time.Millisecond} })
		time.Sleep(2 * unreachableAfter)
		if got, took := submitTest(t.Context(), n, testID, testTimeout); got != submitStored || took > 100*time.Millisecond {
			t.Errorf("outcome %d after %v, want stored within 100 ms; the table service is %s", got, took, n.storeState())
		}
	})
}

// TestFewTransactionsGoToASilentService guards against attempts whose outcome nobody learns.
func TestFewTransactionsGoToASilentService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, rows := unstableNode(t, func(int, bool) behaviour { return behaviour{silent: true} })
		for i := range 400 {
			go submitTest(t.Context(), n, fmt.Sprintf("%016x", i), testTimeout)
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(1300 * time.Millisecond) // those that were sent at the beginning have ended
		sent, inFlight := rows.traffic()
		if inFlight > 1 {
			t.Errorf("%d transactions are in flight 2.1 s after the last answer, want at most 1", inFlight)
		}
		if sent > 60 { // 2 ms apart until the first is unanswered
			t.Errorf("%d of 400 jobs were sent", sent)
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
