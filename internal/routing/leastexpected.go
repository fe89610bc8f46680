package routing

import (
	"math"
	"sync/atomic"
)

// LeastExpected is the product's policy: the host at which the request is
// expected to wait least. The expectation grows with the entry's own requests
// in flight against the host's slots, with its recent failures, and with
// distance between regions. Hosts set aside by their tracker, as slow,
// failing or leaving, get nothing but due trials.
//
// Equals take turns. The entry doesn't see what others have in flight, and a
// lasting preference among equals (a little less latency, a nearer data
// centre) would lead all entries' next requests to the same hosts. So a data
// centre is preferred only while the entry has little in flight, and
// latencies enter only through the tracker.
type LeastExpected struct {
	next atomic.Uint64
}

// NewLeastExpected returns the policy. The seed is the host with which the
// first turn starts.
func NewLeastExpected(seed uint64) *LeastExpected {
	p := &LeastExpected{}
	p.next.Store(seed)
	return p
}

const (
	// failurePenalty is by how many times a host's cost grows when all of its
	// recent requests failed.
	failurePenalty = 8
	// minFailureRate is the share of failures below which a host is as good as
	// the others.
	minFailureRate = 0.1
	// localHostsPerRequest is the number of hosts for each request in flight from which
	// on an entry prefers its own data centre.
	localHostsPerRequest = 4
	// maxPickAttempts is how often a choice is made again when another request
	// took the host's last connection in between.
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

// scanResult is what a scan scanResult: indices of candidates, -1 for none.
type scanResult struct {
	best, trial, aside int
	// serving says that some host serves, be it tried or full.
	serving bool
}

// scan looks at every candidate once, from a start that differs each time so
// that equals take turns.
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

// cost is the expected wait, in requests ahead at a host of the mean size,
// for a request that finds running others of this entry there.
func (c *candidate) cost(running int64) float32 {
	cost := float32(running+1) * c.requestCost
	if failureRate := c.stats.failureRate.load(); failureRate >= minFailureRate {
		cost *= 1 + failurePenalty*failureRate
	}
	return cost + c.distanceCost
}
