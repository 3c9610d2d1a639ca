// Package storehealth tracks from the results of calls whether this machine's store is
// available, so that requests that certainly can't be stored are rejected at once.
package storehealth

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// downThreshold is how long calls to the store may fail before it counts as down rather
// than slow.
const downThreshold = 700 * time.Millisecond

// Log is a platform.PartitionLog that tracks the health of the store that it calls.
type Log struct {
	platform.PartitionLog
	*health
}

// health is the observed health of one store, shared by all clients of that store.
type health struct {
	now func() time.Time

	mu           sync.Mutex
	failingSince time.Time // start of the current series of failures; zero: the store answered the last call
	lastSuccess  time.Time // time of the last call that the store answered
}

// Watch returns a Log that forwards all calls to log.
func Watch(log platform.PartitionLog) *Log {
	return &Log{PartitionLog: log, health: &health{now: time.Now}}
}

// WithClient returns a Log that forwards all calls to another client of the same store
// and shares the health of l.
func (l *Log) WithClient(log platform.PartitionLog) *Log {
	return &Log{PartitionLog: log, health: l.health}
}

// Down reports whether calls to the store have failed for longer than downThreshold.
func (h *health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.failingSince.IsZero() && h.now().Sub(h.failingSince) > downThreshold
}

// SinceSuccess returns the time since the store last answered a call of this machine.
func (h *health) SinceSuccess(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.lastSuccess)
}

// Append implements platform.PartitionLog.
func (l *Log) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	began := l.now()
	offset, err := l.PartitionLog.Append(ctx, a)
	l.recordResult(began, err)
	return offset, err
}

// Read implements platform.PartitionLog.
func (l *Log) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	began := l.now()
	batch, err := l.PartitionLog.Read(ctx, p, from, wait)
	l.recordResult(began, err)
	return batch, err
}

// Newest implements platform.PartitionLog.
func (l *Log) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	began := l.now()
	page, err := l.PartitionLog.Newest(ctx, p, after)
	l.recordResult(began, err)
	return page, err
}

// recordResult records the result of a call that began at the given time. A series of
// failures starts when its first call began, but not before the last success. Any answer of the
// store counts as a success, also a refusal.
func (h *health) recordResult(began time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || !isOutage(err) {
		h.failingSince = time.Time{}
		h.lastSuccess = h.now()
		return
	}
	if h.failingSince.IsZero() {
		h.failingSince = began
		if h.failingSince.Before(h.lastSuccess) {
			h.failingSince = h.lastSuccess
		}
	}
}

// isOutage reports whether an error means that the store gave no usable answer. Other
// errors are answers of the store.
func isOutage(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
}
