package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

const (
	// outageAfter is how long calls of the log must have failed before it is
	// taken for down; a single failure is often over by the next try.
	outageAfter = 250 * time.Millisecond
	// outageMemory is how long failed appends count. While nothing is
	// appended nobody learns that it would work again.
	outageMemory = 3 * time.Second
)

// logWatch passes calls on to the log and remembers whether they fail.
type logWatch struct {
	platform.Log
	now func() time.Time

	mu      sync.Mutex
	appends callState
	reads   callState
}

// callState is what became of one kind of call.
type callState struct {
	failingSince time.Time // zero while the latest call succeeded
	latest       time.Time // failure
}

func newLogWatch(log platform.Log, now func() time.Time) *logWatch {
	return &logWatch{Log: log, now: now}
}

// Append implements platform.Log.
func (w *logWatch) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	offset, err := w.Log.Append(ctx, stream, data)
	w.note(&w.appends, err)
	return offset, err
}

// Read implements platform.Log.
func (w *logWatch) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	batch, err := w.Log.Read(ctx, stream, from, max, wait)
	w.note(&w.reads, err)
	return batch, err
}

func (w *logWatch) note(s *callState, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUncertain) {
		*s = callState{}
		return
	}
	s.latest = w.now()
	if s.failingSince.IsZero() {
		s.failingSince = s.latest
	}
}

// down reports whether the log has been failing for a while.
func (w *logWatch) down() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	return w.reads.failing(now) || w.appends.failing(now) && now.Sub(w.appends.latest) < outageMemory
}

func (s callState) failing(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) >= outageAfter
}

// errLogDown refuses a mark at once.
var errLogDown = fmt.Errorf("%w: the log is down", journal.ErrNotWritten)

// promptKeys proposes no mark while the log is down: its request would wait
// for its whole timeout to be refused in the end.
type promptKeys struct {
	filter.Keys
	log *logWatch
}

// Mark implements filter.Keys.
func (k promptKeys) Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error) {
	if k.log.down() {
		return reqkey.Mark{}, errLogDown
	}
	return k.Keys.Mark(ctx, id, digest)
}
