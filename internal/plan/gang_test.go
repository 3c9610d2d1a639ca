package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestGang(t *testing.T) {
	gang := func(tasks int) work.Step {
		return work.Step{TaskCount: tasks, TaskResources: cpus(12), Estimate: time.Second, Gang: true}
	}
	Convey("Given two executors on which two tasks of twelve processors fit each", t, func() {
		env := newTestEnv(t, 2)

		Convey("a gang of four starts whole with one run number", func() {
			j := env.submitJob(1, testQueue, gang(4))
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 4)
			for _, o := range orders {
				So(o.Start.Run.Number, ShouldEqual, 1)
			}
			env.confirmStarts(orders)

			Convey("one end as done ends the whole gang", func() {
				env.advance(time.Second)
				o := orders[0].Start
				env.report(o.To.ID, nil, ended(1, o.Run, platform.EndDone))
				env.saveRecords()
				So(env.savedProgress[j.ID].State, ShouldEqual, work.Completed)
				So(env.runCycle(), ShouldBeEmpty)
			})
			Convey("when one member fails, the others are stopped and all start again as the next run", func() {
				env.advance(time.Second)
				bad := orders[0].Start
				byExecutor := map[string][]platform.Run{}
				for _, o := range orders[1:] {
					byExecutor[o.Start.To.ID] = append(byExecutor[o.Start.To.ID], o.Start.Run)
				}
				env.report(bad.To.ID, running(byExecutor[bad.To.ID]...), ended(1, bad.Run, platform.EndFailed))
				So(env.cell.TakeStops(env.now), ShouldHaveLength, 3)
				So(env.runCycle(), ShouldBeEmpty) // the others may still be running
				for id, runs := range byExecutor {
					var rows []platform.EndedRun
					for i, r := range runs {
						rows = append(rows, platform.EndedRun{Number: uint64(i + 2), Run: r, Reason: platform.EndStopped})
					}
					env.report(id, nil, rows)
				}
				again := env.runCycle()
				So(again, ShouldHaveLength, 4)
				So(again[0].Start.Run.Number, ShouldEqual, 2)
			})
			Convey("two members that fail in one run count as one failure", func() {
				env.advance(time.Second)
				for i, o := range orders {
					env.report(o.Start.To.ID, nil, ended(uint64(i+1), o.Start.Run, platform.EndFailed))
				}
				So(env.runCycle(), ShouldHaveLength, 4)
			})
		})
		Convey("a gang of five doesn't start at all", func() {
			env.submitJob(1, testQueue, gang(5))
			So(env.runCycle(), ShouldBeEmpty)
			So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
		})
		Convey("no start of a gang is sent if one of them is no longer valid", func() {
			env.submitJob(1, testQueue, gang(4))
			starts := env.cell.Plan(env.now)
			So(starts, ShouldHaveLength, 4)
			env.saveRecords()
			e := *env.registry["e0"]
			e.Draining = true
			env.registry["e0"] = &e
			env.cell.UpdateExecutors(env.registry, env.now)
			env.advance(DefaultConfig().DrainMargin + time.Millisecond)
			env.report("e1", nil, nil)
			So(env.cell.Confirm(starts, env.now), ShouldBeEmpty)
			So(env.cell.vms["e1"].used.MilliCPU, ShouldEqual, 0)
		})
	})
}

func TestDrainingExecutorGetsNothing(t *testing.T) {
	Convey("A leaving executor gets no start", t, func() {
		env := newTestEnv(t, 1)
		env.registry["e0"].Draining = true
		env.cell.UpdateExecutors(env.registry, env.now)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second})
		So(env.runCycle(), ShouldBeEmpty)
	})
}

func TestUnknownRunsAreStoppedAndHoldCapacity(t *testing.T) {
	Convey("Given a run of a job that ended under a former leader", t, func() {
		env := newTestEnv(t, 1)
		j := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(30), Estimate: time.Minute})
		orders := env.runCycle()
		env.confirmStarts(orders)
		env.cell.Cancel(j.ID)
		env.saveRecords()
		env.takeOver()
		env.report("e0", running(orders[0].Start.Run), nil)

		Convey("it is stopped, and its capacity stays allocated until its end is listed", func() {
			So(env.cell.TakeStops(env.now), ShouldHaveLength, 1)
			env.submitJob(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(10), Estimate: time.Second})
			So(env.runCycle(), ShouldBeEmpty)
			env.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndStopped))
			So(env.runCycle(), ShouldHaveLength, 1)
		})
	})
}
