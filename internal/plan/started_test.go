package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/work"
)

func TestJobIsPendingUntilRunIsConfirmed(t *testing.T) {
	Convey("Given a job whose start has been sent", t, func() {
		env := newTestEnv(t, 1)
		j := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Minute})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		state := func() work.State {
			env.cell.RecordRunning(env.now)
			env.saveRecords()
			return env.savedProgress[j.ID].State
		}

		Convey("it stays queued while the executor gives no answer", func() {
			env.advance(3 * time.Second)
			So(state(), ShouldEqual, work.Queued)
			Convey("and under the next leader until the run is listed", func() {
				env.takeOver()
				So(state(), ShouldEqual, work.Queued)
				env.report("e0", running(orders[0].Start.Run), nil)
				env.advance(runningRecordDelay)
				So(state(), ShouldEqual, work.Running)
			})
		})
		Convey("it is recorded as running runningRecordDelay after the start was confirmed", func() {
			env.confirmStarts(orders)
			So(state(), ShouldEqual, work.Queued)
			env.advance(runningRecordDelay)
			So(state(), ShouldEqual, work.Running)
		})
		Convey("it is not recorded as running twice", func() {
			env.confirmStarts(orders)
			env.advance(runningRecordDelay)
			So(state(), ShouldEqual, work.Running)
			env.advance(runningRecordDelay)
			env.cell.RecordRunning(env.now)
			So(env.cell.TakeDirtyRecords(), ShouldBeEmpty)
		})
	})
}
