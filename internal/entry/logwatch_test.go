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
	w := newLogWatch(nil, func() time.Time { return now })
	fail := func(s *callState) { w.note(s, platform.ErrUnavailable) }
	check := func(when string, want bool) {
		t.Helper()
		if w.down() != want {
			t.Errorf("%s: down %t, want %t", when, w.down(), want)
		}
	}
	check("before any call", false)
	fail(&w.reads)
	check("after one failure", false)
	now = now.Add(outageAfter)
	check("after failures for a while", true)
	w.note(&w.reads, nil)
	check("after a read", false)
	fail(&w.appends)
	now = now.Add(outageAfter)
	check("reads work, appends fail", true)
	now = now.Add(outageMemory)
	check("appends not tried for long", false)
	if !errors.Is(errLogDown, journal.ErrNotWritten) {
		t.Error("a mark refused while the log is down must count as not written")
	}
}
