package pool

import (
	"math"
	"time"
)

const (
	// meanTimeConstant is the time constant of the mean demand.
	meanTimeConstant = 10 * time.Minute
	// peakHalfLife is the time in which a remembered peak loses half of its
	// height above the mean.
	peakHalfLife = 6 * time.Hour
	// maxSampleGap bounds the weight of a sample that follows a gap.
	maxSampleGap = 10 * time.Second
	// minHistory is how long a pool is watched before its history is believed.
	// A pool that is first seen in a surge would be taken for a busy one.
	minHistory = 2 * time.Minute
	// surgeStart is the multiple of the mean at which a surge begins.
	surgeStart = 2.0
	// surgeEnd is the multiple of the mean below which a surge is over.
	surgeEnd = 1.2
	// surgeSmoothing is the weight of the last surge in the expected interval
	// and, where it was shorter, in the expected length.
	surgeSmoothing = 0.1
)

// Sample is one report of a pool's demand, summed over all entries.
type Sample struct {
	// At is the end of the reported interval.
	At time.Time
	// ArrivalRate is the number of requests a second, refused ones included.
	ArrivalRate float64
	// ServiceTime is how long a request holds a slot on average, 0 if unknown.
	ServiceTime time.Duration
	// Busy is the number of slots in use.
	Busy float64
	// Queued is the number of requests that wait.
	Queued float64
	// RefusalRate is the number of requests refused in a second.
	RefusalRate float64
}

// Offered returns how many slots the demand would use if none were refused.
func (s Sample) Offered() float64 {
	if s.ServiceTime > 0 {
		return s.ArrivalRate * s.ServiceTime.Seconds()
	}
	return s.Busy + s.Queued + s.RefusalRate
}

// History is the digest of a pool's samples. Its zero value has seen none.
type History struct {
	// Last is the newest sample.
	Last Sample
	// First is the time of the oldest sample.
	First time.Time
	// Mean is the mean of the offered slots.
	Mean float64
	// Peak is the highest number of offered slots, decaying.
	Peak float64
	// Surging says that a surge is going on.
	Surging bool
	// SurgeStart is the start of the last surge.
	SurgeStart time.Time
	// SurgeEnd is the end of the last finished surge.
	SurgeEnd time.Time
	// SurgeLength is the length of a long surge, 0 if none was seen. It rises
	// to a longer surge at once and falls slowly, since a pool sized for the
	// mean length loses requests in every second surge.
	SurgeLength time.Duration
	// SurgeInterval is the expected time between the starts of two surges, 0
	// if fewer than two were seen.
	SurgeInterval time.Duration
}

// Observe returns the history with one more sample. Samples that are not
// newer than the last are ignored, so late and repeated reports do no harm.
func (h History) Observe(s Sample) History {
	offered := s.Offered()
	if h.First.IsZero() {
		return History{Last: s, First: s.At, Mean: offered, Peak: offered}
	}
	if !s.At.After(h.Last.At) {
		return h
	}
	gap := min(s.At.Sub(h.Last.At), maxSampleGap)
	span := min(s.At.Sub(h.First), meanTimeConstant)
	weight := 1 - math.Exp(-gap.Seconds()/max(span.Seconds(), gap.Seconds()))
	h.Mean += weight * (offered - h.Mean)
	decay := math.Exp2(-gap.Seconds() / peakHalfLife.Seconds())
	h.Peak = max(offered, h.Mean+(h.Peak-h.Mean)*decay)
	h.Last = s
	return h.observeSurge(offered, s.At)
}

// Known reports whether the history is long enough to size a pool by it.
func (h History) Known() bool {
	return h.Last.At.Sub(h.First) >= minHistory
}

// observeSurge finds the starts and ends of surges.
func (h History) observeSurge(offered float64, at time.Time) History {
	switch {
	case !h.Surging && h.Known() && offered > surgeStart*h.Mean:
		if !h.SurgeStart.IsZero() {
			h.SurgeInterval = smooth(h.SurgeInterval, at.Sub(h.SurgeStart))
		}
		h.Surging = true
		h.SurgeStart = at
	case h.Surging && offered < surgeEnd*h.Mean:
		h.Surging = false
		h.SurgeEnd = at
		length := at.Sub(h.SurgeStart)
		h.SurgeLength = max(length, smooth(surgeLength(h), length))
	}
	return h
}

// smooth returns the moving average of durations.
func smooth(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(surgeSmoothing*float64(next-old))
}
