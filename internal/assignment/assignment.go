// Package assignment holds the hosts that a pool's owner assigns to each entry,
// as versioned sets, and the deltas by which an entry's copy follows them.
package assignment

import (
	"maps"
	"sort"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// Host is a host as assigned to one entry, with the entry's share of its
// capacity.
type Host struct {
	Name, Address string
	datacentre.Place
	// Slots and Connections are the entry's share: the most requests and
	// connections that it may have open at the host.
	Slots, Connections int
}

// Set is the set of hosts that one entry may route to for one pool.
type Set struct {
	Pool string
	// Epoch is that of the owner that made the set, Version its number within
	// the epoch. A set that was not assigned yet has zeros.
	Epoch, Version uint64
	// Reflects is the version of the table that the set reflects: it lacks
	// every host whose row was draining at that version.
	Reflects uint64
	Hosts    map[string]Host
}

// OlderThan reports whether the set comes before (epoch, version).
func (s *Set) OlderThan(epoch, version uint64) bool {
	return epoch > s.Epoch || epoch == s.Epoch && version > s.Version
}

// Apply returns the set that results from an assignment. It returns ok = false
// if the assignment is not newer than the set, or is a delta of another epoch.
// The set itself is not changed.
func (s *Set) Apply(a *controlpb.PoolAssignment) (next *Set, ok bool) {
	if !s.OlderThan(a.Epoch, a.Version) {
		return nil, false
	}
	if !a.Full && a.Epoch != s.Epoch {
		return nil, false
	}
	next = &Set{Pool: a.Pool, Epoch: a.Epoch, Version: a.Version, Reflects: a.Reflects, Hosts: map[string]Host{}}
	if !a.Full {
		maps.Copy(next.Hosts, s.Hosts)
	}
	for _, name := range a.Removed {
		delete(next.Hosts, name)
	}
	for _, h := range a.Hosts {
		next.Hosts[h.Name] = fromMessage(h)
	}
	return next, true
}

// Message returns the whole set as an assignment, ordered by host name.
func (s *Set) Message() *controlpb.PoolAssignment {
	a := &controlpb.PoolAssignment{Pool: s.Pool, Epoch: s.Epoch, Version: s.Version, Reflects: s.Reflects, Full: true}
	for _, h := range s.Hosts {
		a.Hosts = append(a.Hosts, toMessage(h))
	}
	sort.Slice(a.Hosts, func(i, j int) bool { return a.Hosts[i].Name < a.Hosts[j].Name })
	return a
}

// Share returns the host as assigned with the given share of its slots and
// connections.
func Share(h host.Host, slots, connections int) Host {
	return Host{Name: h.Name, Address: h.Address, Place: h.Place, Slots: slots, Connections: connections}
}

func fromMessage(h *controlpb.AssignedHost) Host {
	return Host{
		Name:        h.Name,
		Address:     h.Address,
		Place:       datacentre.Place{Region: h.Region, DataCentre: h.Datacentre, Rack: h.Rack},
		Slots:       int(h.Slots),
		Connections: int(h.Connections),
	}
}

func toMessage(h Host) *controlpb.AssignedHost {
	return &controlpb.AssignedHost{
		Name: h.Name, Address: h.Address,
		Region: h.Region, Datacentre: h.DataCentre, Rack: h.Rack,
		Slots: uint32(h.Slots), Connections: uint32(h.Connections),
	}
}
