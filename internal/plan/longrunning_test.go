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
		w := newWorld(t, 3)
		j := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, LongRunning: true})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)

		Convey("it starts again after each failure, beyond the queue's attempts", func() {
			for n := uint64(1); n <= 5; n++ {
				So(orders, ShouldHaveLength, 1)
				w.startAll(orders)
				w.pass(500 * time.Millisecond)
				o := orders[0].Start
				for _, id := range []string{"e0", "e1", "e2"} {
					if id != o.To.ID {
						w.report(id, nil, nil)
					}
				}
				w.report(o.To.ID, nil, ended(n, o.Run, platform.EndFailed))
				orders = w.cycle()
			}
			w.save()
			So(w.saved[j.ID].State, ShouldEqual, work.Running)
		})
		Convey("its job is never too late for a start", func() {
			w.startAll(orders)
			w.pass(500 * time.Millisecond)
			So(w.cell.rankOf(w.cell.jobs[j.ID].activeOccurrences[0].steps[0], w.now.Add(time.Hour)).lateness, ShouldEqual, inTime)
		})
		Convey("a cancel ends it", func() {
			w.startAll(orders)
			w.cell.Cancel(j.ID)
			w.save()
			So(w.saved[j.ID].State, ShouldEqual, work.Cancelled)
			So(w.cell.TakeStops(w.now), ShouldHaveLength, 1)
		})
	})
}
