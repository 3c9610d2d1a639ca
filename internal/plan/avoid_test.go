package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestFailingExecutorIsAvoided(t *testing.T) {
	Convey("Given an executor on which tasks of two jobs failed in a row", t, func() {
		w := newWorld(t, 1)
		for n := byte(1); n <= 2; n++ {
			w.job(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		}
		orders := w.cycle()
		So(orders, ShouldHaveLength, 2)
		w.startAll(orders)
		w.report("e0", nil, []platform.EndedRun{
			{Number: 1, Run: orders[0].Start.Run, Reason: platform.EndFailed},
			{Number: 2, Run: orders[1].Start.Run, Reason: platform.EndFailed},
		})
		cfg := DefaultConfig()

		Convey("it is avoided for a while", func() {
			So(w.cycle(), ShouldBeEmpty)
			w.pass(cfg.MinAvoidTime - time.Millisecond)
			w.report("e0", nil, nil)
			So(w.cycle(), ShouldBeEmpty)
		})
		Convey("then it gets one task at a time until one ends as done", func() {
			w.pass(cfg.MinAvoidTime)
			w.report("e0", nil, nil)
			trial := w.cycle()
			So(trial, ShouldHaveLength, 1)
			w.startAll(trial)
			run := trial[0].Start.Run
			w.pass(time.Second)
			w.report("e0", nil, ended(3, run, platform.EndDone))
			So(w.cell.vms["e0"].onTrial(&cfg), ShouldBeFalse)
		})
		Convey("another executor takes the tasks at once", func() {
			w.addExecutor("e1")
			orders := w.cycle()
			So(orders, ShouldHaveLength, 2)
			So(orders[0].Start.To.ID, ShouldEqual, "e1")
		})
	})
	Convey("A task that failed goes to another executor", t, func() {
		w := newWorld(t, 2)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := w.cycle()
		w.startAll(orders)
		at := orders[0].Start.To.ID
		w.report(at, nil, ended(1, orders[0].Start.Run, platform.EndFailed))
		again := w.cycle()
		So(again, ShouldHaveLength, 1)
		So(again[0].Start.To.ID, ShouldNotEqual, at)
	})
}

func TestUnusedTrialEnds(t *testing.T) {
	w := newWorld(t, 1)
	var failed []platform.EndedRun
	for n := byte(1); n <= 2; n++ {
		w.job(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	}
	orders := w.cycle()
	w.startAll(orders)
	for i, o := range orders {
		failed = append(failed, platform.EndedRun{Number: uint64(i + 1), Run: o.Start.Run, Reason: platform.EndFailed})
	}
	w.report("e0", nil, failed)
	for n := byte(1); n <= 2; n++ {
		w.cell.Cancel(work.ID{n})
	}
	w.job(3, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second, Gang: true})
	for range 40 {
		w.pass(500 * time.Millisecond)
		w.report("e0", nil, nil)
		if len(w.cycle()) > 0 {
			return
		}
	}
	t.Error("a gang of two tasks waits for an executor that gets one task at a time, and nobody else")
}
