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
	h := newLogHealth(nil, func() time.Time { return now })
	fail := func(s *callHealth) { h.record(s, platform.ErrUnavailable) }
	check := func(when string, want bool) {
		t.Helper()
		if h.isDown() != want {
			t.Errorf("%s: isDown is %t, want %t", when, h.isDown(), want)
		}
	}
	check("before any call", false)
	fail(&h.reads)
	check("after one failure", false)
	now = now.Add(outageThreshold)
	check("after failures for the threshold", true)
	h.record(&h.reads, nil)
	check("after a successful read", false)
	fail(&h.appends)
	now = now.Add(outageThreshold)
	check("with working reads and failing appends", true)
	now = now.Add(appendFailureExpiry)
	check("after no append for a long time", false)
	if !errors.Is(errLogDown, journal.ErrNotWritten) {
		t.Error("errLogDown does not wrap journal.ErrNotWritten: a mark refused while the log is down is certainly not written")
	}
}
