// Package pause waits for a time that a context can cut short.
package pause

import (
	"context"
	"time"
)

// For returns after d or when ctx ends, whichever comes first; at once when d
// is not above zero.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
