package limit

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

// allocatorModel is a host, entries that use all connections granted to them,
// and messages that arrive late, twice, out of order or never.
type allocatorModel struct {
	allocator    *Allocator
	epoch        int
	entries      map[Holder]*entryState
	offers       []offer
	acks         []ack
	incarnations uint64
}

// entryState is the newest grant that an entry has adopted, all of which it
// uses.
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

// There are few connections and shares are large, so that short histories fill
// the host.
const hostConnections = 16

var largeShares = Rules{MaxShare: 0.5}

func newAllocatorModel() *allocatorModel {
	m := &allocatorModel{entries: map[Holder]*entryState{}}
	m.takeOver()
	for i := range 4 {
		m.entries[Holder{Entry: fmt.Sprint("entry-", i)}] = &entryState{epoch: m.epoch}
	}
	m.allocator.unreported = map[Holder]bool{}
	return m
}

// takeOver starts a new owner, which has read only the registered entries. The
// previous owner's offers are still in transit.
func (m *allocatorModel) takeOver() {
	m.epoch++
	m.allocator = NewAllocator(largeShares)
	m.allocator.SetHost("kano-1", hostConnections)
	for h := range m.entries {
		m.allocator.AwaitReport(h)
	}
}

func (m *allocatorModel) start(t *rapid.T) {
	m.incarnations++
	h := Holder{fmt.Sprint("entry-", rapid.IntRange(0, 8).Draw(t, "entry")), m.incarnations}
	m.entries[h] = &entryState{epoch: m.epoch}
}

// removeEntryOrOwner ends an entry, replaces the owner, or most often does
// nothing.
func (m *allocatorModel) removeEntryOrOwner(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "event") {
	case 0:
		m.remove(t)
	case 1:
		m.takeOver()
	}
}

// remove ends an entry for certain. Messages to and from it may still be in
// transit.
func (m *allocatorModel) remove(t *rapid.T) {
	h := m.anyHolder(t)
	delete(m.entries, h)
	m.allocator.Release(h)
}

// report sends a new owner the grant that an entry holds. From then on the
// entry adopts no offer of a previous owner.
func (m *allocatorModel) report(t *rapid.T) {
	h := m.anyHolder(t)
	if u := m.entries[h]; u.epoch < m.epoch {
		u.epoch, u.version = m.epoch, 0
		m.allocator.Restore(h, []Grant{{Holder: h, Host: "kano-1", Connections: u.connections}})
	}
}

func (m *allocatorModel) offer(t *rapid.T) {
	var target []Grant
	for h, u := range m.entries {
		if u.epoch == m.epoch {
			target = append(target, Grant{Holder: h, Host: "kano-1"})
		}
	}
	slices.SortFunc(target, func(a, b Grant) int { return compareHolders(a.Holder, b.Holder) })
	for i := range target {
		target[i].Connections = rapid.IntRange(0, hostConnections/2).Draw(t, "connections")
	}
	for _, g := range m.allocator.Offer(target) {
		m.offers = append(m.offers, offer{g, m.epoch, m.allocator.Version()})
	}
}

// deliver delivers one of the last offers to its entry, possibly again. The
// entry adopts only a newer version of its current owner, and acknowledges it.
func (m *allocatorModel) deliver(t *rapid.T) {
	if len(m.offers) == 0 {
		t.Skip("no offer")
	}
	o := m.offers[len(m.offers)-1-rapid.IntRange(0, min(len(m.offers)-1, 12)).Draw(t, "age")]
	u := m.entries[o.Holder]
	if u == nil || o.epoch != u.epoch || o.version <= u.version {
		return
	}
	u.version, u.connections = o.version, o.Connections
	m.acks = append(m.acks, ack{o.Holder, o.epoch, o.version})
}

func (m *allocatorModel) acknowledge(t *rapid.T) {
	if len(m.acks) == 0 {
		t.Skip("no acknowledgement")
	}
	a := rapid.SampledFrom(m.acks).Draw(t, "ack")
	if a.epoch == m.epoch && m.entries[a.holder] != nil {
		m.allocator.Acknowledge(a.holder, a.version)
	}
}

func (m *allocatorModel) anyHolder(t *rapid.T) Holder {
	if len(m.entries) == 0 {
		t.Skip("no entry")
	}
	var all []Holder
	for h := range m.entries {
		all = append(all, h)
	}
	slices.SortFunc(all, compareHolders)
	return rapid.SampledFrom(all).Draw(t, "holder")
}

func TestConnectionsOfAllEntriesStayWithinTheHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newAllocatorModel()
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "rarely": m.removeEntryOrOwner, "report": m.report, "offer": m.offer,
			"deliver": m.deliver, "deliver more": m.deliver, "acknowledge": m.acknowledge,
			"": func(t *rapid.T) {
				sum := 0
				for _, u := range m.entries {
					sum += u.connections
				}
				if sum > hostConnections {
					t.Fatalf("%d connections at a host that accepts %d", sum, hostConnections)
				}
			},
		})
	})
}
