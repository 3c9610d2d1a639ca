package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// freeNow reports whether a job with one step may start on what executors have free.
func (env *testEnv) freeNow(s work.Step) bool {
	j := &work.Job{ID: work.ID{99}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{s}}
	return env.cell.FreeNow(j, env.cell.queueConfig.QueueNamed(testQueue), 0, env.now)
}

// Guards against jobs that are refused while executors are free, because of gangs that don't fit there.
func TestFreeBesideGangThatDoesNotFit(t *testing.T) {
	env := newTestEnv(t, 2)
	half := work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: time.Minute}
	gang := work.Step{TaskCount: 2, TaskResources: cpus(20), Estimate: 10 * time.Second, Gang: true}
	small := work.Step{TaskCount: 2, TaskResources: cpus(8), Estimate: 100 * time.Millisecond}
	env.submitJob(1, testQueue, half)
	env.submitJob(2, testQueue, gang)
	env.confirmStarts(env.runCycle())
	if !env.freeNow(small) {
		t.Error("executors are not free for a small job while a gang waits")
	}
	small.TaskCount = 7
	if env.freeNow(small) {
		t.Error("executors with 6 slots are free for 7 tasks")
	}
}

// Guards against jobs that are accepted for capacity that is held for a gang.
func TestHeldSlotsAreNotFree(t *testing.T) {
	env := newTestEnv(t, 2)
	half := work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: 3 * time.Second}
	gang := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: 10 * time.Second, Gang: true}
	env.submitJob(1, testQueue, half)
	env.confirmStarts(env.runCycle())
	env.submitJob(2, testQueue, gang)
	env.runCycle()
	long := work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute}
	if env.freeNow(long) {
		t.Error("slots held for a gang are free for a job that delays it")
	}
	long.Estimate = 100 * time.Millisecond
	if !env.freeNow(long) {
		t.Error("slots held for a gang aren't free for a short job")
	}
}

// Guards against new jobs that are accepted for capacity that waiting steps ahead of them will take
// with the next plan, and against refusals when nothing waits for it.
func TestReleasedCapacityGoesToWaitingSteps(t *testing.T) {
	env := newTestEnv(t, 1)
	full := work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: time.Second}
	env.submitJob(1, testQueue, full)
	starts := env.runCycle()
	env.confirmStarts(starts)
	env.submitJob(2, testQueue, full)
	env.runCycle()
	env.advance(10 * time.Millisecond)
	env.report(starts[0].Start.To.ID, nil, ended(1, starts[0].Start.Run, platform.EndDone))
	later := full
	later.Estimate = 2 * time.Second
	if env.freeNow(later) {
		t.Error("capacity that a waiting step takes with the next plan is free")
	}
	sooner := full
	sooner.Estimate = 10 * time.Millisecond
	if !env.freeNow(sooner) {
		t.Error("released capacity isn't free for a job ahead of the waiting step")
	}
}

// Guards against several new jobs that are accepted for the same capacity before the next plan.
func TestFreeCapacityIsGivenOnce(t *testing.T) {
	env := newTestEnv(t, 1)
	env.runCycle()
	env.advance(5 * time.Millisecond)
	env.reportAll()
	half := work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: time.Second}
	for n := range byte(2) {
		if !env.freeNow(half) {
			t.Errorf("no capacity for job %d", n)
		}
		env.submitJob(n+1, testQueue, half)
	}
	if env.freeNow(half) {
		t.Error("capacity for a third job of half an executor")
	}
}
