package routing

import (
	"slices"
	"time"
)

// HealthRules are the parameters of the passive health checks: when a host is
// set aside (ejected as an outlier) and how it returns to service.
type HealthRules struct {
	// MinResults is the number of results a host must have before it can be
	// set aside as failing or slow.
	MinResults int
	// MinResultsSlow is the number of results it must have before it is set
	// aside as slow, when it is exactly SlowFactor times as slow as its peers.
	// Slower hosts need fewer, down to MinResults.
	MinResultsSlow int
	// FailureRateExcess is the least difference between the failure rate of a
	// failing host and that of its peers (0..1).
	FailureRateExcess float32
	// SlowFactor is the least ratio of a slow host's latency to that of its
	// peers.
	SlowFactor float32
	// MaxAsideShare is the largest share of a pool that may be set aside
	// (0..1). In a pool of two or more hosts, one always may be.
	MaxAsideShare float64
	// FirstTrialDelay is the time from setting a host aside to its first
	// trial. It doubles with each failed trial, up to MaxTrialInterval.
	FirstTrialDelay  time.Duration
	MaxTrialInterval time.Duration
	// TrialOverdue is how long a due trial waits for a request that can be
	// repeated before any request may be used for it.
	TrialOverdue time.Duration
	// TrialsToReturn is the number of consecutive trials that must succeed
	// before the host serves again.
	TrialsToReturn int
	// ClosesToLeave is the number of consecutive answers with Connection:
	// close after which the host is taken to be shutting down.
	ClosesToLeave int
	// LeavingTrialDelay is the least time before the first trial of a host
	// that closes its connections: long enough for a graceful shutdown to end.
	LeavingTrialDelay time.Duration
	// BackoffResetAfter is how long a host must have served since its return
	// for the next trial delay to start from FirstTrialDelay again.
	BackoffResetAfter time.Duration
}

// DefaultHealthRules returns the rules that entries use.
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

// maxAside returns how many hosts of a pool of n may be set aside at once.
func (r HealthRules) maxAside(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, min(int(float64(n)*r.MaxAsideShare), n-1))
}

// Fault is the reason for which a host is set aside.
type Fault uint8

const (
	// NoFault is the fault of a healthy host.
	NoFault Fault = iota
	// Leaving hosts are shutting down: they refuse dials, answer 503 with
	// Retry-After, or close their connections while their peers don't.
	Leaving
	// Failing hosts fail requests that their peers answer.
	Failing
	// Slow hosts have several times the latency of their peers.
	Slow
)

// String returns the fault's name in logs and status.
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

// hostState is the state of one host that an evaluation reads.
type hostState struct {
	phase             Phase
	refusing          bool
	consecutiveCloses int
	services          [maxServices]sample
}

// evaluation is the fault of one host and its severity. When not all faulty
// hosts may be set aside, the most severe ones are.
type evaluation struct {
	fault Fault
	// severity orders evaluations; the highest is set aside first.
	severity float32
}

// evaluate returns the evaluation of each host. A host is compared with its
// peers, service by service: what fails or is slow at every host is a fault of
// the service and sets no host aside.
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

// leavingSeverity is above the severity of every failing or slow host.
const leavingSeverity = 1000

// evaluate compares the failure rates and latencies of a host that accepts
// work with those of its peers.
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

// minResultsSlow returns the number of results a host that is factor times as
// slow as its peers must have to be set aside as slow. It falls as the factor
// rises.
func (r HealthRules) minResultsSlow(factor float32) int {
	return max(int(float32(r.MinResultsSlow)*r.SlowFactor/factor), r.MinResults)
}

// comparison is the mean over services of the difference or ratio between a
// host's value and that of its peers.
type comparison struct {
	sum, weight float32
	results     int
}

// add adds the value of one service. The weight is capped at 1/sampleWeight
// results, as the service's moving averages hold no more.
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

// peers are the values of all hosts for one service, in rising order.
type peers struct {
	failureRate, latency sortedValues
}

// sortedValues is a list of one value per host, in rising order.
type sortedValues []float32

// collectPeers returns the sorted values of all hosts for each service.
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

// Divisors of the highest index of a list that give the index of a quantile.
const (
	lowerQuartile = 4
	median        = 2
)

// quantileWithout returns a quantile of the list with the element own left
// out. It reports false if there is no other element. The lower quartile is
// still the value of a healthy peer when up to three quarters of the peers are
// faulty.
func (v sortedValues) quantileWithout(own float32, quantile int) (float32, bool) {
	if len(v) < 2 {
		return 0, false
	}
	index := (len(v) - 1) / quantile
	if own <= v[index] && index+1 < len(v) {
		index++ // the element left out lies before the quantile
	}
	return v[index], true
}
