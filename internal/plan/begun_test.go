package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/work"
)

func TestJobIsPendingUntilRunIsConfirmed(t *testing.T) {
	Convey("Given a job whose start has been sent", t, func() {
		w := newWorld(t, 1)
		j := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Minute})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		state := func() work.State {
			w.cell.RecordRunning(w.now)
			w.save()
			return w.saved[j.ID].State
		}

		Convey("it is queued as long as the executor gives no answer", func() {
			w.pass(3 * time.Second)
			So(state(), ShouldEqual, work.Queued)
			Convey("also for the next leader, until the run is listed", func() {
				w.takeOver()
				So(state(), ShouldEqual, work.Queued)
				w.report("e0", running(orders[0].Start.Run), nil)
				w.pass(runningRecordDelay)
				So(state(), ShouldEqual, work.Running)
			})
		})
		Convey("it is recorded as running a while after the start was confirmed", func() {
			w.startAll(orders)
			So(state(), ShouldEqual, work.Queued)
			w.pass(runningRecordDelay)
			So(state(), ShouldEqual, work.Running)
		})
		Convey("it is not recorded again once that is known", func() {
			w.startAll(orders)
			w.pass(runningRecordDelay)
			So(state(), ShouldEqual, work.Running)
			w.pass(runningRecordDelay)
			w.cell.RecordRunning(w.now)
			So(w.cell.TakeDirtyRecords(), ShouldBeEmpty)
		})
	})
}
