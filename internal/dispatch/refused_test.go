package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// pickyStore answers each append that tells of ended jobs with an error.
type pickyStore struct {
	*memoryStore
	refusal error
}

func (s pickyStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "e") {
			return 0, s.refusal
		}
	}
	return s.memoryStore.Append(ctx, a)
}

// Clearing up after ended jobs is no reason for a leader to end: its process
// goes on renewing its claim, and nobody plans.
func TestLeaderContinuesWhenCleanupIsTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		p.log = pickyStore{p.store, platform.ErrTooLarge} // for good
		p.register("ready")
		p.lead()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.mustRun()
		p.cancel(id)
		time.Sleep(wholeFor + 3*tidyEvery)
		p.submit(2)
		time.Sleep(time.Second)
		if runs, _ := p.executor.atWork(); runs != 1 {
			t.Errorf("%d runs are at work, want the new job's", runs)
		}
		p.stop()
	})
}
