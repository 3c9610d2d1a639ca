// Package controller holds what the controllers below it share. Each of them
// reconciles one kind of state, observed against desired, in rounds.
package controller

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Authority tells whether this entry VM may act for the cell: at which epoch
// it holds the placement shard and when its claim was read back.
type Authority interface {
	Cell(now time.Time) (epoch api.Epoch, ok bool, takeoverAt time.Time)
}

// RunPeriodically does a round at once, then one each interval and one whenever wake
// receives, until ctx ends. It returns the context's error. A nil wake never
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
