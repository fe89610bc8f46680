package ownership

import "time"

const (
	// PaceTick is how often a Pacer is asked.
	PaceTick = 50 * time.Millisecond
	// overlapAfter is the least age of an unanswered beat after which another
	// one is sent beside it, since the answer may be lost.
	overlapAfter = 400 * time.Millisecond
	// overlapFactor times the last answer's time is that age while the store
	// is slow: it takes beats one after another, and more would only wait.
	overlapFactor = 1.5
	// maxInFlight bounds the beats under way.
	maxInFlight = 4
)

// Pacer tells when the next beat is to be sent. It is not safe for concurrent
// use.
type Pacer struct {
	inFlight int
	lastSent time.Duration
	started  bool
	// lastLatency is how long the last answer took.
	lastLatency time.Duration
}

// Due reports whether a beat is to be sent now.
func (p *Pacer) Due(now time.Duration) bool {
	since := now - p.lastSent
	switch {
	case !p.started:
		return true
	case p.inFlight == 0:
		return since >= HeartbeatInterval
	case p.inFlight >= maxInFlight:
		return false
	}
	return since >= max(overlapAfter, time.Duration(overlapFactor*float64(p.lastLatency)))
}

// Sent notes a beat that is under way.
func (p *Pacer) Sent(now time.Duration) {
	p.started = true
	p.lastSent = now
	p.inFlight++
}

// Settled notes the end of a beat that was sent at a time, and whether it was
// answered.
func (p *Pacer) Settled(sent, now time.Duration, answered bool) {
	p.inFlight--
	if answered {
		p.lastLatency = now - sent
	}
}
