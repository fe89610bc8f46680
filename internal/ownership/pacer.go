package ownership

import "time"

const (
	// PaceTick is the interval at which the owner calls Pacer.Due.
	PaceTick = 50 * time.Millisecond
	// overlapAfter is the minimum age of an unanswered heartbeat at which
	// another one is sent, in case the answer was lost.
	overlapAfter = 400 * time.Millisecond
	// overlapFactor times the latency of the last answer replaces overlapAfter
	// if it is longer. A slow store applies heartbeats one after another, so
	// sending more of them only makes its queue longer.
	overlapFactor = 1.5
	// maxInFlight bounds the number of heartbeats in flight.
	maxInFlight = 4
)

// Pacer decides when to send the next heartbeat. The zero value is ready to
// use. It is not safe for concurrent use.
type Pacer struct {
	inFlight int
	lastSent time.Duration
	started  bool
	// lastLatency is the latency of the last answer.
	lastLatency time.Duration
}

// Due reports whether a heartbeat should be sent now.
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

// Sent records that a heartbeat was sent.
func (p *Pacer) Sent(now time.Duration) {
	p.started = true
	p.lastSent = now
	p.inFlight++
}

// Settled records the end of a heartbeat that was sent at the given time.
// answered is false if it failed or got no answer.
func (p *Pacer) Settled(sent, now time.Duration, answered bool) {
	p.inFlight--
	if answered {
		p.lastLatency = now - sent
	}
}
