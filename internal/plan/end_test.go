package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestRunEnds(t *testing.T) {
	Convey("Given a job of one task that runs", t, func() {
		env := newTestEnv(t, 1)
		j := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)
		run := orders[0].Start.Run
		So(run.Number, ShouldEqual, 1)
		env.advance(time.Second)

		Convey("an end as done durably completes the job", func() {
			env.report("e0", nil, ended(1, run, platform.EndDone))
			env.saveRecords()
			So(env.savedProgress[j.ID].State, ShouldEqual, work.Completed)
			So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)

			Convey("and the job is not run again when its stored submission is read again", func() {
				env.cell.AddJob(j, nil, env.now.UnixMilli(), env.now)
				So(env.runCycle(), ShouldBeEmpty)
			})
		})
		Convey("after a failed end it starts again as the next run, up to the queue's number of attempts", func() {
			env.report("e0", nil, ended(1, run, platform.EndFailed))
			orders = env.runCycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
			env.confirmStarts(orders)
			env.advance(time.Second)
			env.report("e0", nil, ended(2, orders[0].Start.Run, platform.EndFailed))
			So(env.runCycle(), ShouldBeEmpty)
			So(env.savedProgress[j.ID].State, ShouldEqual, work.Failed)
		})
		Convey("an end that is listed again changes nothing", func() {
			env.report("e0", nil, ended(1, run, platform.EndStopped))
			So(env.runCycle(), ShouldHaveLength, 1)
			env.report("e0", nil, ended(1, run, platform.EndStopped))
			So(env.runCycle(), ShouldBeEmpty)
		})
		Convey("a cancellation stops it and keeps its allocation until its end is listed", func() {
			env.cell.Cancel(j.ID)
			So(env.cell.TakeStops(env.now), ShouldHaveLength, 1)
			So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 4000)
			env.report("e0", nil, ended(1, run, platform.EndStopped))
			So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
			So(env.runCycle(), ShouldBeEmpty)
		})
	})
}
