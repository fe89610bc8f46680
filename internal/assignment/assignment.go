// Package assignment keeps what an owner assigned to each entry of a pool, as
// versioned sets of hosts, and what the entry acknowledged.
package assignment

import (
	"maps"
	"sort"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
	"github.com/egretpitch/egretpitch/internal/rpc/controlpb"
)

// Host is a host as assigned to one entry, with the entry's share of it.
type Host struct {
	Name, Address string
	datacentre.Place
	// Slots and Connections are the entry's share.
	Slots, Connections int
}

// Set is what one entry may route to for one pool.
type Set struct {
	Pool           string
	Epoch, Version uint64
	// Reflects is the version of the table that the set reflects: it lacks
	// every host whose row was draining at or before that version.
	Reflects uint64
	Hosts    map[string]Host
}

// OlderThan reports whether (epoch, version) comes after that of the set.
func (s *Set) OlderThan(epoch, version uint64) bool {
	return epoch > s.Epoch || epoch == s.Epoch && version > s.Version
}

// Apply returns the set after an assignment, or ok = false when the
// assignment is older, or a delta that does not continue the set. The set
// itself is not changed.
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

// Message returns the whole set as an assignment.
func (s *Set) Message() *controlpb.PoolAssignment {
	a := &controlpb.PoolAssignment{Pool: s.Pool, Epoch: s.Epoch, Version: s.Version, Reflects: s.Reflects, Full: true}
	for _, h := range s.Hosts {
		a.Hosts = append(a.Hosts, toMessage(h))
	}
	sort.Slice(a.Hosts, func(i, j int) bool { return a.Hosts[i].Name < a.Hosts[j].Name })
	return a
}

// Share returns the host with a share of its slots and connections.
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
