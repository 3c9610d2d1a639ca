package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// putOnRacks assigns consecutive executors to racks of a size.
func (env *testEnv) putOnRacks(executors, size int) {
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		e := *env.registry[id]
		e.Labels = []string{"a", fmt.Sprintf("rack%d", i/size)}
		env.registry[id] = &e
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	env.reportAll()
}

// startsByRack returns the number of starts on each rack.
func (env *testEnv) startsByRack(starts []ConfirmedStart) map[string]int {
	counts := make(map[string]int)
	for _, o := range starts {
		counts[env.cell.vms[o.Start.To.ID].Rack()]++
	}
	return counts
}

func sameRack(tasks int, gang bool) work.Step {
	return work.Step{TaskCount: tasks, TaskResources: cpus(16), Estimate: time.Second, Gang: gang, SameRack: true}
}

// A step with SameRack takes RemoteFactor times as long on two racks, so it starts on one that has the
// capacity. The tightest executors are on different racks here.
func TestStepStartsOnOneRack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		env := newTestEnv(t, 8)
		env.putOnRacks(8, 4)
		env.fillExecutors(0, 1) // rack0: 6 slots on 3 executors
		env.cell.vms["e5"].used = cpus(16)
		env.cell.vms["e6"].used = cpus(16)
		env.cell.vms["e7"].used = cpus(16) // rack1: 5 slots, and the best scores
		env.submitJob(1, testQueue, sameRack(6, gang))
		if got := fmt.Sprint(env.startsByRack(env.runCycle())); got != "map[rack0:6]" {
			t.Errorf("gang %v: %s", gang, got)
		}
	}
}

// Steps without SameRack are placed by score alone.
func TestOtherStepsIgnoreRacks(t *testing.T) {
	env := newTestEnv(t, 8)
	env.putOnRacks(8, 4)
	env.cell.vms["e1"].used = cpus(16)
	env.cell.vms["e5"].used = cpus(16)
	s := sameRack(2, false)
	s.SameRack = false
	env.submitJob(1, testQueue, s)
	if got := fmt.Sprint(env.startsByRack(env.runCycle())); got != "map[rack0:1 rack1:1]" {
		t.Errorf("starts %s", got)
	}
}

// newRacksInUse returns two racks of two executors, each with one executor taken by a run. That on rack0
// is expected to end after 500 ms.
func newRacksInUse(t *testing.T) (env *testEnv, first ConfirmedStart) {
	env = newTestEnv(t, 4)
	env.putOnRacks(4, 2)
	for i, estimate := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
		env.submitJob(byte(i+1), testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: estimate, DataRack: fmt.Sprintf("rack%d", i)})
		starts := env.runCycle()
		if got := fmt.Sprint(env.startsByRack(starts)); got != fmt.Sprintf("map[rack%d:1]", i) {
			t.Fatalf("starts %s", got)
		}
		env.confirmStarts(starts)
		if i == 0 {
			first = starts[0]
		}
	}
	env.reportAll()
	return env, first
}

// While one rack is expected to have the capacity within the slack, tasks must not be spread.
func TestStepWaitsForARackWithinItsSlack(t *testing.T) {
	for gang, want := range map[bool]string{false: "map[rack0:2]", true: "map[]"} {
		env, first := newRacksInUse(t)
		env.submitJob(3, testQueue, sameRack(4, gang))
		starts := env.runCycle()
		if got := fmt.Sprint(env.startsByRack(starts)); got != want {
			t.Errorf("gang %v: at first %s, want %s", gang, got, want)
		}
		env.confirmStarts(starts)
		env.advance(500 * time.Millisecond)
		var others []platform.Run
		for run := range env.cell.vms[first.Start.To.ID].allocations {
			if run != first.Start.Run {
				others = append(others, run)
			}
		}
		env.report(first.Start.To.ID, running(others...), ended(1, first.Start.Run, platform.EndDone))
		starts = append(starts, env.runCycle()...)
		if got := fmt.Sprint(env.startsByRack(starts)); got != "map[rack0:4]" {
			t.Errorf("gang %v: in all %s", gang, got)
		}
	}
}

// Once the slack is used up, waiting for one rack would only make the job later. The runs then count as
// longer by RemoteFactor, or gangs would wait for capacity that doesn't become free.
func TestStepIsSpreadWithoutSlack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		env, _ := newRacksInUse(t)
		env.submitJob(3, testQueue, sameRack(4, gang))
		starts := env.runCycle()
		env.confirmStarts(starts)
		env.advance(2100 * time.Millisecond) // the objective is 3 s, the work 1 s
		env.reportAll()
		spread := env.runCycle()
		if got := fmt.Sprint(env.startsByRack(append(starts, spread...))); got != "map[rack0:2 rack1:2]" {
			t.Errorf("gang %v: %s", gang, got)
		}
		for _, o := range spread {
			alloc := env.cell.vms[o.Start.To.ID].allocations[o.Start.Run]
			if got, want := alloc.expectedEnd.Sub(env.now), time.Duration(env.cell.cfg.RemoteFactor*float64(time.Second)); got != want {
				t.Errorf("gang %v: a run is expected to take %v, want %v", gang, got, want)
			}
		}
	}
}

// A first call for a step with SameRack that names executors of many racks yields grants that no rack
// has enough of.
func TestCallNamesExecutorsOfOneRack(t *testing.T) {
	for _, gang := range []bool{false, true} {
		env := newTestEnv(t, 60)
		env.advance(2 * time.Second)
		env.putOnRacks(60, 12)
		for i := range 60 {
			if i%2 == 0 {
				env.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(16)
			}
		}
		env.submitJob(1, testAdvisedQueue, sameRack(2, gang))
		env.runCycle()
		calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
		if len(calls) != 1 {
			t.Fatalf("%d calls", len(calls))
		}
		racks := make(map[string]int)
		for _, id := range calls[0].Executors {
			racks[env.cell.vms[id].Rack()]++
		}
		if len(racks) != 1 {
			t.Errorf("gang %v: a call names executors of racks %v", gang, racks)
		}
	}
}
