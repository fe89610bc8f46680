package node

import (
	"context"
	"testing"
	"time"

	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// commitControl stores a row of the control table.
func commitControl(t *testing.T, rows *standin.Rows, key platform.RowKey, value any) {
	t.Helper()
	encoded, err := ownership.Encode(value)
	if err == nil {
		_, err = rows.CommitRows(t.Context(), platform.RowTxn{Writes: []platform.RowWrite{{RowKey: key, Value: encoded}}})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// An owner did not reach the store for a while; its heartbeats come back while a
// host with little processor time waits before it takes over.
func TestSmallHostLeavesTheControlWorkToAnOwnerThatIsBack(t *testing.T) {
	small, rows, _ := nodeWithTwoTasks(t)
	small.TakeoverBackoff = 1500 * time.Millisecond
	commitControl(t, rows, ownerRow, ownership.Record{Owner: "large", Incarnation: 7, Epoch: 1})
	commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = small.watchControl(ctx) }()
	time.Sleep(ownership.TakeoverTimeout + 700*time.Millisecond)
	for range 8 {
		commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
		time.Sleep(ownership.HeartbeatInterval)
	}
	if small.owner.Load() != nil {
		t.Error("the small host has taken over from an owner that sends heartbeats")
	}
	deadline := time.Now().Add(ownership.TakeoverTimeout + 6*time.Second)
	for small.owner.Load() == nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if small.owner.Load() == nil {
		t.Error("the small host does not take over once the heartbeats have ended for good")
	}
}

// The previous owner comes back while a successor's record is on its way.
func TestHeartbeatAfterTheSuccessorsLastReadPreventsTheTakeover(t *testing.T) {
	n, rows, _ := nodeWithTwoTasks(t)
	commitControl(t, rows, ownerRow, ownership.Record{Owner: "previous", Incarnation: 7, Epoch: 1})
	for _, c := range []struct {
		name string
		read bool
	}{{"first heartbeat", false}, {"later heartbeat", true}} {
		if c.read {
			commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
		}
		readControl(t, n, rows)
		commitControl(t, rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
		n.acquire(t.Context())
		if n.owner.Load() != nil {
			t.Fatalf("%s: the process has taken over from an owner whose lease may be valid", c.name)
		}
		readControl(t, n, rows)
		if view := n.view.Load(); view.Record.Owner != "previous" || view.Vacant(n.self(), n.Clock.Now()) {
			t.Errorf("%s: the owner is %q, vacant %v; want the previous one for a while", c.name, view.Record.Owner, view.Vacant(n.self(), n.Clock.Now()))
		}
	}
}

// readControl shows a process the rows of the control table.
func readControl(t *testing.T, n *Node, rows *standin.Rows) {
	t.Helper()
	stored, _, err := rows.ReadRows(t.Context(), controlTable, controlPart, "", "")
	if err == nil {
		err = n.observeControl(stored, n.Clock.Now())
	}
	if err != nil {
		t.Fatal(err)
	}
}

// rowsWithLateHeartbeats applies a heartbeat of an ended process before each of
// the next transactions that write the owner record.
type rowsWithLateHeartbeats struct {
	*standin.Rows
	t    *testing.T
	left int
}

func (r *rowsWithLateHeartbeats) CommitRows(ctx context.Context, txn platform.RowTxn) (platform.Stamp, error) {
	if r.left > 0 && txn.Writes[0].RowKey == ownerRow {
		r.left--
		commitControl(r.t, r.Rows, heartbeatRow, ownership.Heartbeat{Incarnation: 7})
	}
	return r.Rows.CommitRows(ctx, txn)
}

// The store applies heartbeats of the incarnation before late.
func TestLateHeartbeatsHoldUpARestartedOwnerOnlyBriefly(t *testing.T) {
	n, rows, _ := nodeWithTwoTasks(t)
	commitControl(t, rows, ownerRow, ownership.Record{Owner: n.Name, Incarnation: 7, Epoch: 1})
	late := &rowsWithLateHeartbeats{rows, t, 4}
	n.Rows = late
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	begin := time.Now()
	go func() { _ = n.watchControl(ctx) }()
	waitFor(t, "ownership", func() bool { return n.owner.Load() != nil })
	if took := time.Since(begin); took > ownership.TakeoverTimeout {
		t.Errorf("the restarted process owns the control work after %v, want less than a takeover timeout", took)
	}
}

// The small host is the only one for a while.
func TestSmallHostHandsTheControlWorkOverToALargeOne(t *testing.T) {
	small, rows, f := nodeWithTwoTasks(t)
	small.TakeoverBackoff = 100 * time.Millisecond
	f.list(testWorker)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = small.watchControl(ctx) }()
	waitFor(t, "start of the first task", func() bool { starts, _ := f.counts("w"); return starts == 1 })
	options := small.Options
	options.Name, options.TakeoverBackoff = "large", 0
	large := New(options)
	large.catalog.Store(small.catalog.Load())
	go func() { _ = large.watchControl(ctx) }()
	waitFor(t, "the large host owns the control work", func() bool { o := large.owner.Load(); return o != nil && o.deciding.Load() })
	if small.owner.Load() != nil {
		t.Error("the small host owns it as well")
	}
	time.Sleep(3 * time.Second)
	if large.owner.Load() == nil || small.owner.Load() != nil {
		t.Error("the control work has left the large host")
	}
	if rows, _, err := rows.ReadRows(ctx, controlTable, controlPart, "", ""); err != nil || len(rows) != 3 {
		t.Errorf("%d rows in the control table, error %v; want owner, heartbeat and offer", len(rows), err)
	}
}

func TestLargeHostOffersOnceAndToConstrainedOwnersOnly(t *testing.T) {
	large, small := ownership.Record{Owner: "large"}, ownership.Record{Owner: "small", Constrained: true}
	for _, c := range []struct {
		owner, self ownership.Record
		offerFor    int64
		want        bool
	}{
		{small, large, 0, true}, {small, large, 6, true}, {small, large, 7, false}, {large, large, 0, false}, {small, small, 0, false}, {ownership.Record{}, large, 0, false},
	} {
		v := ownership.View{Record: c.owner, RecordVersion: 7, Offer: ownership.Offer{Token: c.offerFor}}
		if got := v.OfferDue(c.self); got != c.want {
			t.Errorf("owner %q, self %q, offer for version %d: due %v, want %v", c.owner.Owner, c.self.Owner, c.offerFor, got, c.want)
		}
	}
	v := ownership.View{Record: small, RecordVersion: 9, Offer: ownership.Offer{Token: 7}}
	if v.Offered(7) || v.Offered(9) {
		t.Error("an offer to a previous owner counts")
	}
}
