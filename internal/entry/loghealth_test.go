package entry

import (
	"errors"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
)

func TestLogHealthDetectsOutage(t *testing.T) {
	now := time.Now()
	w := newLogHealth(nil, func() time.Time { return now })
	fail := func(s *callHealth) { w.record(s, platform.ErrUnavailable) }
	check := func(when string, want bool) {
		t.Helper()
		if w.isDown() != want {
			t.Errorf("%s: isDown is %t, want %t", when, w.isDown(), want)
		}
	}
	check("before any call", false)
	fail(&w.reads)
	check("after one failure", false)
	now = now.Add(outageThreshold)
	check("after failures for the threshold", true)
	w.record(&w.reads, nil)
	check("after a successful read", false)
	fail(&w.appends)
	now = now.Add(outageThreshold)
	check("with working reads and failing appends", true)
	now = now.Add(appendFailureExpiry)
	check("after no append for a long time", false)
	if !errors.Is(errLogDown, journal.ErrNotWritten) {
		t.Error("errLogDown must wrap journal.ErrNotWritten")
	}
}
