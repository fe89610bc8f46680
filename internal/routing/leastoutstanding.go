package routing

import "sync/atomic"

// LeastOutstanding picks the host with the fewest of the entry's requests in
// flight, in turn among equals. It is a baseline for measurements of
// LeastExpected.
type LeastOutstanding struct {
	next atomic.Uint64
}

// NewLeastOutstanding returns the policy. The seed is the index of the host
// that the first pick starts from.
func NewLeastOutstanding(seed uint64) *LeastOutstanding {
	p := &LeastOutstanding{}
	p.next.Store(seed)
	return p
}

// Pick implements Policy.
func (p *LeastOutstanding) Pick(s *Snapshot, tried Tried) (Choice, bool) {
	n := len(s.candidates)
	if n == 0 {
		return Choice{}, false
	}
	start := int((p.next.Add(1) - 1) % uint64(n))
	best, fewest := -1, int64(0)
	for k := range n {
		i := (start + k) % n
		c := &s.candidates[i]
		f := c.stats.inFlight.Load()
		if f >= c.connections || tried.has(c.stats) {
			continue
		}
		if best < 0 || f < fewest {
			best, fewest = i, f
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return s.choose(best, ReasonLeastOutstanding)
}
