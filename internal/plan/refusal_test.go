package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// countRefusedStarts has executors refuse every start for a time and returns how many starts
// were sent.
func countRefusedStarts(t *testing.T, d time.Duration, reason platform.Refusal) int {
	t.Helper()
	env := newTestEnv(t, 3)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	const cycle = 20 * time.Millisecond // time between two cycles of the leader
	sent := 0
	for elapsed := time.Duration(0); elapsed < d; elapsed += cycle {
		for _, o := range env.runCycle() {
			sent++
			env.cell.HandleStartAnswer(o.Start, &platform.RefusedError{Reason: reason}, env.now)
		}
		env.advance(cycle)
		if elapsed%time.Second == 0 {
			env.reportAll()
		}
	}
	return sent
}

// A start that every executor refuses must not be sent again in each cycle.
func TestRefusedStartsBackOff(t *testing.T) {
	const maxStarts = 4 * 10 // in 10 s: one a second on each of the 3 executors, and one more a second
	for _, reason := range []platform.Refusal{
		platform.RefusedNoCapacity, platform.RefusedLeaseExpired, platform.RefusedInvalidOrder, platform.RefusedUnhealthy, platform.RefusedOldRun,
	} {
		t.Run(string(reason), func(t *testing.T) {
			if sent := countRefusedStarts(t, 10*time.Second, reason); sent > maxStarts {
				t.Errorf("%d starts of one task are sent in 10 s, want %d at most", sent, maxStarts)
			}
		})
	}
}
