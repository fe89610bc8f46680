// Package routing is the load balancer of an entry: it chooses one of a pool's
// hosts for each request, and sets hosts aside that fail, are slow or shut
// down (passive health checks with outlier ejection). Requests read immutable
// snapshots; a Tracker keeps the counters and the health of the hosts across
// snapshots. The package reads no clock: callers pass the time with results
// and ticks.
package routing

import (
	"slices"

	"github.com/egretpitch/egretpitch/internal/datacentre"
	"github.com/egretpitch/egretpitch/internal/host"
)

// Candidate is a host that the entry may route to, with the entry's share of
// it.
type Candidate struct {
	// Host is the host itself. Host.Slots is the host's total, not the entry's
	// share, or 0 if unknown; it only weighs larger hosts against smaller ones.
	Host host.Host
	// Slots is the number of requests that the entry may plan to run there at
	// once.
	Slots int
	// Connections is the number of connections that the entry may have open
	// there. No policy has more requests than this in flight.
	Connections int
	// Stats are the host's counters. NewSnapshot creates new ones if nil.
	Stats *Stats
}

// Snapshot is an immutable set of candidates as seen from one entry.
type Snapshot struct {
	hosts []Candidate
	// candidates are the fields of hosts that policies scan, with the same
	// indices.
	candidates  []candidate
	slots       int
	connections int
}

// candidate holds the fields of a Candidate that a policy reads, kept small so
// that the scan is fast.
type candidate struct {
	stats       *Stats
	connections int64
	// local is set if the host is in the entry's data centre.
	local bool
	// distanceCost is the cost added for the distance between regions, in
	// requests in flight.
	distanceCost float32
	// requestCost is the cost of one request in flight: 1 at a host with the
	// pool's mean number of slots, less at a larger one.
	requestCost float32
}

// NewSnapshot returns the snapshot of hosts as seen from the place self.
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

// Values of datacentre.Nearness.
const (
	sameDataCentre = 1
	sameRegion     = 2
)

// otherRegionCost is the cost of a host in another region, in requests in
// flight. Distance within a region costs nothing: see LeastExpected.
const otherRegionCost = 1

// meanSlots returns the mean number of slots of the hosts whose number is
// known, 0 for none.
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

// At returns the candidate at an index.
func (s *Snapshot) At(i int) Candidate { return s.hosts[i] }

// Slots returns the sum of the entry's slots at all candidates.
func (s *Snapshot) Slots() int { return s.slots }

// ServingSlots returns the sum of the entry's slots at the candidates that are
// serving, or at all candidates if none is. The limit of the entry's gate
// follows it: requests admitted for the slots of a host that is set aside
// would only queue at the other hosts.
func (s *Snapshot) ServingSlots() int {
	sum := 0
	for _, h := range s.hosts {
		if h.Stats.Phase() == Serving {
			sum += h.Slots
		}
	}
	if sum == 0 {
		return s.slots // all are set aside: requests go to them as a last resort
	}
	return sum
}

// Connections returns the sum of the entry's connections at all candidates.
func (s *Snapshot) Connections() int { return s.connections }

// choose counts a request in flight at the candidate, or reports false when
// its connections are all in use. Adding before checking keeps two concurrent
// choices from both taking the last connection.
func (s *Snapshot) choose(i int, reason Reason) (Choice, bool) {
	c := &s.candidates[i]
	if c.stats.inFlight.Add(1) > c.connections {
		c.stats.inFlight.Add(-1)
		return Choice{}, false
	}
	return Choice{Index: i, Host: &s.hosts[i].Host, Reason: reason, stats: c.stats}, true
}

// chooseTrial starts the candidate's one trial. It counts the request in
// flight first, as that can be undone; a started trial can only end with a
// result.
func (s *Snapshot) chooseTrial(i int, noTrial bool) (Choice, bool) {
	c, ok := s.choose(i, ReasonTrial)
	if ok && !c.stats.startTrial(noTrial) {
		c.stats.inFlight.Add(-1)
		return Choice{}, false
	}
	return c, ok
}
