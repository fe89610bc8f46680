// Package operr defines an error that names the step at which an operation
// failed and the peer involved.
package operr

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is a failure at one step of an operation.
type Error struct {
	// Step names the failed step, such as "link: read answer".
	Step string
	// Peer names the other end, such as "127.0.0.1:7101 (kano-03)". It is
	// empty for a step without a peer.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s: %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err as an *Error with a step, a peer and a stack trace, or nil
// if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: errors.WithStack(err)}
}

// Errorf returns a new formatted error as an *Error with a step and a peer.
func Errorf(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, Err: errors.Errorf(format, args...)}
}
