package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// A store that refuses what the leader clears up doesn't end the leader.
func TestLeaderContinuesWhenStoreRefusesCleanup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCellPlay(t)
		p.log = pickyStore{p.store, platform.ErrUnavailable} // for now
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
