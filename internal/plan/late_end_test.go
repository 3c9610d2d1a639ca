package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor that was silent until its lease had expired reports that it had done a task before. The end was
// dropped if the task had been started again, and its caller waited for the second run.
func TestLateEndFinishesRestartedTask(t *testing.T) {
	for _, gang := range []bool{false, true} {
		Convey("Given a task that started again after its executor had fallen silent", t, func() {
			env := newTestEnv(t, 2)
			next := work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DependsOn: []int{0}}
			first := work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: time.Second, Gang: gang}
			j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{first, next}}
			env.submit(j)
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 1)
			env.confirmStarts(orders)
			silent, run := orders[0].Start.To.ID, orders[0].Start.Run
			other := map[string]string{"e0": "e1", "e1": "e0"}[silent]
			var again []ConfirmedStart
			for waited := time.Duration(0); len(again) == 0 && waited < 20*time.Second; waited += time.Second {
				env.advance(time.Second)
				env.report(other, nil, nil)
				again = env.runCycle()
			}
			So(again, ShouldHaveLength, 1)
			So(again[0].Start.To.ID, ShouldEqual, other)

			Convey("an end as done of the first run finishes it and stops the second", func() {
				env.confirmStarts(again)
				env.report(silent, nil, ended(1, run, platform.EndDone))
				stops := env.cell.TakeStops(env.now)
				So(stops, ShouldHaveLength, 1)
				So(stops[0].Run, ShouldResemble, again[0].Start.Run)
				env.report(other, nil, ended(1, stops[0].Run, platform.EndStopped))
				further := env.runCycle()
				So(further, ShouldHaveLength, 1)
				So(further[0].Start.Run.Task.Step, ShouldEqual, 1)
				env.checkAllocations()
			})
			Convey("a failed end of the first run changes nothing", func() {
				env.confirmStarts(again)
				env.report(silent, nil, ended(1, run, platform.EndFailed))
				So(env.cell.TakeStops(env.now), ShouldBeEmpty)
				So(env.runCycle(), ShouldBeEmpty)
			})
		})
	}
}
