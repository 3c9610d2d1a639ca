package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// cleanupRefusingStore fails each append that contains the outcome of an ended job.
type cleanupRefusingStore struct {
	*memoryStore
	err error
}

func (s cleanupRefusingStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "e") {
			return 0, s.err
		}
	}
	return s.memoryStore.Append(ctx, a)
}

// A cleanup append that the store refuses permanently, as too large, must not end leadership: the
// process would continue to renew its claim while nobody plans.
func TestLeaderContinuesWhenCleanupIsTooLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.log = cleanupRefusingStore{p.store, platform.ErrTooLarge}
		p.register("ready")
		p.takeOver()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.requireOneRun()
		p.cancel(id)
		time.Sleep(submissionRetention + 3*cleanupInterval)
		p.submit(2)
		time.Sleep(time.Second)
		if runs, _ := p.executor.runsAndHolds(); runs != 1 {
			t.Errorf("%d runs are running, want the run of the new job", runs)
		}
		p.stop()
	})
}
