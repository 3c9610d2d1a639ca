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
		env := newTestEnv(t, 1)
		for n := byte(1); n <= 2; n++ {
			env.submitJob(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		}
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 2)
		env.confirmStarts(orders)
		env.report("e0", nil, []platform.EndedRun{
			{Number: 1, Run: orders[0].Start.Run, Reason: platform.EndFailed},
			{Number: 2, Run: orders[1].Start.Run, Reason: platform.EndFailed},
		})
		cfg := DefaultConfig()

		Convey("it is avoided for MinAvoidTime", func() {
			So(env.runCycle(), ShouldBeEmpty)
			env.advance(cfg.MinAvoidTime - time.Millisecond)
			env.report("e0", nil, nil)
			So(env.runCycle(), ShouldBeEmpty)
		})
		Convey("after that it gets one task at a time until one ends as done", func() {
			env.advance(cfg.MinAvoidTime)
			env.report("e0", nil, nil)
			trial := env.runCycle()
			So(trial, ShouldHaveLength, 1)
			env.confirmStarts(trial)
			run := trial[0].Start.Run
			env.advance(time.Second)
			env.report("e0", nil, ended(3, run, platform.EndDone))
			So(env.cell.vms["e0"].onTrial(&cfg), ShouldBeFalse)
		})
		Convey("the tasks start on another executor at once", func() {
			env.addExecutor("e1")
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 2)
			So(orders[0].Start.To.ID, ShouldEqual, "e1")
		})
	})
	Convey("A task that failed goes to another executor", t, func() {
		env := newTestEnv(t, 2)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := env.runCycle()
		env.confirmStarts(orders)
		failedOn := orders[0].Start.To.ID
		env.report(failedOn, nil, ended(1, orders[0].Start.Run, platform.EndFailed))
		again := env.runCycle()
		So(again, ShouldHaveLength, 1)
		So(again[0].Start.To.ID, ShouldNotEqual, failedOn)
	})
}

// An executor on trial gets one task at a time, so a gang of two tasks can't start on it. If
// the trial didn't end without a task, the gang would wait forever.
func TestUnusedTrialEnds(t *testing.T) {
	env := newTestEnv(t, 1)
	var failed []platform.EndedRun
	for n := byte(1); n <= 2; n++ {
		env.submitJob(n, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
	}
	orders := env.runCycle()
	env.confirmStarts(orders)
	for i, o := range orders {
		failed = append(failed, platform.EndedRun{Number: uint64(i + 1), Run: o.Start.Run, Reason: platform.EndFailed})
	}
	env.report("e0", nil, failed)
	for n := byte(1); n <= 2; n++ {
		env.cell.Cancel(work.ID{n})
	}
	env.submitJob(3, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second, Gang: true})
	for range 40 {
		env.advance(500 * time.Millisecond)
		env.report("e0", nil, nil)
		if len(env.runCycle()) > 0 {
			return
		}
	}
	t.Error("a gang of two tasks never starts: the trial of the only executor doesn't end")
}
