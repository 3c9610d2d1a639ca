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
		w := newWorld(t, 1)
		j := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		w.startAll(orders)
		run := orders[0].Start.Run
		So(run.Number, ShouldEqual, 1)
		w.pass(time.Second)

		Convey("its done end completes the job, durably", func() {
			w.report("e0", nil, ended(1, run, platform.EndDone))
			w.save()
			So(w.saved[j.ID].State, ShouldEqual, work.Completed)
			So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)

			Convey("and the job is not run again when its stored submission is read once more", func() {
				w.cell.AddJob(j, nil, w.now.UnixMilli(), w.now)
				So(w.cycle(), ShouldBeEmpty)
			})
		})
		Convey("a failed end starts it again as the next run, up to the queue's attempts", func() {
			w.report("e0", nil, ended(1, run, platform.EndFailed))
			orders = w.cycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
			w.startAll(orders)
			w.pass(time.Second)
			w.report("e0", nil, ended(2, orders[0].Start.Run, platform.EndFailed))
			So(w.cycle(), ShouldBeEmpty)
			So(w.saved[j.ID].State, ShouldEqual, work.Failed)
		})
		Convey("an end that is listed again changes nothing", func() {
			w.report("e0", nil, ended(1, run, platform.EndStopped))
			So(w.cycle(), ShouldHaveLength, 1)
			w.report("e0", nil, ended(1, run, platform.EndStopped))
			So(w.cycle(), ShouldBeEmpty)
		})
		Convey("a cancel stops it and keeps its room until the end is listed", func() {
			w.cell.Cancel(j.ID)
			So(w.cell.TakeStops(w.now), ShouldHaveLength, 1)
			So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 4000)
			w.report("e0", nil, ended(1, run, platform.EndStopped))
			So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
			So(w.cycle(), ShouldBeEmpty)
		})
	})
}
