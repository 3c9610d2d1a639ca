// Package storehealth watches, call by call, whether this machine's store
// answers, so that what certainly can't be stored is refused at once.
package storehealth

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// downAfter is how long the store may give no answer, while it is called,
// before it counts as down rather than slow.
const downAfter = 700 * time.Millisecond

// Log is a platform.PartitionLog that watches the one it calls.
type Log struct {
	platform.PartitionLog
	*health
}

// health is what is known of one store, whichever connections lead to it.
type health struct {
	now func() time.Time

	mu      sync.Mutex
	failing time.Time // since when nothing but failures came back; zero: the last answer was good
	last    time.Time // last good answer
}

// Watch returns a log that passes all calls on to log.
func Watch(log platform.PartitionLog) *Log {
	return &Log{PartitionLog: log, health: &health{now: time.Now}}
}

// WithClient returns a log that passes all calls on to another client of the same store.
func (l *Log) WithClient(log platform.PartitionLog) *Log {
	return &Log{PartitionLog: log, health: l.health}
}

// Down reports whether the store has failed for a while.
func (l *health) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.failing.IsZero() && l.now().Sub(l.failing) > downAfter
}

// SinceSuccess returns for how long the store has answered no call of this machine.
func (l *health) SinceSuccess(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.last)
}

// Append implements platform.PartitionLog.
func (l *Log) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	began := l.now()
	offset, err := l.PartitionLog.Append(ctx, a)
	l.note(began, err)
	return offset, err
}

// Read implements platform.PartitionLog.
func (l *Log) Read(ctx context.Context, p platform.Partition, from platform.Offset, wait time.Duration) (platform.RecordBatch, error) {
	began := l.now()
	batch, err := l.PartitionLog.Read(ctx, p, from, wait)
	l.note(began, err)
	return batch, err
}

// Newest implements platform.PartitionLog.
func (l *Log) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	began := l.now()
	page, err := l.PartitionLog.Newest(ctx, p, after)
	l.note(began, err)
	return page, err
}

// note takes in how a call ended that began at a time. A failure counts from
// when its call began, but not from before the last good answer.
func (l *health) note(began time.Time, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil || !failed(err) {
		l.failing = time.Time{}
		l.last = l.now()
		return
	}
	if l.failing.IsZero() {
		l.failing = began
		if l.failing.Before(l.last) {
			l.failing = l.last
		}
	}
}

// failed reports whether an error says that the store gave no useful answer;
// others are answers.
func failed(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
}
