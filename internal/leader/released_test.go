package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// A process that can't lead learns at once who has claimed the cell after a release. It must not
// take the release for a fresh sign of life, during which it doesn't read the store.
func TestClaimAfterReleaseIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := election(t, 1, 1, 1)
		former, observer, successor := all[0], all[1], all[2]
		observer.cfg.Suitability = func() Suitability { return Unsynced }
		defer run(former)()
		time.Sleep(2 * time.Second)
		former.Release(t.Context())
		defer run(observer)()
		time.Sleep(10 * time.Millisecond)
		defer run(successor)()
		const limit = 250 * time.Millisecond // a claim takes two reads, an append and the jitter
		time.Sleep(limit)
		if leads, _ := successor.state(); !leads {
			t.Fatalf("nobody leads %v after the release", limit)
		}
		if current := observer.Current(); current.Node != api.NodeID("c") {
			t.Errorf("%v after the release the observer takes %q for the leader", limit, current.Node)
		}
	})
}
