package routing

import (
	"math"
	"sync/atomic"
)

// LeastExpected picks the host with the least expected wait. It is the policy
// that entries use. The expected wait grows with the entry's own requests in
// flight relative to the host's slots, with the host's recent failure rate,
// and for hosts in another region. Hosts that the tracker has set aside as
// slow, failing or leaving get only due trials, except as a last resort.
//
// Hosts of equal cost are picked in turn. An entry doesn't see the requests of
// other entries, so a permanent preference among equal hosts (slightly lower
// latency, a nearer data centre) would send the next requests of all entries
// to the same hosts. Therefore the entry's own data centre is preferred only
// while the entry has few requests in flight, and latencies count only in the
// tracker's health checks.
type LeastExpected struct {
	next atomic.Uint64
}

// NewLeastExpected returns the policy. The seed is the index of the host that
// the first pick starts from; entries with different seeds spread their first
// requests.
func NewLeastExpected(seed uint64) *LeastExpected {
	p := &LeastExpected{}
	p.next.Store(seed)
	return p
}

const (
	// failurePenalty is the increase of the cost of a host with a failure rate
	// of 1, as a multiple of the cost of a host without failures.
	failurePenalty = 8
	// minFailureRate is the failure rate below which failures don't change the
	// cost of a host.
	minFailureRate = 0.1
	// localHostsPerRequest is the least number of hosts in the pool per
	// request in flight for which an entry prefers its own data centre.
	localHostsPerRequest = 4
	// maxPickAttempts bounds how often a pick starts over because a concurrent
	// request took the last connection or the trial of the picked host.
	maxPickAttempts = 3
)

// Pick implements Policy.
func (p *LeastExpected) Pick(s *Snapshot, tried Tried) (Choice, bool) {
	if len(s.candidates) == 0 {
		return Choice{}, false
	}
	for range maxPickAttempts {
		f := p.scan(s, &tried)
		switch {
		case f.trial >= 0:
			if c, ok := s.chooseTrial(f.trial, tried.NoTrial); ok {
				return c, true
			}
		case f.best >= 0:
			if c, ok := s.choose(f.best, ReasonLeastExpected); ok {
				return c, true
			}
		case !f.serving && f.aside >= 0:
			return s.choose(f.aside, ReasonLastResort)
		default:
			return Choice{}, false
		}
	}
	return Choice{}, false
}

// scanResult holds the candidates found by a scan, by index, -1 for none.
type scanResult struct {
	best, trial, aside int
	// serving is set if any candidate is serving, even one that was tried
	// before or has no free connection.
	serving bool
}

// scan reads every candidate once. The first index advances with each call, so
// that hosts of equal cost are picked in turn.
func (p *LeastExpected) scan(s *Snapshot, tried *Tried) scanResult {
	n := len(s.candidates)
	i := int((p.next.Add(1) - 1) % uint64(n))
	f := scanResult{best: -1, trial: -1, aside: -1}
	local, localCost := -1, float32(math.MaxFloat32)
	leastCost := float32(math.MaxFloat32)
	inFlight := int64(0)
	for range n {
		c := &s.candidates[i]
		running := c.stats.inFlight.Load()
		inFlight += running
		phase := c.stats.Phase()
		f.serving = f.serving || phase == Serving
		switch {
		case running >= c.connections || tried.has(c.stats):
		case phase == Serving:
			cost := c.cost(running)
			if cost < leastCost {
				f.best, leastCost = i, cost
			}
			if c.local && cost < localCost {
				local, localCost = i, cost
			}
		case phase == TrialOverdue || phase == TrialDue && !tried.NoTrial:
			f.trial = i
		default:
			f.aside = i
		}
		if i++; i == n {
			i = 0
		}
	}
	if localCost <= leastCost && localHostsPerRequest*inFlight <= int64(n) {
		f.best = local
	}
	return f
}

// cost returns the expected wait for one more request at a host where this
// entry has running requests, in units of one request at a host of the pool's
// mean size.
func (c *candidate) cost(running int64) float32 {
	cost := float32(running+1) * c.requestCost
	if failureRate := c.stats.failureRate.load(); failureRate >= minFailureRate {
		cost *= 1 + failurePenalty*failureRate
	}
	return cost + c.distanceCost
}
