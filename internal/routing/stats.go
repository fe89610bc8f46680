package routing

import "sync/atomic"

// Stats are the counters and the health of one host in one entry. They are
// kept across snapshots. The zero value is a serving host without requests.
// Its methods are safe for concurrent use.
type Stats struct {
	inFlight atomic.Int64
	// failureRate is the moving average of the share of failed requests over
	// all services (0..1).
	failureRate atomicFloat
	phase       atomic.Uint32
	// consecutiveCloses counts the answers with Connection: close. keptOpen
	// counts the results of answers since the last of them, and resets
	// consecutiveCloses when it reaches keptOpenToReset.
	consecutiveCloses atomic.Int32
	keptOpen          atomic.Int32
	// consecutiveTimeouts counts the timeouts since the last answer.
	consecutiveTimeouts atomic.Int32
	answered            atomic.Uint64
	failed              atomic.Uint64
	services            [maxServices]atomicSample
}

// InFlight returns the number of the entry's requests in flight at the host.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// Answered returns the number of complete answers.
func (s *Stats) Answered() uint64 { return s.answered.Load() }

// Failed returns the number of requests that failed, timed out or were
// refused at the host.
func (s *Stats) Failed() uint64 { return s.failed.Load() }

// Phase returns the host's phase.
func (s *Stats) Phase() Phase { return Phase(s.phase.Load()) }

// record adds a result to the counters of the host and to the samples of the
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

// countResult updates the totals and reports whether the result counts as a
// failure of the host. A timeout between answers shows load, which the
// latencies already measure; consecutive timeouts without an answer show a
// host that no longer responds.
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

// countClose counts an answer with Connection: close. counted is 1 if the
// result of that answer has already been counted, and 0 if it is still to
// come.
func (s *Stats) countClose(counted int32) {
	s.consecutiveCloses.Add(1)
	s.keptOpen.Store(counted)
}

// keptOpenToReset is the number of results since the last Connection: close
// after which the host is taken to keep its connections open. The first of
// them may be the result of that answer itself, so one more is required.
const keptOpenToReset = 2

// timeoutsToFailure is the number of consecutive timeouts from which on a
// timeout counts as a failure.
const timeoutsToFailure = 5

// nextFailureRate returns the moving average after one more result.
func nextFailureRate(old float32, failed bool) float32 {
	if failed {
		return old + sampleWeight*(1-old)
	}
	return old * (1 - sampleWeight)
}

// resetHealth clears what counts against the host when it returns to service.
// Totals and requests in flight stay.
func (s *Stats) resetHealth() {
	for i := range s.services {
		s.services[i].reset()
	}
	s.consecutiveCloses.Store(0)
	s.consecutiveTimeouts.Store(0)
	s.failureRate.update(func(float32) float32 { return 0 })
}
