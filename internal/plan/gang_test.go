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
	Convey("Given two executors with room for two tasks of twelve processors each", t, func() {
		w := newWorld(t, 2)

		Convey("a gang of four starts whole, under one run number", func() {
			j := w.job(1, testQueue, gang(4))
			orders := w.cycle()
			So(orders, ShouldHaveLength, 4)
			for _, o := range orders {
				So(o.Start.Run.Number, ShouldEqual, 1)
			}
			w.startAll(orders)

			Convey("one done end stands for all", func() {
				w.pass(time.Second)
				o := orders[0].Start
				w.report(o.To.ID, nil, ended(1, o.Run, platform.EndDone))
				w.save()
				So(w.saved[j.ID].State, ShouldEqual, work.Completed)
				So(w.cycle(), ShouldBeEmpty)
			})
			Convey("when one fails the others are stopped, and all start again as the next run", func() {
				w.pass(time.Second)
				bad := orders[0].Start
				byExecutor := map[string][]platform.Run{}
				for _, o := range orders[1:] {
					byExecutor[o.Start.To.ID] = append(byExecutor[o.Start.To.ID], o.Start.Run)
				}
				w.report(bad.To.ID, running(byExecutor[bad.To.ID]...), ended(1, bad.Run, platform.EndFailed))
				So(w.cell.TakeStops(w.now), ShouldHaveLength, 3)
				So(w.cycle(), ShouldBeEmpty) // the others may still be at work
				for id, runs := range byExecutor {
					var rows []platform.EndedRun
					for i, r := range runs {
						rows = append(rows, platform.EndedRun{Number: uint64(i + 2), Run: r, Reason: platform.EndStopped})
					}
					w.report(id, nil, rows)
				}
				again := w.cycle()
				So(again, ShouldHaveLength, 4)
				So(again[0].Start.Run.Number, ShouldEqual, 2)
			})
			Convey("two members that fail in one run count as one failure", func() {
				w.pass(time.Second)
				for i, o := range orders {
					w.report(o.Start.To.ID, nil, ended(uint64(i+1), o.Start.Run, platform.EndFailed))
				}
				So(w.cycle(), ShouldHaveLength, 4)
			})
		})
		Convey("a gang of five doesn't start at all", func() {
			w.job(1, testQueue, gang(5))
			So(w.cycle(), ShouldBeEmpty)
			So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
		})
		Convey("of a gang of which one start is no longer right none is sent", func() {
			w.job(1, testQueue, gang(4))
			starts := w.cell.Plan(w.now)
			So(starts, ShouldHaveLength, 4)
			w.save()
			e := *w.listed["e0"]
			e.Draining = true
			w.listed["e0"] = &e
			w.cell.UpdateExecutors(w.listed, w.now)
			w.pass(DefaultConfig().DrainMargin + time.Millisecond)
			w.report("e1", nil, nil)
			So(w.cell.Confirm(starts, w.now), ShouldBeEmpty)
			So(w.cell.vms["e1"].used.MilliCPU, ShouldEqual, 0)
		})
	})
}

func TestDrainingExecutorGetsNothing(t *testing.T) {
	Convey("An executor that leaves is given no start", t, func() {
		w := newWorld(t, 1)
		w.listed["e0"].Draining = true
		w.cell.UpdateExecutors(w.listed, w.now)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second})
		So(w.cycle(), ShouldBeEmpty)
	})
}

func TestUnknownRunsAreStoppedAndHoldCapacity(t *testing.T) {
	Convey("Given a run of a job that ended under a former leader", t, func() {
		w := newWorld(t, 1)
		j := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(30), Estimate: time.Minute})
		orders := w.cycle()
		w.startAll(orders)
		w.cell.Cancel(j.ID)
		w.save()
		w.takeOver()
		w.report("e0", running(orders[0].Start.Run), nil)

		Convey("it is stopped, and nothing takes its room before its end is listed", func() {
			So(w.cell.TakeStops(w.now), ShouldHaveLength, 1)
			w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(10), Estimate: time.Second})
			So(w.cycle(), ShouldBeEmpty)
			w.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndStopped))
			So(w.cycle(), ShouldHaveLength, 1)
		})
	})
}
