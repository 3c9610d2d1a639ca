package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// append appends a record of kind k at the known end of the partition.
func (e *Elector) append(ctx context.Context, k recordKind) (platform.Offset, error) {
	e.mu.Lock()
	rec, at := e.state.newRecord(k), e.state.End()
	e.state.appendStarted(uptime())
	e.mu.Unlock()
	data, err := encode(rec)
	if err != nil {
		return 0, err
	}
	timeout := e.appendTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	offset, err := e.cfg.Log.Append(ctx, platform.Append{
		Partition:   e.cfg.Partition,
		Records:     []platform.Record{{Value: data}},
		ExpectedEnd: &at,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.lastAppendDuration = time.Since(sent)
	case errors.Is(err, platform.ErrUncertain):
		e.lastAppendDuration = min(timeout, e.cfg.Timing.MaxAppendTimeout/2) // gives the next append a longer timeout
	}
	return offset, err
}

// noteReadDuration raises the estimate of an append's duration to the duration of a read
// made right before it. A process that has not led yet has no appends to learn from.
func (e *Elector) noteReadDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastAppendDuration = max(e.lastAppendDuration, d)
}

// LastAppendDuration returns the estimated duration of an append, which is based on the
// last one.
func (e *Elector) LastAppendDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastAppendDuration
}

// appendTimeout returns the timeout of the next append, which is a multiple of the last
// one's duration.
func (e *Elector) appendTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.cfg.Timing.MinAppendTimeout, min(2*e.lastAppendDuration, e.cfg.Timing.MaxAppendTimeout))
}

// read reads records from an offset on. If there are none, it waits for one.
func (e *Elector) read(ctx context.Context, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timing.ReadTimeout+wait)
	defer cancel()
	return e.cfg.Log.Read(ctx, e.cfg.Partition, from, wait)
}

// sleep pauses for d, or until Wake is called.
func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}
