package node

import (
	"context"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// acquireUnanswered lets a process acquire the control work with a write whose
// answer is lost, and shows it the record that was written. The ownership that
// starts from it cannot load the stored state.
func acquireUnanswered(t *testing.T) *Node {
	t.Helper()
	n, rows, _ := testNode(t)
	rows.SetFaults(standin.Faults{LoseAnswers: 1})
	n.acquire(t.Context())
	readControl(t, n, rows)
	rows.SetFaults(standin.Faults{Down: true})
	return n
}

// The view still shows the record of the ownership that has ended.
func TestEndedOwnershipIsNotStartedAgain(t *testing.T) {
	n := acquireUnanswered(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.acquireIfVacant(ctx, n.Clock.Now())
	first := n.owner.Load()
	if first == nil {
		t.Fatal("the ownership is not started")
	}
	first.cancel()
	<-first.done
	n.acquireIfVacant(ctx, n.Clock.Now())
	if again := n.owner.Load(); again != nil {
		t.Errorf("an ownership with token %d is started after the one with token %d has ended", again.token, first.token)
	}
}

// Others count from the record, which the store applied before the last attempt was sent.
func TestTakeoverFoundInTheFeedBringsNoLease(t *testing.T) {
	n, rows, _ := testNode(t)
	rows.SetFaults(standin.Faults{LoseAnswers: 1})
	n.acquire(t.Context())
	n.acquire(t.Context()) // refused, as the first attempt was applied
	readControl(t, n, rows)
	rows.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.acquireIfVacant(ctx, n.Clock.Now())
	if o := n.owner.Load(); o == nil || o.ownershipValid(n.Clock.Now()) {
		t.Error("the ownership is not started, or its lease is valid")
	}
}

// Others count from the write, which may be answered late.
func TestOwnershipLeaseCountsFromTheSendingOfTheRecord(t *testing.T) {
	n := acquireUnanswered(t)
	time.Sleep(ownership.LeaseDuration)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.acquireIfVacant(ctx, n.Clock.Now())
	if o := n.owner.Load(); o == nil || o.ownershipValid(n.Clock.Now()) {
		t.Errorf("the ownership is %v, want one with an expired lease", o)
	}
}

// slowTakeover answers the write of an owner record late, and carries out no other.
type slowTakeover struct{ *standin.Rows }

func (s slowTakeover) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	if txn.Writes[0].RowKey != ownerRow {
		return platform.Stamp{}, platform.ErrUnavailable
	}
	stamp, err := s.Rows.CommitRows(ctx, txn)
	time.Sleep(ownership.LeaseDuration / 2)
	return stamp, err
}

func TestOwnershipLeaseDoesNotCountFromALateAnswer(t *testing.T) {
	n, rows, _ := testNode(t)
	n.Rows = slowTakeover{rows}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n.acquire(ctx)
	if o := n.owner.Load(); o == nil || !o.ownershipValid(n.Clock.Now()) {
		t.Fatal("the ownership is not started, or its lease has expired")
	}
	time.Sleep(ownership.LeaseDuration / 2)
	if n.owner.Load().ownershipValid(n.Clock.Now()) {
		t.Error("the lease lasts longer than LeaseDuration after the sending of the record")
	}
}
