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
	// outageThreshold is how long calls of the log must have been failing before the
	// log counts as down. The next try after a single failure often succeeds.
	outageThreshold = 250 * time.Millisecond
	// appendFailureExpiry is how long a failed append counts. While nothing is
	// appended, there is no sign that appends would succeed again.
	appendFailureExpiry = 3 * time.Second
)

// logHealth forwards calls to the log and records whether they fail.
type logHealth struct {
	platform.Log
	now func() time.Time

	mu      sync.Mutex
	appends callHealth
	reads   callHealth
}

// callHealth is the health of one kind of call.
type callHealth struct {
	failingSince time.Time // zero if the latest call succeeded
	lastFailure  time.Time // time of the latest failure
}

func newLogHealth(log platform.Log, now func() time.Time) *logHealth {
	return &logHealth{Log: log, now: now}
}

// Append implements platform.Log.
func (h *logHealth) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	offset, err := h.Log.Append(ctx, stream, data)
	h.record(&h.appends, err)
	return offset, err
}

// Read implements platform.Log.
func (h *logHealth) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (platform.LogBatch, error) {
	batch, err := h.Log.Read(ctx, stream, from, max, wait)
	h.record(&h.reads, err)
	return batch, err
}

func (h *logHealth) record(s *callHealth, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUncertain) {
		*s = callHealth{}
		return
	}
	s.lastFailure = h.now()
	if s.failingSince.IsZero() {
		s.failingSince = s.lastFailure
	}
}

// isDown reports whether the log has been failing for at least outageThreshold.
func (h *logHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	return h.reads.isFailing(now) || h.appends.isFailing(now) && now.Sub(h.appends.lastFailure) < appendFailureExpiry
}

func (s callHealth) isFailing(now time.Time) bool {
	return !s.failingSince.IsZero() && now.Sub(s.failingSince) >= outageThreshold
}

// errLogDown is the error of a mark that is refused while the log is down.
var errLogDown = fmt.Errorf("%w: the log is down", journal.ErrNotWritten)

// failFastKeys refuses marks immediately while the log is down. Otherwise their
// requests would be refused only after their whole timeout.
type failFastKeys struct {
	filter.Keys
	health *logHealth
}

// Mark implements filter.Keys.
func (k failFastKeys) Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error) {
	if k.health.isDown() {
		return reqkey.Mark{}, errLogDown
	}
	return k.Keys.Mark(ctx, id, digest)
}
