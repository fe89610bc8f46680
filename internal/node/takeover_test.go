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
