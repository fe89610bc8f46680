package routing

import (
	"math"
	"sync/atomic"
)

// maxServices is the number of services of a pool with samples of their own.
// Service indices at or above it wrap around and share them.
const maxServices = 8

// sampleWeight is the weight of one result in a moving average once there are
// at least 1/sampleWeight results. Before that each result weighs more.
const sampleWeight = 1.0 / 8

// maxSamples is the value at which the number of results saturates. It must
// fit into the 16 bits that pack leaves for it.
const maxSamples = 1 << 10

// sample holds the moving averages of one service at one host, or in a whole
// pool.
type sample struct {
	// latency is the moving average of the latencies in seconds, 0 for none.
	latency float32
	// failureRate is the moving average of the share of failed requests
	// (0..1).
	failureRate float32
	// results counts the results, up to maxSamples.
	results int
}

// withResult returns the sample after one more result. A latency of 0 leaves
// the average latency as it is: callers pass 0 for failed and refused
// requests, so that a host that fails at once does not look fast.
func (s sample) withResult(failed bool, latency float32) sample {
	s.results = min(s.results+1, maxSamples)
	weight := max(sampleWeight, 1/float32(s.results))
	failure := float32(0)
	if failed {
		failure = 1
	}
	s.failureRate += weight * (failure - s.failureRate)
	switch {
	case latency <= 0:
	case s.latency == 0:
		s.latency = latency
	default:
		s.latency += weight * (latency - s.latency)
	}
	return s
}

// atomicSample packs a sample into one word, so that a concurrent reader sees
// all of an update or none.
type atomicSample struct{ bits atomic.Uint64 }

// failureRateScale is the integer that stands for a failure rate of 1 in an
// atomicSample.
const failureRateScale = math.MaxUint16

func (a *atomicSample) load() sample { return unpack(a.bits.Load()) }

// add updates the sample with a result.
func (a *atomicSample) add(failed bool, latency float32) {
	for {
		old := a.bits.Load()
		if a.bits.CompareAndSwap(old, pack(unpack(old).withResult(failed, latency))) {
			return
		}
	}
}

func (a *atomicSample) reset() { a.bits.Store(0) }

func pack(s sample) uint64 {
	latency := uint64(math.Float32bits(s.latency))
	failureRate := uint64(math.Round(float64(s.failureRate) * failureRateScale))
	return latency<<32 | failureRate<<16 | uint64(s.results)
}

func unpack(w uint64) sample {
	return sample{
		latency:     math.Float32frombits(uint32(w >> 32)),
		failureRate: float32(uint16(w>>16)) / failureRateScale,
		results:     int(uint16(w)),
	}
}

// atomicFloat is a float32 that is read and updated atomically.
type atomicFloat struct{ bits atomic.Uint32 }

func (a *atomicFloat) load() float32 { return math.Float32frombits(a.bits.Load()) }

// update replaces the value v by f(v). It may call f several times.
func (a *atomicFloat) update(f func(float32) float32) {
	for {
		old := a.bits.Load()
		if a.bits.CompareAndSwap(old, math.Float32bits(f(math.Float32frombits(old)))) {
			return
		}
	}
}
