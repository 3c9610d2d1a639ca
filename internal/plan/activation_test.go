package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A leader of a large fleet calls as many executors as the work needs, and more as soon as work waits.
func TestActivationFollowsWork(t *testing.T) {
	const executors = 3000
	env := newTestEnv(t, 0)
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Labels: []string{"a"}, Capacity: api.Resources{MilliCPU: 16000, MemoryMB: 65536}}
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	called := len(slices.Collect(env.cell.CallableExecutors()))
	if called < minActiveVMs*9/10 || called > minActiveVMs*11/10 {
		t.Fatalf("%d executors are called at first, want about %d", called, minActiveVMs)
	}
	answer := func() {
		for ref := range env.cell.CallableExecutors() {
			if v := env.cell.vms[ref.ID]; !v.hasReported {
				env.report(ref.ID, nil, nil)
			}
		}
	}
	answer()
	env.submitJob(1, testQueue, work.Step{TaskCount: 300, TaskResources: cpus(8), Estimate: time.Minute})
	env.runCycle()
	for range 10 {
		env.advance(activationInterval)
		answer()
		env.runCycle()
	}
	if n := len(slices.Collect(env.cell.CallableExecutors())); n != called {
		t.Errorf("%d executors are called for work that a fifth of them does", n)
	}
	env.submitJob(2, testQueue, work.Step{TaskCount: 4000, TaskResources: cpus(8), Estimate: time.Minute})
	for range 20 {
		env.advance(activationInterval)
		answer()
		env.runCycle()
	}
	if n := len(slices.Collect(env.cell.CallableExecutors())); n != executors {
		t.Errorf("%d of %d executors are called while work for most of them waits", n, executors)
	}
}

// Executors that the work needs no longer are let go of, and called again when it comes back.
func TestActivationFallsWithWork(t *testing.T) {
	const executors = 3000
	env := newTestEnv(t, 0)
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: cpus(16)}
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	called := func() int { return len(slices.Collect(env.cell.CallableExecutors())) }
	least := called()
	for round := range 2 {
		env.submitJob(byte(round+1), testQueue, work.Step{TaskCount: 2000, TaskResources: cpus(8), Estimate: time.Minute})
		env.advance(activationInterval)
		env.runCycle()
		if n := called(); n < 2000 {
			t.Errorf("round %d: %d executors are called for the work of 1,000", round, n)
		}
		env.cell.Cancel(work.ID{byte(round + 1)})
		for range 60 {
			env.advance(time.Second)
			env.runCycle()
		}
		if n := called(); n != least {
			t.Errorf("round %d: %d executors are called a minute after the work has ended, want %d", round, n, least)
		}
	}
}

// A backlog that a new leader finds has as many executors called as it needs, and no more, also if the executors
// are slow to report and the steps wait for long.
func TestBacklogDoesNotActivateFleet(t *testing.T) {
	const executors = 6000
	env := newTestEnv(t, 0)
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536}}
	}
	for n := range 100 {
		env.submitJob(byte(n+1), testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(8), Estimate: time.Minute})
	}
	env.takeOver()
	for range 50 {
		env.advance(activationInterval)
		env.runCycle()
	}
	const needed = 100 * 20 * 8 / 32
	if n := len(slices.Collect(env.cell.CallableExecutors())); float64(n) > 2.2*needed/maxActiveUse {
		t.Errorf("%d of %d executors are called for work that needs %d", n, executors, needed)
	}
}

// A step that waits for a label which few executors have gets them, however little is in use.
func TestActivationForRareLabel(t *testing.T) {
	const executors = 2000
	env := newTestEnv(t, 0)
	rare := ""
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: cpus(16)}
		if rare == "" && activationRank(id) > 0.95 {
			rare = id
			env.registry[id].Labels = []string{"rare"}
		}
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), RequiredLabel: "rare", Estimate: time.Minute})
	for range 30 {
		for ref := range env.cell.CallableExecutors() {
			if v := env.cell.vms[ref.ID]; !v.hasReported {
				env.report(ref.ID, nil, nil)
			}
		}
		env.advance(activationInterval)
		env.reportAll()
		if starts := env.runCycle(); len(starts) == 1 {
			return
		}
	}
	t.Errorf("a task that only %s can run has not started after 3s", rare)
}

