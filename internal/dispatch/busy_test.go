package dispatch

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// busyStore refuses, for now, each append that tells of ended jobs.
type busyStore struct{ *memoryStore }

func (s busyStore) Append(ctx context.Context, a platform.Append) (platform.Offset, error) {
	for _, r := range a.Records {
		if strings.HasPrefix(r.Key, "e") {
			return 0, platform.ErrUnavailable
		}
	}
	return s.memoryStore.Append(ctx, a)
}

// A store that refuses what the leader clears up doesn't end the leader.
func TestLeaderOutlivesABusyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		p.log = busyStore{p.store}
		p.register("ready")
		p.lead()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.mustRun()
		p.cancel(id)
		time.Sleep(wholeFor + 3*tidyEvery + tidyEvery/2)
		p.submit(2)
		time.Sleep(time.Second)
		p.mustRun()
		p.stop()
	})
}
