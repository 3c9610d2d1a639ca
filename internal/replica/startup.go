package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/internal/pause"
)

const (
	// minStateFetchInterval and maxStateFetchInterval bound the time between two attempts to
	// get the states of jobs from another machine. It grows while the leader has others to
	// serve first, and half of it is random, since hundreds of machines may wait.
	minStateFetchInterval = 50 * time.Millisecond
	maxStateFetchInterval = 400 * time.Millisecond
	// maxStateWait is how long a leader that sends no states is waited for.
	maxStateWait = 3 * time.Second
)

// startUp gets the states of all jobs from another machine, or reads the store. It gives up reading once
// another machine provides them, so that a store which many machines read at once serves the leader again.
func (f *Reader) startUp(ctx context.Context) error {
	if f.awaitStates(ctx) {
		return nil
	}
	restoring, cancel := context.WithCancel(ctx)
	defer cancel()
	var fetching sync.WaitGroup
	defer fetching.Wait()
	fetching.Go(func() {
		for pause.For(restoring, minStateFetchInterval); restoring.Err() == nil; pause.For(restoring, minStateFetchInterval+rand.N(minStateFetchInterval)) {
			if fetched, _ := f.FetchStates(restoring); fetched {
				cancel()
			}
		}
	})
	err := f.Restore(restoring)
	cancel()
	if f.Replica.Synced() {
		return nil
	}
	return err
}

// awaitStates gets the states of all jobs from another machine. It returns false if the
// store has to be read: no leader is there after StoreReadDelay, or it sends no states.
func (f *Reader) awaitStates(ctx context.Context) bool {
	started, interval := time.Now(), minStateFetchInterval
	for ctx.Err() == nil {
		fetched, pending := f.FetchStates(ctx)
		waited := time.Since(started)
		switch {
		case fetched:
			return true
		case pending && waited > maxStateWait, !pending && waited >= f.StoreReadDelay:
			return false
		case pending:
			interval = min(3*interval/2, maxStateFetchInterval)
			pause.For(ctx, interval/2+rand.N(interval/2))
		default:
			pause.For(ctx, min(minStateFetchInterval, f.StoreReadDelay-waited))
		}
	}
	return true
}
