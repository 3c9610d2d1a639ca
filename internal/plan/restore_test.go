package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor crashes just before the leader does, and its record is gone when the next
// leader takes over. Its runs must start again once the new leader knows that it is lost. With
// the last record the new leader can call the executor's address, where its replacement
// answers. With only the ID it has to wait until the orders and leases of the runs have expired.
func TestRunsLostBeforeTakeoverRestart(t *testing.T) {
	for _, c := range []struct {
		name          string
		hasLastRecord bool
		maxTime       time.Duration // from the takeover to the end of the job
	}{
		{"its last record is known", true, 2 * time.Second},
		{"only its ID is known", false, 11 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newCrashSimulation(t, 3, firstTaskCrashes())
			j := sim.submitJob(1, testQueue, work.Step{TaskCount: 4, TaskResources: cpus(2), Estimate: time.Second})
			sim.runFor(300 * time.Millisecond)
			lost := sim.cell.jobs[j.ID].activeOccurrences[0].steps[0].tasks[0].incarnation.ID
			record := *sim.registry[lost]
			sim.hasNoLeader = true
			sim.crash(lost)
			sim.runFor(recordExpiry + 100*time.Millisecond)
			sim.hasNoLeader = false
			sim.startNewLeader()
			if ids := sim.cell.ExecutorsWithoutAddress(); len(ids) != 1 || ids[0] != lost {
				t.Fatalf("executors without an address: %v, want %s", ids, lost)
			}
			if c.hasLastRecord {
				sim.cell.ApplyLastRecord(record, sim.now)
			}
			takenOverAt := sim.now
			for sim.durableState(j.ID) != work.Completed && sim.now.Sub(takenOverAt) < 30*time.Second {
				sim.runFor(100 * time.Millisecond)
			}
			if elapsed := sim.now.Sub(takenOverAt); elapsed > c.maxTime {
				t.Errorf("the job ends %v after the takeover, want %v at most", elapsed, c.maxTime)
			}
		})
	}
}
