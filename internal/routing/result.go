package routing

import "time"

// Kind is the way in which a request to an upstream ended.
type Kind uint8

const (
	// Answered is a complete answer with a status below 500.
	Answered Kind = iota
	// Failed is an answer with a status of 500 or above, or a broken one.
	Failed
	// TimedOut means no complete answer within the deadline.
	TimedOut
	// Refused is a refused dial or a 503 with Retry-After: the upstream's own
	// signal that it accepts no new requests.
	Refused
	// Cancelled means that the caller disconnected. It does not count for or
	// against the host.
	Cancelled
)

// Result is the outcome of a choice.
type Result struct {
	Kind Kind
	// Service is the index of the request's service in its pool. Failure rates
	// and latencies are compared between hosts service by service.
	Service int
	// Latency is the time from the first byte of the request to its end.
	Latency time.Duration
	// At is the time at which the request ended.
	At time.Time
	// RetryAfter is the upstream's Retry-After, 0 for none.
	RetryAfter time.Duration
	// Closing is set if the answer had Connection: close.
	Closing bool
}

// service returns the index of the sample for the result's service.
func (r Result) service() int { return int(uint(r.Service) % maxServices) }
