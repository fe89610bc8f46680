package pool

import (
	"math"
	"time"
)

const (
	// meanTimeConstant is the time constant of the moving average of demand.
	meanTimeConstant = 10 * time.Minute
	// peakHalfLife is the time in which the recorded peak loses half of its
	// height above the mean.
	peakHalfLife = 6 * time.Hour
	// maxSampleGap is the longest interval that a single sample is weighted by,
	// so that a sample after a gap doesn't dominate the mean.
	maxSampleGap = 10 * time.Second
	// minHistory is how long demand must have been observed before a pool is
	// sized by it. A pool first observed during a surge would otherwise be
	// taken for a busy one.
	minHistory = 2 * time.Minute
	// surgeStart is the multiple of the mean above which a surge begins.
	surgeStart = 2.0
	// surgeEnd is the multiple of the mean below which a surge ends.
	surgeEnd = 1.2
	// surgeSmoothing is the weight of the latest surge in the moving averages
	// of the surge interval and, if it was shorter, of the surge length.
	surgeSmoothing = 0.1
)

// Sample is one measurement of a pool's demand, summed over all entries.
type Sample struct {
	// At is the end of the reported interval.
	At time.Time
	// ArrivalRate is the number of requests per second, including refused ones.
	ArrivalRate float64
	// ServiceTime is the mean time that a request occupies a slot; 0 if
	// unknown.
	ServiceTime time.Duration
	// Busy is the number of slots in use.
	Busy float64
	// Queued is the number of waiting requests.
	Queued float64
	// RefusalRate is the number of refused requests per second.
	RefusalRate float64
}

// Offered returns the offered load in slots: how many slots the demand would
// occupy if no request were refused. Without a known service time it is
// estimated from the busy slots, the queue and the refusals.
func (s Sample) Offered() float64 {
	if s.ServiceTime > 0 {
		return s.ArrivalRate * s.ServiceTime.Seconds()
	}
	return s.Busy + s.Queued + s.RefusalRate
}

// History summarizes the samples of a pool. The zero value is an empty history.
type History struct {
	// Last is the newest sample.
	Last Sample
	// First is the time of the oldest sample.
	First time.Time
	// Mean is the moving average of the offered slots.
	Mean float64
	// Peak is the highest number of offered slots; it decays towards the mean.
	Peak float64
	// Surging reports whether a surge is in progress.
	Surging bool
	// SurgeStart is the start of the last surge.
	SurgeStart time.Time
	// SurgeEnd is the end of the last finished surge.
	SurgeEnd time.Time
	// SurgeLength is the expected length of a surge; 0 before the end of the
	// first one. It follows a longer surge at once and a shorter one slowly,
	// because a pool sized for the mean length would lose requests in every
	// second surge.
	SurgeLength time.Duration
	// SurgeInterval is the expected time between the starts of two surges; 0
	// before the second one.
	SurgeInterval time.Duration
}

// Observe returns the history updated by a sample. Late and repeated samples,
// which aren't newer than the last one, are ignored.
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

// Known reports whether the history is long enough (minHistory) to size a pool
// by it.
func (h History) Known() bool {
	return h.Last.At.Sub(h.First) >= minHistory
}

// observeSurge detects the starts and ends of surges.
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

// smooth returns the moving average old updated by next.
func smooth(old, next time.Duration) time.Duration {
	if old == 0 {
		return next
	}
	return old + time.Duration(surgeSmoothing*float64(next-old))
}
