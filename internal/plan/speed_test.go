package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestSlowExecutor(t *testing.T) {
	Convey("Given two executors with a task each", t, func() {
		w := newWorld(t, 2)
		for n := byte(1); n <= 2; n++ {
			w.job(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: time.Second})
		}
		orders := w.cycle()
		So(orders, ShouldHaveLength, 2)
		w.startAll(orders)
		slow, fast := orders[0].Start, orders[1].Start
		w.pass(time.Second)
		w.report(fast.To.ID, nil, ended(1, fast.Run, platform.EndDone))

		Convey("one that takes far longer than the other gets no more work while the other has room", func() {
			w.pass(2 * time.Second)
			w.report(slow.To.ID, running(slow.Run), nil)
			w.report(fast.To.ID, nil, nil)
			w.job(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(10), Estimate: time.Second})
			next := w.cycle()
			So(next, ShouldHaveLength, 1)
			So(next[0].Start.To.ID, ShouldEqual, fast.To.ID)
		})
		Convey("it is tried again some time after the last sign of that", func() {
			w.pass(2 * time.Second)
			w.report(slow.To.ID, nil, ended(1, slow.Run, platform.EndDone))
			v := w.cell.vms[slow.To.ID]
			So(v.slowdown(w.now), ShouldBeGreaterThanOrEqualTo, minSlowRatio)
			So(v.slowdown(w.now.Add(slownessDuration+time.Second)), ShouldEqual, 1)
		})
	})
}
