// Package wait provides a sleep that ends early when a context is done.
package wait

import (
	"context"
	"time"
)

// For returns after d or when the context is done, whichever comes first.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
