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

// slowLog takes a while for each page of the newest records.
type slowLog struct {
	platform.PartitionLog
	pages int
	takes time.Duration

	mu     sync.Mutex
	passes int // begun, from the first page on
}

func (l *slowLog) Newest(ctx context.Context, _ platform.Partition, after string) (platform.NewestPage, error) {
	if after == "\x7f" { // only the end is asked for
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

// Users of a machine that had been restarted were told nothing within their
// time, and were cut off when it was restarted again. Order of events: the
// process began to read the jobs, 11 MB over a link of 10 Mbit/s; each look at a
// job waited for the lock of that, to read them all once more; the process was
// asked to stop, and ended with these looks open. Cause: a lock that is waited
// for without regard to the caller's time or to the end of the process. The
// evidence: processes that were asked to stop within 1.5 s of their start ended
// with requests open in 7 cases of 8; links were full and no job was read for 8
// to 10 s after a start.
func TestLooksAtJobsShareTheReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			wait    = 2950 * time.Millisecond // of a client
			takes   = 500 * time.Millisecond
			pages   = 12
			needed  = pages * takes
			between = 100 * time.Millisecond // two looks at jobs
		)
		log := &slowLog{pages: pages, takes: takes}
		f := &Reader{
			Replica: New(time.Minute, logging.Silent()),
			Log:     log,
			Timing:  DefaultTiming(),
			Leads:   func() bool { return false },
		}
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		began := time.Now()
		var looks sync.WaitGroup
		for range 2 * needed / between {
			time.Sleep(between)
			looks.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, wait)
				defer cancel()
				asked := time.Now()
				err := f.Sync(ctx)
				if took := time.Since(asked); took > wait {
					t.Errorf("a look ended after %v, %v after its time", took, took-wait)
				}
				if err != nil && asked.Sub(began) > needed {
					t.Errorf("a look %v after the start failed: %v", asked.Sub(began), err)
				}
			})
		}
		looks.Wait()
		if !f.Replica.Synced() || log.passes != 1 {
			t.Errorf("read: %t, after %d passes", f.Replica.Synced(), log.passes)
		}
		stop()
	})
}
