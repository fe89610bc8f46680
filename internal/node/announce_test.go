package node

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/egretpitch/egretpitch/internal/estate"
	"github.com/egretpitch/egretpitch/internal/fleetplan"
	"github.com/egretpitch/egretpitch/internal/ownership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/scheduler"
	"github.com/egretpitch/egretpitch/internal/standin"
)

// announcingOwner returns an owner that may order hosts and whose orders a fake takes.
func announcingOwner(t *testing.T, rows *standin.Rows, epoch int64) (*owner, *busyFleet) {
	t.Helper()
	o := testOwner(t, rows, epoch)
	if err := o.fenceParts(t.Context()); err != nil {
		t.Fatal(err)
	}
	fleet := &busyFleet{}
	o.node.Fleet = fleet
	o.node.catalog.Store(estate.NewCatalog(1, nil, []*estate.Pool{{Name: "p"}, {Name: "off", Standby: true}}, estate.Limits{}))
	o.sendHeartbeat(t.Context(), o.node.Clock.Now())
	l := &recoveredState{}
	if err := o.loadRecords(t.Context(), l); err != nil {
		t.Fatal(err)
	}
	o.fleetController = newFleetController(o, nil, scheduler.WorkerHosts{}, o.node.Clock.Now())
	o.fleetController.announcer = newAnnouncer(o, l.announced)
	return o, fleet
}

// order gives an order and handles events until there is its answer, or none comes.
func (o *owner) order(t *testing.T, host string) {
	now := o.node.Clock.Now()
	f := o.fleetController
	f.orderHost(t.Context(), fleetplan.Decision{Kind: fleetplan.Move, Host: host, From: "off", To: "p"}, now)
	f.announcer.write(t.Context(), now, f.announced(t.Context()))
	for waiting := true; waiting; {
		select {
		case fn := <-o.events:
			fn(o.node.Clock.Now())
		case <-time.After(50 * time.Millisecond):
			waiting = false
		}
	}
}

// A successor that does not know of an order takes turns with its predecessor.
func TestHostOrderIsSentOnlyOnceItIsAnnounced(t *testing.T) {
	rows := standin.NewRows()
	o, fleet := announcingOwner(t, rows, 1)
	rows.SetFaults(standin.Faults{Down: true})
	if o.order(t, "h1"); fleet.sent != 0 {
		t.Fatal("an order was sent that is not announced")
	}
	rows.SetFaults(standin.Faults{})
	if o.order(t, "h1"); fleet.sent != 1 {
		t.Fatalf("%d orders were sent, want 1 once it is announced", fleet.sent)
	}
	stored, _, err := rows.ReadRows(t.Context(), announcedRow.Table, recordsPart, "", "")
	var row announcedHosts
	if err == nil && len(stored) == 1 {
		err = json.Unmarshal(stored[0].Value, &row)
	}
	if err != nil || row.Epoch != 1 || row.Hosts["h1"] == 0 {
		t.Errorf("row %+v, %v; want h1 announced by epoch 1", row, err)
	}
	if at := o.fleetController.announcer.until("h1"); at <= o.node.Clock.Now() || at > o.node.Clock.Now()+announcementLife {
		t.Errorf("the announcement holds until %v, want at most %v from now", at, announcementLife)
	}
	expired := fleetplan.Decision{Kind: fleetplan.Move, Host: "h1", To: "p"}
	if _, err := o.fleetController.sendOrder(t.Context(), expired, o.node.Clock.Now()); err == nil || fleet.sent != 1 {
		t.Error("an order was sent after the life of its announcement")
	}
}

// A pool that surges while the owner changes gets no hosts for six seconds.
func TestSuccessorOrdersTheHostsThatItsPredecessorDidNot(t *testing.T) {
	rows := standin.NewRows()
	first, _ := announcingOwner(t, rows, 1)
	first.order(t, "h1")
	second, fleet := announcingOwner(t, rows, 2)
	f, now := second.fleetController, second.node.Clock.Now()
	may := func(f *fleetController, d fleetplan.Decision, at time.Duration) bool { return f.mayOrderEarly(d, at) }
	move := fleetplan.Decision{Kind: fleetplan.Move, Host: "h2", From: "off", To: "p"}
	ordered, running, maintain, busyPool := move, move, move, move
	ordered.Host, running.Worker, maintain.Kind, busyPool.From = "h1", "w1", fleetplan.Maintain, "p"
	for name, c := range map[string]struct {
		d    fleetplan.Decision
		at   time.Duration
		want bool
	}{
		"another host":            {move, now, true},
		"the ordered host":        {ordered, now, false},
		"the ordered host, later": {ordered, now + f.announcer.keptFor() + 100*time.Millisecond, true},
		"a host with a worker":    {running, now, false},
		"maintenance":             {maintain, now, false},
		"a host of another pool":  {busyPool, now, false},
	} {
		if got := may(f, c.d, c.at); got != c.want {
			t.Errorf("%s: may be ordered at once is %v, want %v", name, got, c.want)
		}
	}
	if second.order(t, "h2"); fleet.sent != 1 {
		t.Errorf("%d orders were sent, want 1", fleet.sent)
	}
	third, _ := announcingOwner(t, rows, 3)
	if third.fleetController.announcer.free("h1", third.node.Clock.Now()) {
		t.Error("the order of the owner before the previous one is forgotten")
	}
	fourth, _ := announcingOwner(t, rows, 5)
	if may(fourth.fleetController, move, fourth.node.Clock.Now()) {
		t.Error("the hosts of an owner that announced nothing are taken for free")
	}
}

