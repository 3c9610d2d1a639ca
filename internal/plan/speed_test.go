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
		env := newTestEnv(t, 2)
		for n := byte(1); n <= 2; n++ {
			env.submitJob(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: time.Second})
		}
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 2)
		env.confirmStarts(orders)
		slow, fast := orders[0].Start, orders[1].Start
		env.advance(time.Second)
		env.report(fast.To.ID, nil, ended(1, fast.Run, platform.EndDone))

		Convey("the far slower one gets no new work while the other one has free capacity", func() {
			env.advance(2 * time.Second)
			env.report(slow.To.ID, running(slow.Run), nil)
			env.report(fast.To.ID, nil, nil)
			env.submitJob(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(10), Estimate: time.Second})
			next := env.runCycle()
			So(next, ShouldHaveLength, 1)
			So(next[0].Start.To.ID, ShouldEqual, fast.To.ID)
		})
		Convey("it counts as slow until slownessDuration after the latest sign", func() {
			env.advance(2 * time.Second)
			env.report(slow.To.ID, nil, ended(1, slow.Run, platform.EndDone))
			v := env.cell.vms[slow.To.ID]
			So(v.slowdown(env.now), ShouldBeGreaterThanOrEqualTo, minSlowRatio)
			So(v.slowdown(env.now.Add(slownessDuration+time.Second)), ShouldEqual, 1)
		})
	})
}
