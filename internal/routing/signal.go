package routing

import "time"

// ShutdownSignal is an upstream's own sign that it leaves, when it is known apart from
// a request's result.
type ShutdownSignal struct {
	// Closing says that an answer asked to close its connection. Without it
	// the sign is a refused dial or a 503 with Retry-After.
	Closing bool
	// RetryAfter is the upstream's Retry-After, 0 for none.
	RetryAfter time.Duration
	// At is the time of the sign.
	At time.Time
}

// ObserveShutdownSignal takes in a host's sign. It must come before the result of the request
// that showed it, and that result must not tell the same again. Hosts that
// the tracker doesn't know are left alone.
func (t *Tracker) ObserveShutdownSignal(hostName string, s ShutdownSignal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.hosts[hostName]
	if k == nil {
		return
	}
	r := Result{Kind: Refused, RetryAfter: s.RetryAfter, At: s.At}
	if s.Closing {
		k.stats.countClose(0)
		r.Kind = Answered
	}
	if k.stats.Phase() == Serving {
		t.assess(k.stats, r)
	}
}
