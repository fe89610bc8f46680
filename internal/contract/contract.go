// Package contract defines the service contract: the availability objective,
// deadline and priority of a service, and how its requests may be repeated.
package contract

import (
	"net/http"
	"time"
)

// OutagePolicy is what happens to a request with an idempotency key while the
// table service cannot be reached to claim the key.
type OutagePolicy string

const (
	// OutageRefuse refuses the request as not run. Requests with one key then
	// run at most once, even across entries.
	OutageRefuse OutagePolicy = "refuse"
	// OutageRun forwards the request without a claim. A request that is
	// repeated with its key during the outage may run twice.
	OutageRun OutagePolicy = "run"
)

// Contract holds the agreed terms of one service.
type Contract struct {
	// Service is the name of the service, unique within the estate.
	Service string
	// Pool is the pool that serves it.
	Pool string
	// Team is the team that owns the service.
	Team string
	// Availability is the share of requests that must be answered within
	// Deadline (0..1).
	Availability float64
	// Deadline is the longest time from a request's arrival to its answer.
	Deadline time.Duration
	// Priority orders services under overload (0..100). Requests of services
	// with a lower priority are shed first.
	Priority int
	// Idempotent reports whether every request of the service may be repeated.
	// Otherwise only requests with a safe method may be (see MayRepeat).
	Idempotent bool
	// Outage is the policy for requests with an idempotency key while no key
	// can be claimed.
	Outage OutagePolicy
	// RetryBudget is the share of requests that may be sent again (0..1).
	RetryBudget float64
	// MaxBodyBytes is the longest body of a request.
	MaxBodyBytes int64
	// HeldAnswerBytes is the most bytes of an answer that are buffered until
	// the answer is complete.
	HeldAnswerBytes int64
}

// MayRepeat reports whether a request with the method may run more than once.
func (c *Contract) MayRepeat(method string) bool {
	if c.Idempotent {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	// RFC 9110 defines PUT and DELETE as idempotent, but the order
	// applications behind the entry predate it. Services for which it holds
	// set Idempotent.
	return false
}
