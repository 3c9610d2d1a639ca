package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/work"
)

// submitPlannedGang fills all executors but some processors of each for a time and submits a gang
// of two tasks of 16 processors, which fit on one executor after that time.
func submitPlannedGang(env *testEnv, executors int, filled int64, d time.Duration, queueName string) *step {
	env.submitJob(1, testQueue, work.Step{TaskCount: executors, TaskResources: cpus(filled), Estimate: d, MaxPerVM: 1})
	env.confirmStarts(env.runCycle())
	env.reportAll()
	j := env.submitJob(2, queueName, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: 1500 * time.Millisecond, Gang: true})
	env.runCycle()
	return env.cell.findStep(work.StepKey{Job: j.ID})
}

// A gang never starts if other work takes its slots past the planned start, and capacity is wasted
// if the rest of the executor, or held slots until then, are closed to it.
func TestWhoMayUseHeldSlots(t *testing.T) {
	for _, c := range []struct {
		name     string
		cpus     int64
		tasks    int
		estimate time.Duration
		want     int // starts
	}{
		{"a task that ends after the planned start runs beside the held slots only", 8, 2, 10 * time.Second, 1},
		{"a task may end after the planned start by its estimate with a margin", 8, 2, 3 * time.Second, 1},
		{"a task that ends before the planned start uses held slots", 8, 2, 2 * time.Second, 2},
		{"a short task uses held slots", 8, 2, time.Second, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			env := newTestEnv(t, 2)
			s := submitPlannedGang(env, 2, 24, 4*time.Second, testQueue)
			plan := env.cell.gangs.planOf(s)
			if plan == nil || len(plan.Slots) != 1 || plan.Start.Sub(env.now) != 4*time.Second {
				t.Fatalf("plan %+v, want one on one executor in 4 s", plan)
			}
			env.submitJob(3, testQueue, work.Step{TaskCount: c.tasks, TaskResources: cpus(c.cpus), Estimate: c.estimate})
			if starts := env.runCycle(); len(starts) != c.want {
				t.Errorf("%d tasks start, want %d", len(starts), c.want)
			}
		})
	}
}

// A call for tickets long before the planned start takes a calling machine's time for tickets that
// expire unused; one that is made too late delays the gang.
func TestTicketsOfPlanAreRenewedForItsStart(t *testing.T) {
	env := newTestEnv(t, 5)
	env.advance(takeoverReportWait + time.Second)
	env.reportAll()
	s := submitPlannedGang(env, 5, 32, 6*time.Second, testAdvisedQueue)
	first := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
	if len(first) != 1 {
		t.Fatalf("%d first calls, want 1", len(first))
	}
	env.cell.HandleGrants(first[0], grants("e0", "e1", "e2", "e3", "e4"), 2*time.Second, env.now)
	var named []string
	var called time.Time
	for range 200 {
		env.runCycle()
		if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) > 0 {
			named, called = calls[0].Executors, env.now
			break
		}
		env.advance(50 * time.Millisecond)
		env.reportAll()
	}
	plan := env.cell.gangs.planOf(s)
	if plan == nil || len(plan.Slots) != 1 {
		t.Fatalf("plan %+v, want one on one executor", plan)
	}
	if ahead := plan.Start.Sub(called); ahead < renewAhead-50*time.Millisecond || ahead > renewAhead+100*time.Millisecond {
		t.Errorf("the call is made %v before the planned start", ahead)
	}
	if len(named) == 0 || len(named) > 2 || !env.cell.vms[named[0]].holdsFor(s) {
		t.Errorf("the call names %v, want the plan's executor and at most one other", named)
	}
}

// Slots that stay held for an ended gang would be lost to other work.
func TestCancelledGangHoldsNothing(t *testing.T) {
	env := newTestEnv(t, 2)
	s := submitPlannedGang(env, 2, 24, 4*time.Second, testQueue)
	env.cell.Cancel(s.job.spec.ID)
	env.runCycle()
	g := env.cell.gangs.(*gathering)
	for _, v := range env.cell.vms {
		if len(v.held) > 0 {
			t.Errorf("%s holds slots", v.Ref.ID)
		}
	}
	if dropped := g.keepers[testService].TakeDropped(); dropped[gather.Ended] != 1 || len(g.steps) != 0 {
		t.Errorf("dropped plans: %v, %d gangs with plans", dropped, len(g.steps))
	}
}
