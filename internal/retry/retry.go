// Package retry decides whether a request that got no answer is sent again.
// It goes by the outcome of the last try and by whether the request may run
// more than once, never by the kind of error.
package retry

import (
	"time"

	"github.com/egretpitch/egretpitch/internal/outcome"
)

// State is what a decision depends on.
type State struct {
	// Outcome is the outcome of the last try.
	Outcome outcome.Outcome
	// MayRepeat says that the request may run more than once.
	MayRepeat bool
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// MinTryTime is the shortest time in which a try can still succeed.
	MinTryTime time.Duration
	// Tries is how often the request was sent or refused so far.
	Tries int
	// MaxTries bounds Tries.
	MaxTries int
	// Untried is how many hosts of the pool are left that were not tried.
	Untried int
}

// Reason says why a decision fell as it did.
type Reason string

const (
	// ReasonNotRun sends again since no byte reached an upstream.
	ReasonNotRun Reason = "not-run"
	// ReasonMayRepeat sends again since the request may run twice.
	ReasonMayRepeat Reason = "may-repeat"
	// ReasonRan does not send again: an answer is there.
	ReasonRan Reason = "ran"
	// ReasonMayHaveRun does not send again: it must run at most once.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonDeadline does not send again: too little time is left.
	ReasonDeadline Reason = "deadline"
	// ReasonTries does not send again: it was tried often enough.
	ReasonTries Reason = "tries"
	// ReasonNoHost does not send again: every host was tried.
	ReasonNoHost Reason = "no-host"
	// ReasonBudget does not send again: the pool's budget is spent.
	ReasonBudget Reason = "budget"
)

// Decision says whether to send again, and why.
type Decision struct {
	Again  bool
	Reason Reason
}

// Decide decides on one request, but for the pool's budget: a caller that is
// told Again takes a token from Budget before it sends.
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

// Overall returns the outcome of a request that was sent again: what is said
// to the caller must hold for all its tries, not only for the last.
func Overall(earlier, last outcome.Outcome) outcome.Outcome {
	if last == outcome.NotRun && earlier != outcome.NotRun {
		return outcome.Unknown
	}
	return last
}
