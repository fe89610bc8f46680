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

// TestDrainScansAfterTheLastAcknowledgement guards against a drain that
// completes on a scan from before the last acknowledgement: an entry that
// registers in between may have received the host from the peer that had not
// acknowledged yet.
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
	expect("older version", permit.Decision{Waiting: []permit.Waiting{{Entry: peerID, Reason: permit.NotAcknowledged}}})
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

// TestEntryThatRenewedItsRowIsNotGone guards against counting an entry as absent
// that wrote its row again, or sent a message, while its host was still missing
// from the list, or whose host was never listed.
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
	if absent := a.AbsentFor(entry); absent < permit.MaxAbsence {
		t.Errorf("absent for %v, want at least %v", absent, permit.MaxAbsence)
	}
	if absent := a.AbsentFor(registered("entry", 2)); absent != 0 {
		t.Errorf("entry with a renewed row counts as absent for %v, want 0", absent)
	}
	a.MessageReceived(now, permit.EntryID{Name: "entry", Incarnation: 1})
	if absent := a.AbsentFor(entry); absent != 0 {
		t.Errorf("entry that just sent a message counts as absent for %v, want 0", absent)
	}
	a = permit.NewAbsences()
	observe(nil)
	if absent := a.AbsentFor(entry); absent != 0 {
		t.Errorf("entry that was never listed counts as absent for %v, want 0", absent)
	}
}

// TestGrantFromBeforeAPauseStaysDead guards against a grant from before a pause
// that becomes valid again when the entry obtains a new grant after it.
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
		t.Error("an assignment fetched before the pause was accepted")
	}
	g.Registered(woke, before)
	if _, pending := g.Pending(woke); !pending {
		t.Error("a row written before the pause counts as registration")
	}
	if fresh := regain(woke); old.MayRoute(woke) || !fresh.MayRoute(woke) || !r.MayRoute(woke) {
		t.Error("the old grant is valid again, or the new one is not valid")
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
			b.Fatal("the grant is not valid")
		}
	}
}
