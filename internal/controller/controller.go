// Package controller holds what the controllers in its subdirectories share.
// Each of them periodically reconciles one kind of observed state with the
// desired state.
package controller

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Authority reports whether this entry VM may act for the cell at the given time.
// If so, it returns the epoch at which it holds the placement shard and the time
// at which its claim was read back from the log.
type Authority interface {
	Cell(now time.Time) (epoch api.Epoch, ok bool, takeoverAt time.Time)
}

// RunPeriodically calls round immediately, then at each interval and whenever
// wake receives, until ctx ends. It returns the context's error. A nil wake never
// receives.
func RunPeriodically(ctx context.Context, interval time.Duration, wake <-chan struct{}, round func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-wake:
		}
	}
}
