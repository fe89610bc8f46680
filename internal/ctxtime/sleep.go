// Package ctxtime provides sleeping that a context can cancel.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for the duration d and returns nil, or returns the error of ctx
// if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
