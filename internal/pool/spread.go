package pool

import "github.com/egretpitch/egretpitch/internal/datacentre"

// spread counts the hosts of a pool by failure domain.
type spread struct {
	racks       map[string]int
	dataCentres map[string]int
}

// newSpread returns a spread without hosts.
func newSpread() spread {
	return spread{racks: map[string]int{}, dataCentres: map[string]int{}}
}

// add adds n hosts, which may be negative, at a place.
func (s spread) add(at datacentre.Place, n int) {
	s.racks[at.Rack] += n
	s.dataCentres[at.DataCentre] += n
}

// concentration returns a score for how much of the pool a failure at the place
// would affect. A data centre counts more than a rack.
func (s spread) concentration(at datacentre.Place) int {
	return dataCentreWeight*s.dataCentres[at.DataCentre] + s.racks[at.Rack]
}

// dataCentreWeight gives the spread over data centres precedence over that over
// racks.
const dataCentreWeight = 4

// pickHost returns the position in serving[from] of the movable host whose move
// leaves both pools spread best, or -1. Ties are broken by name, so that the
// result is deterministic.
func (s *sizing) pickHost(from, to int) int {
	p := &s.state.Pools[from]
	best, bestScore := -1, 0
	for k, j := range s.serving[from] {
		h := &p.Hosts[j]
		if h.Pinned || !s.minStayOver(p, h) {
			continue
		}
		score := s.spreads[from].concentration(h.Place)
		if to != from {
			score -= s.spreads[to].concentration(h.Place)
		}
		better := best < 0 || score > bestScore
		if !better && score == bestScore {
			better = h.Name < p.Hosts[s.serving[from][best]].Name
		}
		if better {
			best, bestScore = k, score
		}
	}
	return best
}
