package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// refuseFor has executors refuse each start for a while and returns how many were sent.
func refuseFor(t *testing.T, d time.Duration, reason platform.Refusal) int {
	t.Helper()
	w := newWorld(t, 3)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	const pace = 20 * time.Millisecond // of a leader's cycles
	sent := 0
	for at := time.Duration(0); at < d; at += pace {
		for _, o := range w.cycle() {
			sent++
			w.cell.HandleStartAnswer(o.Start, &platform.RefusedError{Reason: reason}, w.now)
		}
		w.pass(pace)
		if at%time.Second == 0 {
			w.reportAll()
		}
	}
	return sent
}

func TestRefusedStartsBackOff(t *testing.T) {
	const most = 4 * 10 // one a second and executor, and one more each
	for _, reason := range []platform.Refusal{
		platform.RefusedNoCapacity, platform.RefusedLeaseExpired, platform.RefusedInvalidOrder, platform.RefusedUnhealthy, platform.RefusedOldRun,
	} {
		t.Run(string(reason), func(t *testing.T) {
			if sent := refuseFor(t, 10*time.Second, reason); sent > most {
				t.Errorf("%d starts of one task are sent in 10 s, want %d at most", sent, most)
			}
		})
	}
}
