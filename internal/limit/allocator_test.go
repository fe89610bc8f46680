package limit

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// allocatorModel is a host, the entries that use all they may of it, and messages that
// arrive late, twice, out of order or never.
type allocatorModel struct {
	allocator    *Allocator
	epoch        int
	entries      map[Holder]*entryState
	offers       []offer
	acks         []ack
	incarnations uint64
}

// entryState is what an entry has open under the newest grant that it heard of.
type entryState struct {
	epoch       int
	version     uint64
	connections int
}

type offer struct {
	Grant
	epoch   int
	version uint64
}

type ack struct {
	holder  Holder
	epoch   int
	version uint64
}

// Few connections and large shares, so that short histories fill the host.
const hostConnections = 16

var largeShares = Rules{MaxShare: 0.5}

func newAllocatorModel() *allocatorModel {
	f := &allocatorModel{entries: map[Holder]*entryState{}}
	f.takeOver()
	for i := range 4 {
		f.entries[Holder{Entry: fmt.Sprint("entry-", i)}] = &entryState{epoch: f.epoch}
	}
	f.allocator.unreported = map[Holder]bool{}
	return f
}

// takeOver starts a new owner, which knows the registered entries only. The
// old owner's offers are still under way.
func (f *allocatorModel) takeOver() {
	f.epoch++
	f.allocator = NewAllocator(largeShares)
	f.allocator.SetHost("kano-1", hostConnections)
	for h := range f.entries {
		f.allocator.AwaitReport(h)
	}
}

func (f *allocatorModel) start(t *rapid.T) {
	f.incarnations++
	h := Holder{fmt.Sprint("entry-", rapid.IntRange(0, 8).Draw(t, "entry")), f.incarnations}
	f.entries[h] = &entryState{epoch: f.epoch}
}

// removeEntryOrOwner ends an entry for certain, or replaces the owner.
func (f *allocatorModel) removeEntryOrOwner(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		f.remove(t)
	case 1:
		f.takeOver()
	}
}

// remove ends an entry for certain, wherever its messages are.
func (f *allocatorModel) remove(t *rapid.T) {
	h := f.anyHolder(t)
	delete(f.entries, h)
	f.allocator.Release(h)
}

// report tells a new owner what the entry holds. From then on the entry takes
// nothing from an earlier owner.
func (f *allocatorModel) report(t *rapid.T) {
	h := f.anyHolder(t)
	if u := f.entries[h]; u.epoch < f.epoch {
		u.epoch, u.version = f.epoch, 0
		f.allocator.Restore(h, []Grant{{Holder: h, Host: "kano-1", Connections: u.connections}})
	}
}

func (f *allocatorModel) offer(t *rapid.T) {
	var target []Grant
	for h, u := range f.entries {
		if u.epoch == f.epoch {
			target = append(target, Grant{Holder: h, Host: "kano-1"})
		}
	}
	slices.SortFunc(target, func(a, b Grant) int { return compareHolders(a.Holder, b.Holder) })
	for i := range target {
		target[i].Connections = rapid.IntRange(0, hostConnections/2).Draw(t, "connections")
	}
	for _, g := range f.allocator.Offer(target) {
		f.offers = append(f.offers, offer{g, f.epoch, f.allocator.Version()})
	}
}

// deliver hands any offer ever made to its entry, which adopts newer ones
// only and acknowledges what it has.
func (f *allocatorModel) deliver(t *rapid.T) {
	if len(f.offers) == 0 {
		t.Skip("no offer")
	}
	o := f.offers[len(f.offers)-1-rapid.IntRange(0, min(len(f.offers)-1, 12)).Draw(t, "age")]
	u := f.entries[o.Holder]
	if u == nil || o.epoch != u.epoch || o.version <= u.version {
		return
	}
	u.version, u.connections = o.version, o.Connections
	f.acks = append(f.acks, ack{o.Holder, o.epoch, o.version})
}

func (f *allocatorModel) acknowledge(t *rapid.T) {
	if len(f.acks) == 0 {
		t.Skip("no acknowledgement")
	}
	a := rapid.SampledFrom(f.acks).Draw(t, "ack")
	if a.epoch == f.epoch && f.entries[a.holder] != nil {
		f.allocator.Acknowledge(a.holder, a.version)
	}
}

func (f *allocatorModel) anyHolder(t *rapid.T) Holder {
	if len(f.entries) == 0 {
		t.Skip("no entry")
	}
	var all []Holder
	for h := range f.entries {
		all = append(all, h)
	}
	slices.SortFunc(all, compareHolders)
	return rapid.SampledFrom(all).Draw(t, "holder")
}

func TestConnectionsOfAllEntriesStayWithinTheHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newAllocatorModel()
		t.Repeat(map[string]func(*rapid.T){
			"start": f.start, "rarely": f.removeEntryOrOwner, "report": f.report, "offer": f.offer,
			"deliver": f.deliver, "deliver more": f.deliver, "acknowledge": f.acknowledge,
			"": func(t *rapid.T) {
				sum := 0
				for _, u := range f.entries {
					sum += u.connections
				}
				if sum > hostConnections {
					t.Fatalf("%d connections at a host that accepts %d", sum, hostConnections)
				}
			},
		})
	})
}
