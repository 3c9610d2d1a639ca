package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// totalTentative returns the tentative allocations on all executors.
func (env *testEnv) totalTentative() api.Resources {
	var sum api.Resources
	for _, v := range env.cell.vms {
		sum = sum.Add(v.tentative)
	}
	return sum
}

func TestTentativeAllocations(t *testing.T) {
	Convey("Given two gangs with advice calls at the same moment", t, func() {
		env := newTestEnv(t, 12)
		env.advance(2 * time.Second)
		env.reportAll()
		gang := work.Step{TaskCount: 6, TaskResources: cpus(16), Estimate: time.Second, Gang: true}
		env.submitJob(1, testAdvisedQueue, gang)
		env.submitJob(2, testAdvisedQueue, gang)
		env.runCycle()
		calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
		So(calls, ShouldHaveLength, 2)

		Convey("both name all executors and allocate tentatively for all of their tasks", func() {
			first, second := calls[0].Executors, calls[1].Executors
			So(first, ShouldHaveLength, 12) // 6 tasks times a margin of 1.5 at a grant share of 0.3 are more slots than there are
			So(second, ShouldHaveLength, 12)
			So(env.totalTentative().MilliCPU, ShouldEqual, 2*6*16000)
		})
		Convey("tentative allocations end with the start", func() {
			env.cell.HandleGrants(calls[0], grants(calls[0].Executors...), 2*time.Second, env.now)
			So(env.runCycle(), ShouldHaveLength, 6)
			So(env.totalTentative().MilliCPU, ShouldEqual, 6*16000)
		})
		Convey("tentative allocations end with a failed call and with the job", func() {
			env.cell.HandleAdviceFailure(calls[0], env.now)
			env.cell.Cancel(work.ID{2})
			So(env.totalTentative(), ShouldResemble, api.Resources{})
		})
	})
	Convey("Given two gangs that need one executor each", t, func() {
		env := newTestEnv(t, 12)
		env.advance(2 * time.Second)
		env.reportAll()
		gang := work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: time.Second, Gang: true}
		env.submitJob(1, testAdvisedQueue, gang)
		env.submitJob(2, testAdvisedQueue, gang)
		env.runCycle()
		calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
		So(calls, ShouldHaveLength, 2)
		Convey("their calls name different executors first", func() {
			So(calls[0].Executors[0], ShouldNotEqual, calls[1].Executors[0])
		})
	})
}

// Two gangs wait and one of them fits. A gang that can't start even with the expected grants
// must not make an advice call. When each gang called for what the calls of the others had
// left, dozens of gangs never had tickets for all of their tasks at once, and accepted jobs
// waited for 14 s while most capacity was free.
func TestNoAdviceCallForGangThatCannotStart(t *testing.T) {
	env := newTestEnv(t, 10)
	env.advance(2 * time.Second)
	env.reportAll()
	granted := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	for n := byte(1); n <= 2; n++ {
		j := env.submitJob(n, testAdvisedQueue, work.Step{TaskCount: 8, TaskResources: cpus(18), Estimate: time.Second, Gang: true})
		env.cell.HandleGrants(AdviceCall{Step: work.StepKey{Job: j.ID}, Executors: granted}, grants(granted...), time.Millisecond, env.now)
	}
	for _, s := range env.cell.waitingSteps {
		s.advice.callsInFlight = 0
	}
	env.advance(time.Second) // the tickets have expired
	env.reportAll()
	if starts := env.runCycle(); len(starts) > 0 {
		t.Fatalf("%d tasks started without a ticket", len(starts))
	}
	calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
	if len(calls) != 1 || calls[0].Step.Job != (work.ID{1}) {
		t.Fatalf("advice calls %v, want one for the first gang", calls)
	}
	env.cell.HandleGrants(calls[0], grants(calls[0].Executors...), 2*time.Second, env.now)
	if starts := env.runCycle(); len(starts) != 8 {
		t.Errorf("%d tasks of the first gang started, want 8", len(starts))
	}
}

// A gang has a ticket only for an executor that stays full. By the expected grant share the
// free executors are too few for it, and without a call that share never changes. So it must
// make a call that names them once fullGrantDelay has passed since its newest call.
func TestWaitingGangCallsAboutFreeExecutors(t *testing.T) {
	env := newTestEnv(t, 5)
	env.advance(2 * time.Second)
	env.reportAll()
	gang := env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 4, TaskResources: cpus(16), Estimate: time.Second, Gang: true})
	env.cell.HandleGrants(AdviceCall{Step: work.StepKey{Job: gang.ID}, Executors: []string{"e0"}}, grants("e0"), time.Second, env.now)
	env.cell.waitingSteps[0].advice.callsInFlight = 0
	env.cell.vms["e0"].used = cpus(32) // used by runs that don't end
	for range 100 {
		env.advance(100 * time.Millisecond)
		env.reportAll()
		env.runCycle()
		if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) > 0 {
			env.cell.HandleGrants(calls[0], grants(calls[0].Executors...), 2*time.Second, env.now)
			if starts := env.runCycle(); len(starts) != 4 {
				t.Errorf("%d tasks of the gang started on four free executors, want 4", len(starts))
			}
			return
		}
	}
	t.Error("no advice call names the free executors")
}
