package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// A store that refuses the cleanup append temporarily, as unavailable, must not end leadership: the
// process would continue to renew its claim while nobody plans.
func TestLeaderContinuesWhenStoreRefusesCleanup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		p.log = cleanupRefusingStore{p.store, platform.ErrUnavailable}
		p.register("ready")
		p.takeOver()
		id := p.submit(1)
		time.Sleep(500 * time.Millisecond)
		p.requireOneRun()
		p.cancel(id)
		time.Sleep(submissionRetention + 3*cleanupInterval + cleanupInterval/2)
		p.submit(2)
		time.Sleep(time.Second)
		p.requireOneRun()
		p.stop()
	})
}
