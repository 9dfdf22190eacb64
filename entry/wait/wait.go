// Package wait holds the one pause that the goroutines of an entry share.
package wait

import (
	"context"
	"time"
)

// For returns after d, or when the context ends if that is sooner.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
