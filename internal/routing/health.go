package routing

import (
	"slices"
	"time"
)

// HealthRules are the bounds of setting hosts aside.
type HealthRules struct {
	// MinResults is how many results a host must have before it is judged.
	MinResults int
	// MinResultsSlow is how many results it must have before it is judged slow, when
	// it is just SlowFactor times as slow as its peers.
	MinResultsSlow int
	// FailureRateExcess is by how much a host's share of failures must lie above
	// that of its peers (0..1).
	FailureRateExcess float32
	// SlowFactor is how many times its peers' latency a host's must be.
	SlowFactor float32
	// MaxAsideShare is the largest share of a pool that is set aside (0..1). One
	// host of a pool of two or more may always be.
	MaxAsideShare float64
	// FirstTrialDelay is the time from setting a host aside to its first trial. It
	// doubles with each failed trial, up to LastTrial.
	FirstTrialDelay  time.Duration
	MaxTrialInterval time.Duration
	// TrialOverdue is how long a due trial waits for a request that can be
	// repeated before it takes any.
	TrialOverdue time.Duration
	// TrialsToReturn is how many trials in a row must succeed.
	TrialsToReturn int
	// ClosesToLeave is how many answers in a row must ask to close the connection
	// for the host to be taken as leaving.
	ClosesToLeave int
	// LeavingTrialDelay is the time before a host that closes its connections is
	// tried again: long enough for a graceful shutdown to end.
	LeavingTrialDelay time.Duration
	// BackoffResetAfter is how long a host must have served for its next trial to come
	// after FirstTrial again.
	BackoffResetAfter time.Duration
}

// DefaultHealthRules returns the product's rules.
func DefaultHealthRules() HealthRules {
	return HealthRules{
		MinResults:        5,
		MinResultsSlow:    12,
		FailureRateExcess: 0.5,
		SlowFactor:        3,
		MaxAsideShare:     0.5,
		FirstTrialDelay:   time.Second,
		MaxTrialInterval:  30 * time.Second,
		TrialOverdue:      2 * time.Second,
		TrialsToReturn:    3,
		ClosesToLeave:     2,
		LeavingTrialDelay: 10 * time.Second,
		BackoffResetAfter: time.Minute,
	}
}

// maxAside returns how many of n hosts may be set aside at once.
func (r HealthRules) maxAside(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, min(int(float64(n)*r.MaxAsideShare), n-1))
}

// Fault is why a host is set aside.
type Fault uint8

const (
	// NoFault is no fault.
	NoFault Fault = iota
	// Leaving hosts refuse dials, answer 503 with Retry-After, or close their
	// connections while their peers don't.
	Leaving
	// Failing hosts fail requests that their peers answer.
	Failing
	// Slow hosts take several times their peers' time.
	Slow
)

// String returns the fault's name in logs.
func (f Fault) String() string {
	switch f {
	case Leaving:
		return "leaving"
	case Failing:
		return "failing"
	case Slow:
		return "slow"
	default:
		return "sound"
	}
}

// hostState is what a judgement reads of one host.
type hostState struct {
	phase             Phase
	refusing          bool
	consecutiveCloses int
	services          [maxServices]sample
}

// evaluation is a fault and how grave it is, for the order when not all that
// deserve it may be set aside.
type evaluation struct {
	fault Fault
	// severity orders verdicts; higher goes first.
	severity float32
}

// evaluate returns the verdict on each host. A host is only ever compared with
// its peers, service by service: what fails or slows down everywhere is the
// service's doing and is held against no host.
func evaluate(hosts []hostState, rules HealthRules) []evaluation {
	peers := collectPeers(hosts)
	closing := 0
	for _, h := range hosts {
		if h.consecutiveCloses > 0 {
			closing++
		}
	}
	evaluations := make([]evaluation, len(hosts))
	for i, h := range hosts {
		if h.phase != Serving {
			continue
		}
		closingPeers := closing
		if h.consecutiveCloses > 0 {
			closingPeers--
		}
		if h.refusing || h.consecutiveCloses >= rules.ClosesToLeave && 2*closingPeers < len(hosts)-1 {
			evaluations[i] = evaluation{fault: Leaving, severity: leavingSeverity}
			continue
		}
		evaluations[i] = h.evaluate(peers, rules)
	}
	return evaluations
}

// leavingSeverity puts hosts that refuse work before all that do it badly.
const leavingSeverity = 1000

// evaluate compares the host with its peers in what it does badly.
func (h hostState) evaluate(peers [maxServices]peers, rules HealthRules) evaluation {
	var failureRate, slowdown comparison
	for i, s := range h.services {
		if s.results == 0 {
			continue
		}
		if typical, ok := peers[i].failureRate.quantileWithout(s.failureRate, lowerQuartile); ok {
			failureRate.add(s.failureRate-typical, s.results)
		}
		if typical, ok := peers[i].latency.quantileWithout(s.latency, median); ok && s.latency > 0 {
			slowdown.add(s.latency/typical, s.results)
		}
	}
	if m := failureRate.mean(); failureRate.results >= rules.MinResults && m >= rules.FailureRateExcess {
		return evaluation{fault: Failing, severity: 1 + m}
	}
	if m := slowdown.mean(); m >= rules.SlowFactor && slowdown.results >= rules.minResultsSlow(m) {
		return evaluation{fault: Slow, severity: 1 - 1/m}
	}
	return evaluation{}
}

// minResultsSlow returns how many results a host must have to be judged slow: the
// slower, the fewer.
func (r HealthRules) minResultsSlow(factor float32) int {
	return max(int(float32(r.MinResultsSlow)*r.SlowFactor/factor), r.MinResults)
}

// comparison is a host's figure against its peers', over its services.
type comparison struct {
	sum, weight float32
	results     int
}

// add takes in a service. What came in long ago weighs in no average, so that
// a service weighs no more than the results that its averages hold.
func (c *comparison) add(value float32, results int) {
	weight := float32(min(results, 1/sampleWeight))
	c.sum += weight * value
	c.weight += weight
	c.results += results
}

func (c *comparison) mean() float32 {
	if c.weight == 0 {
		return 0
	}
	return c.sum / c.weight
}

// peers are the sorted figures of all hosts for one service.
type peers struct {
	failureRate, latency sortedValues
}

// sortedValues is a sorted list of hosts' figures.
type sortedValues []float32

// collectPeers sorts the hosts' figures of each service.
func collectPeers(hosts []hostState) [maxServices]peers {
	var all [maxServices]peers
	for i := range all {
		for _, h := range hosts {
			s := h.services[i]
			if s.results == 0 {
				continue
			}
			all[i].failureRate = append(all[i].failureRate, s.failureRate)
			if s.latency > 0 {
				all[i].latency = append(all[i].latency, s.latency)
			}
		}
		slices.Sort(all[i].failureRate)
		slices.Sort(all[i].latency)
	}
	return all
}

// Divisors of a list's length that give the index of a quantile.
const (
	lowerQuartile = 4
	median        = 2
)

// quantileWithout returns a quantile of the list with one element left out. It
// reports false when no other host has a figure. The lower quartile is what
// good peers do even when up to three quarters of them are bad.
func (o sortedValues) quantileWithout(own float32, quantile int) (float32, bool) {
	if len(o) < 2 {
		return 0, false
	}
	index := (len(o) - 1) / quantile
	if own <= o[index] && index+1 < len(o) {
		index++ // the element left out lies before the quantile
	}
	return o[index], true
}
