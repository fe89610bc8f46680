package routing

import "sync/atomic"

// RoundRobin picks hosts in turn. It is a baseline for measurements of
// LeastExpected. The zero value starts with the first host.
type RoundRobin struct {
	next atomic.Uint64
}

// Pick implements Policy.
func (p *RoundRobin) Pick(s *Snapshot, tried Tried) (Choice, bool) {
	n := len(s.candidates)
	if n == 0 {
		return Choice{}, false
	}
	start := int((p.next.Add(1) - 1) % uint64(n))
	for k := range n {
		i := (start + k) % n
		if tried.has(s.candidates[i].stats) {
			continue
		}
		if c, ok := s.choose(i, ReasonTurn); ok {
			return c, true
		}
	}
	return Choice{}, false
}
