// Package routing chooses one of a pool's upstreams for each request inside
// one entry. Traffic reads immutable snapshots; counters and health outlive
// them. Choices take no clock: time enters with results and ticks.
package routing

import (
	"slices"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
)

// Candidate is a host that the entry may route to, with the entry's share.
type Candidate struct {
	Host host.Host
	// Host.Slots are those of the host, not the entry's share, or 0 when not
	// known. They only tell larger hosts from smaller ones.

	// Slots is how many requests the entry may plan to run there at once.
	Slots int
	// Connections is how many connections the entry may have open there. No
	// policy puts more requests than this in flight.
	Connections int
	// Stats are the host's counters. NewSnapshot makes new ones for nil.
	Stats *Stats
}

// Snapshot is an immutable set of candidates as one entry sees them.
type Snapshot struct {
	hosts []Candidate
	// candidates are what policies scan, by the same index.
	candidates  []candidate
	slots       int
	connections int
}

// candidate is what a policy needs of a Candidate, kept small for the scan.
type candidate struct {
	stats       *Stats
	connections int64
	// local says that it is in the entry's data centre.
	local bool
	// distanceCost is the cost of its distanceCost, in requests in flight.
	distanceCost float32
	// requestCost is the cost of one request in flight: 1 at a host with the
	// pool's mean slots, less at a larger one.
	requestCost float32
}

// NewSnapshot returns the snapshot of hosts as seen from self.
func NewSnapshot(self datacentre.Place, hosts []Candidate) *Snapshot {
	s := &Snapshot{
		hosts:      slices.Clone(hosts),
		candidates: make([]candidate, len(hosts)),
	}
	mean := meanSlots(hosts)
	for i, h := range hosts {
		if h.Stats == nil {
			h.Stats = &Stats{}
		}
		nearness := datacentre.Nearness(self, h.Host.Place)
		s.hosts[i].Stats = h.Stats
		s.candidates[i] = candidate{
			stats:       h.Stats,
			connections: int64(h.Connections),
			local:       nearness <= sameDataCentre,
			requestCost: 1,
		}
		if h.Host.Slots > 0 {
			s.candidates[i].requestCost = mean / float32(h.Host.Slots)
		}
		if nearness > sameRegion {
			s.candidates[i].distanceCost = otherRegionCost
		}
		s.slots += h.Slots
		s.connections += h.Connections
	}
	return s
}

// Ranks of datacentre.Nearness.
const (
	sameDataCentre = 1
	sameRegion     = 2
)

// otherRegionCost is the cost of a host in another region, in requests in
// flight. Within a region distance costs nothing: see LeastExpected.
const otherRegionCost = 1

// meanSlots returns the mean slots of the hosts whose slots are known.
func meanSlots(hosts []Candidate) float32 {
	sum, known := 0, 0
	for _, h := range hosts {
		if h.Host.Slots > 0 {
			sum += h.Host.Slots
			known++
		}
	}
	return float32(sum) / float32(max(known, 1))
}

// Len returns the number of candidates.
func (s *Snapshot) Len() int { return len(s.hosts) }

// At returns the candidate with the index.
func (s *Snapshot) At(i int) Candidate { return s.hosts[i] }

// Slots returns the sum of the entry's shares of slots.
func (s *Snapshot) Slots() int { return s.slots }

// ServingSlots returns the sum over the candidates that aren't set aside. The
// entry's gate is to be held to it: requests for slots of a host that gets
// none would only queue at the others.
func (s *Snapshot) ServingSlots() int {
	sum := 0
	for _, h := range s.hosts {
		if h.Stats.Phase() == Serving {
			sum += h.Slots
		}
	}
	if sum == 0 {
		return s.slots // all are set aside: the last resort is theirs
	}
	return sum
}

// Connections returns the sum of the entry's shares of connections.
func (s *Snapshot) Connections() int { return s.connections }

// choose takes a place in flight at the candidate, or reports false when its
// connections are all in use. Adding before checking keeps two concurrent
// choices from both taking the last place.
func (s *Snapshot) choose(i int, reason Reason) (Choice, bool) {
	c := &s.candidates[i]
	if c.stats.inFlight.Add(1) > c.connections {
		c.stats.inFlight.Add(-1)
		return Choice{}, false
	}
	return Choice{Index: i, Host: &s.hosts[i].Host, Reason: reason, stats: c.stats}, true
}

// chooseTrial takes the candidate's one trial. The place in flight comes
// first: it can be given back without ending a trial that never ran.
func (s *Snapshot) chooseTrial(i int, noTrial bool) (Choice, bool) {
	c, ok := s.choose(i, ReasonTrial)
	if ok && !c.stats.startTrial(noTrial) {
		c.stats.inFlight.Add(-1)
		return Choice{}, false
	}
	return c, ok
}
