// Package retry decides whether a request that got no complete answer is
// retried at another host. The decision depends on the outcome of the last try
// and on whether the request may run more than once, not on the kind of error.
// The package also has the retry budget of a pool and the deadline header.
package retry

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// State is the input of a decision.
type State struct {
	// Outcome is the outcome of the last try.
	Outcome outcome.Outcome
	// MayRepeat is set if the request may run more than once.
	MayRepeat bool
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// MinTryTime is the shortest time in which a try can succeed. A request
	// with no more time left is not retried.
	MinTryTime time.Duration
	// Tries is the number of times that the request was sent or refused so
	// far.
	Tries int
	// MaxTries is the largest number of tries.
	MaxTries int
	// Untried is the number of hosts of the pool that were not tried.
	Untried int
}

// Reason is the reason for a decision.
type Reason string

const (
	// ReasonNotRun allows a retry: no byte of the request reached an upstream.
	ReasonNotRun Reason = "not-run"
	// ReasonMayRepeat allows a retry: the request may run more than once.
	ReasonMayRepeat Reason = "may-repeat"
	// ReasonRan forbids a retry: there is an answer.
	ReasonRan Reason = "ran"
	// ReasonMayHaveRun forbids a retry: the request may have run, and must run
	// at most once.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonDeadline forbids a retry: too little time is left.
	ReasonDeadline Reason = "deadline"
	// ReasonTries forbids a retry: the request was tried MaxTries times.
	ReasonTries Reason = "tries"
	// ReasonNoHost forbids a retry: every host was tried.
	ReasonNoHost Reason = "no-host"
	// ReasonBudget forbids a retry: the pool's retry budget is empty. Callers
	// set it; Decide does not return it.
	ReasonBudget Reason = "budget"
)

// Decision is whether a request is retried, and why.
type Decision struct {
	Again  bool
	Reason Reason
}

// Decide decides whether a request is retried, without regard to the pool's
// budget. If Again is set, the caller must withdraw a token from the Budget
// before it retries.
func Decide(s State) Decision {
	switch {
	case s.Outcome == outcome.Ran:
		return Decision{Reason: ReasonRan}
	case s.Outcome != outcome.NotRun && !s.MayRepeat:
		return Decision{Reason: ReasonMayHaveRun}
	case s.Tries >= s.MaxTries:
		return Decision{Reason: ReasonTries}
	case s.Remaining <= s.MinTryTime:
		return Decision{Reason: ReasonDeadline}
	case s.Untried <= 0:
		return Decision{Reason: ReasonNoHost}
	case s.Outcome == outcome.NotRun:
		return Decision{Again: true, Reason: ReasonNotRun}
	}
	return Decision{Again: true, Reason: ReasonMayRepeat}
}

// Overall returns the outcome of a request over all its tries, given the
// outcome of the earlier tries and that of the last. The result must hold for
// every try, so the request is not-run only if no try ran.
func Overall(earlier, last outcome.Outcome) outcome.Outcome {
	if last == outcome.NotRun && earlier != outcome.NotRun {
		return outcome.Unknown
	}
	return last
}
