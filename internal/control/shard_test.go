package control

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egretpitch/egretpitch/internal/assignment"
	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/membership"
	"github.com/egretpitch/egretpitch/internal/platform"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
	"github.com/egretpitch/egretpitch/internal/samples"
	_ "github.com/egretpitch/egretpitch/internal/testkit"
)

const (
	modelPool  = "kano-ordering"
	modelSlots = 8
	modelConns = 64
)

// modelEntry models an entry. It holds an assignment set and keeps the
// connections of earlier sets open until it closes them.
type modelEntry struct {
	entryID entryID
	set     *assignment.Set
	open    map[string]int
	stopped bool
}

// report returns the entry's report to the owner of the pool.
func (e *modelEntry) report() *controlpb.PoolReport {
	r := &controlpb.PoolReport{Pool: modelPool, Epoch: e.set.Epoch, Version: e.set.Version, Reflects: e.set.Reflects}
	for _, name := range modelHosts() {
		if n := max(e.open[name], e.set.Hosts[name].Connections); n > 0 {
			r.Hosts = append(r.Hosts, &controlpb.HostUse{Host: name, Connections: uint32(n)})
		}
	}
	return r
}

func modelHosts() []string { return []string{"kano-01", "kano-02", "kano-03"} }

// connModel drives an owner's shard and a number of entries.
type connModel struct {
	now     time.Time
	fleet   fleet
	shard   *shard
	epoch   uint64
	entries []*modelEntry
	next    uint64
	version int64
}

func newConnModel() *connModel {
	m := &connModel{now: time.Unix(1_800_000_000, 0)}
	m.fleet = newFleet()
	m.fleet.listed = map[string]platform.ListedHost{}
	for _, name := range modelHosts() {
		m.setPhase(name, host.Serving)
		m.fleet.listed[name] = platform.ListedHost{
			Host:  host.Host{Name: name, Slots: modelSlots, Connections: modelConns, Place: datacentre.Place{Rack: name}},
			State: platform.HostLive,
		}
	}
	m.newOwner()
	return m
}

func (m *connModel) setPhase(name string, phase host.Phase) {
	m.version++
	m.fleet.put(hostRow{Row: host.Row{Host: name, Pool: modelPool, Phase: phase}, version: m.version})
	m.fleet.rowsVersion = m.version
}

// tick advances the clock by offerInterval and updates the owner's copy of the
// registrations.
func (m *connModel) tick() {
	m.now = m.now.Add(offerInterval)
	m.fleet.rowsAsOf, m.fleet.entriesAsOf = m.now, m.now
	m.fleet.entries = nil
	for _, e := range m.entries {
		if !e.stopped {
			row := membership.EntryRow{Name: e.entryID.entry, Incarnation: e.entryID.incarnation}
			m.fleet.entries = append(m.fleet.entries, membership.Entry{EntryRow: row})
		}
	}
}

// newOwner replaces the owner by one whose state comes from the table only.
func (m *connModel) newOwner() {
	m.epoch++
	m.shard = &shard{
		pool: modelPool, epoch: m.epoch, acquired: m.now, entries: map[entryID]*entryState{},
		changed: make(chan struct{}), committing: map[string]bool{}, drains: map[string]*drain{},
		recorder: samples.NewRecorder(modelPool),
	}
	m.tick()
}

func (m *connModel) join() {
	m.next++
	m.entries = append(m.entries, &modelEntry{
		entryID: entryID{fmt.Sprintf("entry-%d", m.next%4), m.next},
		set:     &assignment.Set{Pool: modelPool, Hosts: map[string]assignment.Host{}},
		open:    map[string]int{},
	})
	m.tick()
}

// exchange performs one exchange of an entry. If lost is true, the reply does
// not reach the entry.
func (m *connModel) exchange(e *modelEntry, lost bool) {
	report := e.report()
	m.now = m.now.Add(time.Millisecond)
	if !m.shard.ready(&m.fleet) {
		return
	}
	m.shard.handleReport(e.entryID, report, m.now)
	m.shard.syncDrains(&m.fleet)
	m.shard.removeUnregistered(&m.fleet)
	m.shard.assign(&m.fleet, m.now)
	reply := m.shard.entry(e.entryID).assignmentLog.Since(report.Epoch, report.Version)
	if reply == nil || lost {
		return
	}
	if next, ok := e.set.Apply(reply); ok {
		for name, h := range e.set.Hosts {
			e.open[name] = max(e.open[name], h.Connections)
		}
		e.set = next
	}
}

// used returns the maximum number of connections that all running entries
// together may have at a host.
func (m *connModel) used(name string) int {
	n := 0
	for _, e := range m.entries {
		if !e.stopped {
			n += max(e.open[name], e.set.Hosts[name].Connections)
		}
	}
	return n
}

// TestConnectionsNeverExceedHost guards against grants that together exceed a
// host's connection limit while entries join, stop and lag behind, replies are
// lost, hosts drain and return, and owners change.
func TestConnectionsNeverExceedHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newConnModel()
		m.join()
		pick := func(t *rapid.T) *modelEntry {
			e := rapid.SampledFrom(m.entries).Draw(t, "entry")
			if e.stopped {
				t.Skip("gone")
			}
			return e
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				if len(m.entries) > 20 {
					t.Skip("enough")
				}
				for range rapid.IntRange(1, 4).Draw(t, "entries") {
					m.join()
				}
			},
			"go":       func(t *rapid.T) { pick(t).stopped = true; m.tick() },
			"exchange": func(t *rapid.T) { m.exchange(pick(t), false) },
			"round": func(*rapid.T) {
				m.tick()
				for _, e := range m.entries {
					if !e.stopped {
						m.exchange(e, false)
					}
				}
			},
			"lose": func(t *rapid.T) { m.exchange(pick(t), true) },
			"close": func(t *rapid.T) {
				maps.DeleteFunc(pick(t).open, func(string, int) bool { return true })
			},
			"tick":      func(*rapid.T) { m.tick() },
			"new owner": func(*rapid.T) { m.newOwner() },
			"drain": func(t *rapid.T) {
				name := rapid.SampledFrom(modelHosts()).Draw(t, "host")
				m.setPhase(name, rapid.SampledFrom([]host.Phase{host.Serving, host.Draining}).Draw(t, "phase"))
			},
			"": func(t *rapid.T) {
				for _, name := range modelHosts() {
					if n := m.used(name); n > modelConns {
						t.Fatalf("%s may have %d connections, it accepts %d", name, n, modelConns)
					}
				}
			},
		})
	})
}
