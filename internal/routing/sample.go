package routing

import (
	"math"
	"sync/atomic"
)

// maxServices is how many services of a pool are told apart. The index of a
// further one is folded onto these.
const maxServices = 8

// sampleWeight is the weight of one result in a moving average, once there
// are 1/sampleWeight of them.
const sampleWeight = 1.0 / 8

// maxSamples is where the count of samples saturates.
const maxSamples = 1 << 10

// sample is what is known of one service at one host, or in a whole pool.
type sample struct {
	// latency is the moving average of answers' latencies in seconds, 0 for
	// none.
	latency float32
	// failureRate is the moving share of failures (0..1).
	failureRate float32
	// results counts the results, up to maxSamples.
	results int
}

// withResult returns the sample after one more result. A failure says nothing of
// the latency: a host that fails at once must not look fast.
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

// atomicSample holds a sample in one word, so that a reader never sees half of it.
type atomicSample struct{ bits atomic.Uint64 }

// failureRateScale is the resolution of the share of failures in a cell.
const failureRateScale = math.MaxUint16

func (c *atomicSample) load() sample { return unpack(c.bits.Load()) }

// add records a result.
func (c *atomicSample) add(failed bool, latency float32) {
	for {
		old := c.bits.Load()
		if c.bits.CompareAndSwap(old, pack(unpack(old).withResult(failed, latency))) {
			return
		}
	}
}

func (c *atomicSample) reset() { c.bits.Store(0) }

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

// atomicFloat is a moving atomicFloat (0..1) that changes atomically.
type atomicFloat struct{ bits atomic.Uint32 }

func (s *atomicFloat) load() float32 { return math.Float32frombits(s.bits.Load()) }

// update replaces the share by what f makes of it.
func (s *atomicFloat) update(f func(float32) float32) {
	for {
		old := s.bits.Load()
		if s.bits.CompareAndSwap(old, math.Float32bits(f(math.Float32frombits(old)))) {
			return
		}
	}
}
