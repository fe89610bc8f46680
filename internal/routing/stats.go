package routing

import "sync/atomic"

// Stats are the counters of one host in one entry. They outlive snapshots.
// The zero value is a serving host without requests.
type Stats struct {
	inFlight atomic.Int64
	// failureRate is the moving share of failures over all services.
	failureRate atomicFloat
	phase       atomic.Uint32
	// consecutiveCloses counts the answers in a row that asked to close the connection,
	// kept the results of answers since the last of them.
	consecutiveCloses atomic.Int32
	keptOpen          atomic.Int32
	// consecutiveTimeouts counts the consecutiveTimeouts since the last answer.
	consecutiveTimeouts atomic.Int32
	answered            atomic.Uint64
	failed              atomic.Uint64
	services            [maxServices]atomicSample
}

// InFlight returns the number of requests that the entry has at the host.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Answered returns the number of whole answers.
func (s *Stats) Answered() uint64 { return s.answered.Load() }

// Failed returns the number of requests that failed, timed out or were
// refused at the host.
func (s *Stats) Failed() uint64 { return s.failed.Load() }

// Phase returns whether the host gets work.
func (s *Stats) Phase() Phase { return Phase(s.phase.Load()) }

// record takes a result into the counters of the host and into those of the
// whole pool.
func (s *Stats) record(r Result, pool *[maxServices]atomicSample) {
	service := r.service()
	failed := s.countResult(r)
	latency := float32(0)
	if r.Kind == Answered || r.Kind == TimedOut {
		latency = float32(r.Latency.Seconds())
	}
	s.services[service].add(failed, latency)
	pool[service].add(failed, latency)
	s.failureRate.update(func(old float32) float32 { return nextFailureRate(old, failed) })
}

// countResult updates the totals and reports whether the result counts as a failure
// of the host. A timeout between answers shows load, which the latencies tell
// of; timeouts without an answer between them show a host that went silent.
func (s *Stats) countResult(r Result) bool {
	if r.Kind == Answered {
		s.answered.Add(1)
		s.consecutiveTimeouts.Store(0)
		if r.Closing {
			s.countClose(1)
		} else if s.keptOpen.Add(1) >= keptOpenToReset {
			s.consecutiveCloses.Store(0)
		}
		return false
	}
	s.failed.Add(1)
	return r.Kind != TimedOut || s.consecutiveTimeouts.Add(1) >= timeoutsToFailure
}

// countClose counts an answer that asked to close its connection. counted is 1
// when its result has been counted, and 0 when that is still to come.
func (s *Stats) countClose(counted int32) {
	s.consecutiveCloses.Add(1)
	s.keptOpen.Store(counted)
}

// keptOpenToReset is how many results without a closing between them show that
// the host keeps its connections. The first may be that of the closing answer.
const keptOpenToReset = 2

// timeoutsToFailure is how many timeouts in a row count as failures.
const timeoutsToFailure = 5

// nextFailureRate returns the moving share after one more result.
func nextFailureRate(old float32, failed bool) float32 {
	if failed {
		return old + sampleWeight*(1-old)
	}
	return old * (1 - sampleWeight)
}

// resetHealth drops the evidence against the host, when it comes back to service.
func (s *Stats) resetHealth() {
	for i := range s.services {
		s.services[i].reset()
	}
	s.consecutiveCloses.Store(0)
	s.consecutiveTimeouts.Store(0)
	s.failureRate.update(func(float32) float32 { return 0 })
}