// The first plan of a successor needs no order before its predecessor's lease has ended.
func TestFirstRowOfAnOwnerIsStoredWithoutOrders(t *testing.T) {
	rows := standin.NewRows()
	o, _ := announcingOwner(t, rows, 1)
	o.fleetController.announcer.write(t.Context(), o.node.Clock.Now(), o.fleetController.announced(t.Context()))
	(<-o.events)(o.node.Clock.Now())
	next, _ := announcingOwner(t, rows, 2)
	if a := next.fleetController.announcer; !a.complete || !a.free("h1", next.node.Clock.Now()) {
		t.Error("a successor does not know that no order was given")
	}
	stale := platform.PartRow{RowKey: announcedRow, Version: 1, Value: []byte("?")}
	if newAnnouncer(&owner{node: o.node, record: ownership.Record{Epoch: 2}}, stale).complete {
		t.Error("an unreadable row counts as complete")
	}
}

// The orders of an earlier release, which announces none, are unknown to the second owner after it as well.
func TestOwnerThatWaitsForUnknownOrdersDoesNotHideThem(t *testing.T) {
	rows := standin.NewRows()
	o, _ := announcingOwner(t, rows, 2)
	f := o.fleetController
	reconcile := func() {
		f.reconcile(t.Context(), o.node.Clock.Now())
		select {
		case fn := <-o.events:
			fn(o.node.Clock.Now())
		case <-time.After(100 * time.Millisecond):
		}
	}
	o.engine = scheduler.New(scheduler.Options{Token: 1, Epoch: 1, MaxLease: 6 * time.Second, Log: zap.NewNop()})
	o.engine.SetCatalog(o.node.catalog.Load())
	f.firstOrderAt = o.node.Clock.Now() + time.Hour
	reconcile()
	next, _ := announcingOwner(t, rows, 3)
	if next.fleetController.announcer.complete {
		t.Fatal("the announcements of an owner that does not know its predecessor's orders count as complete")
	}
	f.firstOrderAt, f.lastPlan = 0, 0
	o.recordsFence = next.recordsFence
	reconcile()
	if third, _ := announcingOwner(t, rows, 3); !third.fleetController.announcer.complete {
		t.Error("the announcements are not complete once the unknown orders are over")
	}
}

// An order that is sent at the end of its announcement's life may arrive a call later.
func TestAnnouncedHostIsFreeAHolderLeaseAfterTheLastArrival(t *testing.T) {
	rows := standin.NewRows()
	first, _ := announcingOwner(t, rows, 1)
	first.order(t, "h1")
	lastArrival := first.fleetController.announcer.until("h1") + hostOrderLife
	second, _ := announcingOwner(t, rows, 2)
	second.node.HolderLease = 3 * time.Second
	if second.fleetController.announcer.free("h1", lastArrival+second.node.HolderLease) {
		t.Error("the host is free within the least time between the orders of two holders")
	}
}

// A host that owned the work briefly before may order at once, also what the owner before that has just ordered.
func TestAnnouncedHostIsHeldBackAfterTheFirstOrder(t *testing.T) {
	rows := standin.NewRows()
	first, _ := announcingOwner(t, rows, 1)
	first.order(t, "h1")
	second, _ := announcingOwner(t, rows, 2)
	second.node.HolderLease = 3 * time.Second
	f, now := second.fleetController, second.node.Clock.Now()
	f.firstOrderAt = 0
	for host, want := range map[string]bool{"h1": false, "h2": true} {
		maintain := fleetplan.Decision{Kind: fleetplan.Maintain, Host: host, Worker: "w"}
		if got := f.mayOrder(maintain, now); got != want {
			t.Errorf("%s may be ordered is %v, want %v", host, got, want)
		}
	}
	f.announcer.inherited["h1"] = 0 // the time is not known
	if !f.mayOrder(fleetplan.Decision{Kind: fleetplan.Maintain, Host: "h1"}, f.createdAt+f.announcer.keptFor()) {
		t.Error("a host whose announcement has no time is held back forever")
	}
}
