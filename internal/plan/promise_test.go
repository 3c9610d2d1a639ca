package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// promisedInAll returns the room promised on all executors.
func (w *world) promisedInAll() api.Resources {
	var sum api.Resources
	for _, v := range w.cell.vms {
		sum = sum.Add(v.tentative)
	}
	return sum
}

func TestTentativeAllocations(t *testing.T) {
	Convey("Given two gangs that ask for advice at the same moment", t, func() {
		w := newWorld(t, 12)
		w.pass(2 * time.Second)
		w.reportAll()
		gang := work.Step{TaskCount: 6, TaskResources: cpus(16), Estimate: time.Second, Gang: true}
		w.job(1, testAdvised, gang)
		w.job(2, testAdvised, gang)
		w.cycle()
		asks := w.cell.AdviceCalls(w.now, anybody{})
		So(asks, ShouldHaveLength, 2)

		Convey("the second names executors on which the first leaves room", func() {
			first, second := asks[0].Executors, asks[1].Executors
			So(first, ShouldHaveLength, 12) // 6 tasks, 1.5 times, at a share of 0.3: more room than there is
			So(second, ShouldHaveLength, 12)
			So(w.promisedInAll().MilliCPU, ShouldEqual, 2*6*16000)
		})
		Convey("what is promised ends with the start", func() {
			w.cell.HandleGrants(asks[0], grants(asks[0].Executors...), 2*time.Second, w.now)
			So(w.cycle(), ShouldHaveLength, 6)
			So(w.promisedInAll().MilliCPU, ShouldEqual, 6*16000)
		})
		Convey("what is promised ends with a call that failed and with the job", func() {
			w.cell.HandleAdviceFailure(asks[0], w.now)
			w.cell.Cancel(work.ID{2})
			So(w.promisedInAll(), ShouldResemble, api.Resources{})
		})
	})
	Convey("Given executors with unlike room and gangs that need few", t, func() {
		w := newWorld(t, 12)
		w.pass(2 * time.Second)
		w.reportAll()
		gang := work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: time.Second, Gang: true}
		w.job(1, testAdvised, gang)
		w.job(2, testAdvised, gang)
		w.cycle()
		asks := w.cell.AdviceCalls(w.now, anybody{})
		So(asks, ShouldHaveLength, 2)
		Convey("they name different ones first", func() {
			So(asks[0].Executors[0], ShouldNotEqual, asks[1].Executors[0])
		})
	})
}

// Two gangs wait and there is room for one of them. When the other asked about what the
// call of the first left, and so on with dozens of gangs, none had tickets for all of its
// tasks at one time: accepted jobs stood still for 14 s beside executors of which most
// was free.
func TestNoAdviceCallForGangThatCannotStart(t *testing.T) {
	w := newWorld(t, 10)
	w.pass(2 * time.Second)
	w.reportAll()
	known := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}
	for n := byte(1); n <= 2; n++ {
		j := w.job(n, testAdvised, work.Step{TaskCount: 8, TaskResources: cpus(18), Estimate: time.Second, Gang: true})
		w.cell.HandleGrants(AdviceCall{Step: work.StepKey{Job: j.ID}, Executors: known}, grants(known...), time.Millisecond, w.now)
	}
	for _, s := range w.cell.waitingSteps {
		s.advice.callsInFlight = 0
	}
	w.pass(time.Second) // the tickets have lapsed
	w.reportAll()
	if starts := w.cycle(); len(starts) > 0 {
		t.Fatalf("%d tasks started without a ticket", len(starts))
	}
	asks := w.cell.AdviceCalls(w.now, anybody{})
	if len(asks) != 1 || asks[0].Step.Job != (work.ID{1}) {
		t.Fatalf("asked: %v", asks)
	}
	w.cell.HandleGrants(asks[0], grants(asks[0].Executors...), 2*time.Second, w.now)
	if starts := w.cycle(); len(starts) != 8 {
		t.Errorf("%d tasks of the first gang started", len(starts))
	}
}

func TestWaitingGangCallsAboutFreeExecutors(t *testing.T) {
	w := newWorld(t, 5)
	w.pass(2 * time.Second)
	w.reportAll()
	gang := w.job(1, testAdvised, work.Step{TaskCount: 4, TaskResources: cpus(16), Estimate: time.Second, Gang: true})
	w.cell.HandleGrants(AdviceCall{Step: work.StepKey{Job: gang.ID}, Executors: []string{"e0"}}, grants("e0"), time.Second, w.now)
	w.cell.waitingSteps[0].advice.callsInFlight = 0
	w.cell.vms["e0"].used = cpus(32) // by others, for as long as they last
	for range 100 {
		w.pass(100 * time.Millisecond)
		w.reportAll()
		w.cycle()
		if asks := w.cell.AdviceCalls(w.now, anybody{}); len(asks) > 0 {
			w.cell.HandleGrants(asks[0], grants(asks[0].Executors...), 2*time.Second, w.now)
			if starts := w.cycle(); len(starts) != 4 {
				t.Errorf("%d tasks of the gang started on four free executors", len(starts))
			}
			return
		}
	}
	t.Error("nothing is asked about the free executors")
}
