package replica

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// restore is a reading of the newest record of every key, for all who wait for
// it.
type restore struct {
	callers int
	cancel  context.CancelFunc
	done    chan struct{}
	err     error // set before done is closed
}

// Restore reads the newest record of every key. Records that are written
// meanwhile are read after that. Callers share one reading, which goes on for
// as long as anybody waits for it: over a link of 10 Mbit/s it takes 8 to 10 s
// after a start under load, so each has to be able to leave by its own time.
func (f *Reader) Restore(ctx context.Context) error {
	r := f.joinRestore()
	defer f.leaveRestore(r)
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Reader) joinRestore() *restore {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restoring == nil {
		ctx, cancel := context.WithCancel(context.Background())
		r := &restore{cancel: cancel, done: make(chan struct{})}
		f.restoring = r
		go func() {
			defer close(r.done)
			r.err = f.readNewest(ctx)
			f.forgetRestore(r)
		}()
	}
	f.restoring.callers++
	return f.restoring
}

func (f *Reader) leaveRestore(r *restore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.callers--
	if r.callers > 0 {
		return
	}
	r.cancel()
	if f.restoring == r {
		f.restoring = nil // the next caller gets one that goes on
	}
}

func (f *Reader) forgetRestore(r *restore) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restoring == r {
		f.restoring = nil
	}
}

func (f *Reader) readNewest(ctx context.Context) error {
	next, err := platform.ReadNewest(ctx, f.Log, f.Partition, f.Timing.Call, func(records []platform.Record) {
		f.Replica.apply(records, 0, time.Now())
	})
	if err != nil {
		return err
	}
	f.Replica.restored(next)
	f.Replica.Heard(time.Now())
	return nil
}
