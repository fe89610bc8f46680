package permit_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/permit"
	"github.com/egretpitch/egretpitch/internal/platform"
)

func registered(name string, version int64) membership.Entry {
	row := membership.EntryRow{Name: name, Host: name, Boot: "boot", Incarnation: 1}
	return membership.Entry{EntryRow: row, Version: version}
}

func present(membership.Entry) time.Duration { return 0 }

// TestDrainScansAfterTheLastAcknowledgement lets an entry register between the
// scan and the acknowledgement of a peer, which may have vouched for it.
func TestDrainScansAfterTheLastAcknowledgement(t *testing.T) {
	peer, newcomer := registered("peer", 1), registered("newcomer", 2)
	peerID := permit.EntryID{Name: "peer", Incarnation: 1}
	newcomerID := permit.EntryID{Name: "newcomer", Incarnation: 1}
	d := permit.NewDrain(permit.AssignmentVersion{Epoch: 1, Version: 5})
	expect := func(step string, want permit.Decision) {
		t.Helper()
		if diff := cmp.Diff(want, d.MayComplete(present)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step, diff)
		}
	}
	expect("before any scan", permit.Decision{Rescan: true})
	d.Scanned(d.BeginScan(), []membership.Entry{peer})
	d.Acknowledge(peerID, permit.AssignmentVersion{Epoch: 1, Version: 4}, 0)
	expect("older mark", permit.Decision{Waiting: []permit.Waiting{{Entry: peerID, Reason: permit.NotAcknowledged}}})
	d.Acknowledge(peerID, permit.AssignmentVersion{Epoch: 1, Version: 5}, 1)
	expect("in flight", permit.Decision{Waiting: []permit.Waiting{{Entry: peerID, Reason: permit.InFlight}}})
	early := d.BeginScan()
	d.Acknowledge(peerID, permit.AssignmentVersion{Epoch: 2, Version: 0}, 0)
	d.Scanned(early, []membership.Entry{peer})
	expect("scan began before", permit.Decision{Rescan: true})
	d.Scanned(d.BeginScan(), []membership.Entry{newcomer, peer})
	expect("newcomer", permit.Decision{Waiting: []permit.Waiting{{Entry: newcomerID, Reason: permit.NotAcknowledged}}})
	d.Acknowledge(newcomerID, permit.AssignmentVersion{Epoch: 1, Version: 5}, 0)
	d.Scanned(d.BeginScan(), []membership.Entry{newcomer, peer})
	expect("all", permit.Decision{Complete: true})
}

// TestEntryThatRenewedItsRowIsNotGone keeps an entry off the list for long and
// lets it write its row again while the list still lacks it.
func TestEntryThatRenewedItsRowIsNotGone(t *testing.T) {
	entry := registered("entry", 1)
	listed := []platform.ListedHost{{Host: host.Host{Name: "entry"}}}
	a := permit.NewAbsences()
	now := time.Duration(0)
	observe := func(list []platform.ListedHost) {
		for until := now + permit.MaxAbsence + time.Second; now < until; now += time.Second {
			a.Observe(now, list, []membership.Entry{entry})
		}
	}
	observe(listed)
	observe(nil)
	if gone := a.AbsentFor(entry); gone < permit.MaxAbsence {
		t.Errorf("gone for %v, want at least %v", gone, permit.MaxAbsence)
	}
	if gone := a.AbsentFor(registered("entry", 2)); gone != 0 {
		t.Errorf("a renewed row is gone for %v", gone)
	}
	a.MessageReceived(now, permit.EntryID{Name: "entry", Incarnation: 1})
	if gone := a.AbsentFor(entry); gone != 0 {
		t.Errorf("an entry that was just heard is gone for %v", gone)
	}
	a = permit.NewAbsences()
	observe(nil)
	if gone := a.AbsentFor(entry); gone != 0 {
		t.Errorf("an entry that was never listed is gone for %v", gone)
	}
}

// TestGrantFromBeforeAPauseStaysDead holds on to a grant over a pause after
// which the right comes back.
func TestGrantFromBeforeAPauseStaysDead(t *testing.T) {
	g := permit.NewRegistration(0)
	r := g.Permit("p")
	version := permit.AssignmentVersion{Epoch: 1, Version: 1}
	regain := func(now time.Duration) *permit.Grant {
		renewal, _ := g.Pending(now)
		g.Registered(now, renewal)
		g.Confirmed(now, permit.Confirmation{Registered: true, Renewal: renewal, Epochs: map[string]uint64{"p": 1}})
		return r.OfferFromOwner(now, now, version)
	}
	old := regain(time.Second)
	before, _ := g.Pending(time.Second)
	woke := time.Second + 2*permit.MaxPause
	if !old.MayRoute(time.Second) || old.MayRoute(woke) {
		t.Error("the grant does not end with the pause")
	}
	if late := r.OfferFromOwner(time.Second, woke, version); late != nil {
		t.Error("an exchange from before the pause was taken")
	}
	g.Registered(woke, before)
	if _, pending := g.Pending(woke); !pending {
		t.Error("a row written before the pause counts as registration")
	}
	if fresh := regain(woke); old.MayRoute(woke) || !fresh.MayRoute(woke) || !r.MayRoute(woke) {
		t.Error("the old grant came back, or the new one did not")
	}
	last := regain(woke)
	g.Unregister(woke)
	if last.MayRoute(woke) {
		t.Error("the grant outlives the registration")
	}
}

func BenchmarkMayRoute(b *testing.B) {
	g := permit.NewRegistration(0)
	renewal, _ := g.Pending(0)
	g.Registered(0, renewal)
	grant := g.Permit("p").OfferFromPeer(0, 0, permit.AssignmentVersion{})
	b.ReportAllocs()
	for b.Loop() {
		if !grant.MayRoute(0) {
			b.Fatal("no right")
		}
	}
}
