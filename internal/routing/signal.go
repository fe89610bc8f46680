package routing

import "time"

// ShutdownSignal is an upstream's own signal that it is shutting down,
// observed apart from a request's result.
type ShutdownSignal struct {
	// Closing is set for an answer with Connection: close. Otherwise the
	// signal is a refused dial or a 503 with Retry-After.
	Closing bool
	// RetryAfter is the upstream's Retry-After, 0 for none.
	RetryAfter time.Duration
	// At is the time at which the signal was observed.
	At time.Time
}

// ObserveShutdownSignal records a shutdown signal of a host and may set the
// host aside. It must be called before Done for the request that carried the
// signal, and the Result of that request must not repeat it. Unknown hosts are
// ignored.
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