// A pass over a large fleet looks at a part of it, and the next one at another part.
func TestSnapshotsOfLargeFleetRotate(t *testing.T) {
	cell, now := newBusyCell(2 * maxSnapshotVMs)
	seen := make(map[*vm]bool)
	for range 2 {
		snapshot := cell.snapshot(now)
		if len(snapshot.vms) != maxSnapshotVMs {
			t.Fatalf("a pass looks at %d executors", len(snapshot.vms))
		}
		for _, v := range snapshot.vms {
			seen[v] = true
		}
	}
	if len(seen) != 2*maxSnapshotVMs {
		t.Errorf("two passes looked at %d of %d executors", len(seen), 2*maxSnapshotVMs)
	}
}

// Executors that a step is known to be permitted on are candidates in each pass.
func TestPermittedExecutorsAreCandidatesInEachPass(t *testing.T) {
	cell, now := newBusyCell(3 * maxSnapshotVMs)
	s := cell.findStep(work.StepKey{Job: work.ID{2, 1}})
	q := cell.queueOf(s.job)
	for range 3 {
		c := cell.snapshot(now).candidatesFor(s, q, now)
		permitted := 0
		for _, v := range cell.permittedVMs(s, q) {
			if v.slotsAt(s, now, now) > 0 {
				permitted++
			}
		}
		if got := len(c.valid) + len(c.expired); got != permitted {
			t.Errorf("%d of %d permitted executors with free capacity are candidates", got, permitted)
		}
	}
}

// A new leader doesn't take the few executors that have reported for all of the capacity.
func TestActivationWaitsForReportsAfterTakeover(t *testing.T) {
	const executors = 3000
	env := newTestEnv(t, 0)
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: cpus(16)}
	}
	env.takeOver()
	called := len(slices.Collect(env.cell.CallableExecutors()))
	env.submitJob(1, testQueue, work.Step{TaskCount: 100, TaskResources: cpus(8), Estimate: time.Minute})
	answered := 0
	for ref := range env.cell.CallableExecutors() {
		if answered++; answered > 20 {
			break
		}
		env.report(ref.ID, nil, nil)
	}
	for range 5 {
		env.advance(activationInterval)
		env.runCycle()
	}
	if n := len(slices.Collect(env.cell.CallableExecutors())); n != called {
		t.Errorf("%d executors are called instead of %d before these have reported", n, called)
	}
}

// An executor that is called only because something ran there is called until the end has been acknowledged:
// it lists the end until then.
func TestEndIsAcknowledgedBeforeExecutorIsLeft(t *testing.T) {
	env := newTestEnv(t, 0)
	const executors = 3000
	id := ""
	for i := range executors {
		other := fmt.Sprintf("e%d", i)
		env.registry[other] = &fleet.Executor{Ref: platform.ExecutorRef{ID: other, Address: "10.0.0.1:" + other}, Service: testService, Capacity: cpus(16)}
		if activationRank(other) > 0.9 {
			id = other
		}
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	v := env.cell.vms[id]
	run := platform.Run{Task: work.TaskKey{StepKey: work.StepKey{Job: work.ID{7}}}, Number: 1}
	v.addAllocation(&allocation{run: run, state: stateInherited})
	env.report(id, running(run), nil)
	env.report(id, nil, ended(1, run, platform.EndStopped))
	if len(v.allocations) != 0 {
		t.Fatal("the run has not ended")
	}
	h, callable := env.cell.NextHold(id, HoldTerms{Connected: true})
	if !callable {
		t.Fatal("the executor is left before its end is acknowledged")
	}
	env.cell.MarkEndsDurable(h, env.cell.AppliedEnds(h))
	if h, callable = env.cell.NextHold(id, HoldTerms{Connected: true}); !callable || h.Order.Acknowledged != 1 {
		t.Fatalf("the end isn't acknowledged: called %v, up to %d", callable, h.Order.Acknowledged)
	}
	env.cell.HandleReport(h, platform.ExecutorReport{Clock: env.executorClock}, env.now, env.now)
	if _, callable = env.cell.NextHold(id, HoldTerms{Connected: true}); callable {
		t.Error("an executor that runs nothing and isn't needed is still called")
	}
}

// A fleet that registers little by little, as after a start of everything, has no more executors called than one
// that is there at once.
func TestActivationOfGrowingFleet(t *testing.T) {
	const executors, atOnce = 6000, 200
	env := newTestEnv(t, 0)
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		env.registry[id] = &fleet.Executor{Ref: platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id}, Service: testService, Capacity: cpus(32)}
		if i%atOnce == atOnce-1 {
			env.advance(activationInterval)
			env.cell.UpdateExecutors(env.registry, env.now)
			if n := len(slices.Collect(env.cell.CallableExecutors())); n > minActiveVMs*11/10 {
				t.Fatalf("%d of %d executors are called while nothing waits", n, i+1)
			}
		}
	}
}
