package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestLongRunningTaskIsRestarted(t *testing.T) {
	Convey("Given a task that runs until its job is cancelled", t, func() {
		env := newTestEnv(t, 3)
		j := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, LongRunning: true})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)

		Convey("it starts again after each failure, beyond the queue's attempts", func() {
			for n := uint64(1); n <= 5; n++ {
				So(orders, ShouldHaveLength, 1)
				env.confirmStarts(orders)
				env.advance(500 * time.Millisecond)
				o := orders[0].Start
				for _, id := range []string{"e0", "e1", "e2"} {
					if id != o.To.ID {
						env.report(id, nil, nil)
					}
				}
				env.report(o.To.ID, nil, ended(n, o.Run, platform.EndFailed))
				orders = env.runCycle()
			}
			env.saveRecords()
			So(env.savedProgress[j.ID].State, ShouldEqual, work.Running)
		})
		Convey("its job is always in time", func() {
			env.confirmStarts(orders)
			env.advance(500 * time.Millisecond)
			So(env.cell.rankOf(env.cell.jobs[j.ID].activeOccurrences[0].steps[0], env.now.Add(time.Hour)).Lateness, ShouldEqual, inTime)
		})
		Convey("a cancellation stops it", func() {
			env.confirmStarts(orders)
			env.cell.Cancel(j.ID)
			env.saveRecords()
			So(env.savedProgress[j.ID].State, ShouldEqual, work.Cancelled)
			So(env.cell.TakeStops(env.now), ShouldHaveLength, 1)
		})
	})
}
