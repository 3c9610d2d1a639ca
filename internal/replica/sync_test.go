package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// slowLog delays each page of the newest records.
type slowLog struct {
	platform.PartitionLog
	pages int
	takes time.Duration // for each page

	mu     sync.Mutex
	passes int // number of times that the first page was read
}

func (l *slowLog) Newest(ctx context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	if after == "\x7f" { // the caller only wants to know the end
		return platform.NewestPage{}, nil
	}
	select {
	case <-time.After(l.takes):
	case <-ctx.Done():
		return platform.NewestPage{}, ctx.Err()
	}
	page := 0
	if after == "" {
		l.mu.Lock()
		l.passes++
		l.mu.Unlock()
	} else if _, err := fmt.Sscanf(after, "c%016x", &page); err != nil {
		return platform.NewestPage{}, err
	}
	page++
	return platform.NewestPage{
		Records: []platform.Record{{Key: fmt.Sprintf("c%016x", page), Value: []byte{1}}},
		More:    page < l.pages,
	}, nil
}

func (l *slowLog) Read(context.Context, platform.Partition, platform.Offset, time.Duration) (platform.RecordBatch, error) {
	return platform.RecordBatch{}, nil
}

// Guards against queries that wait without a timeout while a restarted process reads the
// jobs (11 MB over a link of 10 Mbit/s). Each query waited for the restore's lock, without
// regard to its deadline or to the end of the process, in order to read all jobs again.
// Links were full and no job could be queried for 8 to 10 s after a start, and processes
// that were asked to stop within 1.5 s of their start ended with open requests in 7 cases
// of 8.
func TestQueriesShareTheRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			wait     = 2950 * time.Millisecond // of a client
			takes    = 500 * time.Millisecond  // for each page
			pages    = 12
			needed   = pages * takes
			interval = 100 * time.Millisecond // between queries
		)
		log := &slowLog{pages: pages, takes: takes}
		f := &Reader{
			Replica: New(time.Minute, logging.Nop()),
			Log:     log,
			Timing:  DefaultTiming(),
			Leads:   func() bool { return false },
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		began := time.Now()
		var queries sync.WaitGroup
		for range 2 * needed / interval {
			time.Sleep(interval)
			queries.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, wait)
				defer cancel()
				asked := time.Now()
				err := f.Sync(ctx)
				if took := time.Since(asked); took > wait {
					t.Errorf("a query ended after %v, %v after its deadline", took, took-wait)
				}
				if err != nil && asked.Sub(began) > needed {
					t.Errorf("a query %v after the start failed: %v", asked.Sub(began), err)
				}
			})
		}
		queries.Wait()
		if !f.Replica.Synced() || log.passes != 1 {
			t.Errorf("synced: %t, after %d passes", f.Replica.Synced(), log.passes)
		}
		stop()
	})
}
