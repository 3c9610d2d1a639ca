package leader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

func (e *Elector) append(ctx context.Context, k kind) (platform.Offset, error) {
	e.mu.Lock()
	rec, at := e.state.own(k), e.state.End()
	e.state.sending(uptime())
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
		Partition: e.cfg.Partition,
		Records:   []platform.Record{{Value: data}},
		At:        &at,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.usual = time.Since(sent)
	case errors.Is(err, platform.ErrUncertain):
		e.usual = min(timeout, e.cfg.Timing.MaxAppendTimeout/2) // the next one is given more
	}
	return offset, err
}

// expect takes in what a call to the store took that this process made right before an
// append: one that has not led yet has made no append that would tell.
func (e *Elector) expect(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usual = max(e.usual, took)
}

// LastAppendDuration returns what the last append took, as far as is known.
func (e *Elector) LastAppendDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usual
}

// appendTimeout returns for how long the next append is waited for: a
// multiple of what the last one took.
func (e *Elector) appendTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.cfg.Timing.MinAppendTimeout, min(2*e.usual, e.cfg.Timing.MaxAppendTimeout))
}

func (e *Elector) read(ctx context.Context, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Timing.ReadTimeout+wait)
	defer cancel()
	return e.cfg.Log.Read(ctx, e.cfg.Partition, from, wait)
}

// sleep pauses for d, or less if the store refused this process's epoch.
func (e *Elector) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
	case <-ctx.Done():
	}
}
