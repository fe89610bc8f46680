// Package outcome defines the outcome of a request (it ran, did not run, or may
// have run) and the refusals with which egretpitch answers a request itself
// instead of with an upstream's answer.
package outcome

import (
	"fmt"
	"net/http"
)

// Header is the response header that carries the outcome of the request, on
// refusals and on answers of an upstream, where it is Ran.
const Header = "Egretpitch-Outcome"

// Outcome says whether a request ran at an upstream.
type Outcome int

const (
	// Unknown means that bytes of the request reached an upstream, or may
	// have, and that no complete answer was received. It is the zero value, so
	// that a refusal without an outcome is never reported as "not run".
	Unknown Outcome = iota
	// NotRun means that no byte of the request reached any upstream.
	NotRun
	// Ran means that a complete answer of an upstream was received.
	Ran
)

// String returns the header value of the outcome.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Parse returns the outcome of a header value. It returns Unknown and an error
// for any other text.
func Parse(s string) (Outcome, error) {
	switch s {
	case "not-run":
		return NotRun, nil
	case "ran":
		return Ran, nil
	case "unknown":
		return Unknown, nil
	}
	return Unknown, fmt.Errorf("outcome %q is not one of ran, not-run, unknown", s)
}

// Refusal is an error answer that egretpitch itself returns to a caller.
type Refusal struct {
	// Status is the HTTP status code.
	Status int
	// Outcome says whether the request ran.
	Outcome Outcome
	// Reason is a short machine-readable reason, such as "queue-full".
	Reason string
	// Err is the cause, for the log. It may be nil.
	Err error
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	if r.Err == nil {
		return fmt.Sprintf("%s (%s)", r.Reason, r.Outcome)
	}
	return fmt.Sprintf("%s (%s): %v", r.Reason, r.Outcome, r.Err)
}

// Unwrap returns the cause, which may be nil.
func (r *Refusal) Unwrap() error { return r.Err }

// Refuse returns a refusal of a request of which no byte reached an upstream,
// with the outcome NotRun.
func Refuse(status int, reason string, err error) *Refusal {
	return &Refusal{Status: status, Outcome: NotRun, Reason: reason, Err: err}
}

// Lost returns a refusal with the status 502 (Bad Gateway) of a request that may
// have run, with the outcome Unknown.
func Lost(reason string, err error) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Outcome: Unknown, Reason: reason, Err: err}
}
