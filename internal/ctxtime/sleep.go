// Package ctxtime waits for a time or the end of a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the error of ctx if that ends first.
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
