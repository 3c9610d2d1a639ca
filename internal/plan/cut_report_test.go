package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Parameters of the plays in which more runs end than a report lists.
const (
	cutEndsPerReport = 3
	cutTasks         = 60
	cutRunTime       = 2 * time.Second
	cutStoreDowntime = 4 * time.Second
	// cutCatchUpTime is the time within which all ends have to be applied after an outage of the store.
	cutCatchUpTime = 2 * time.Second
)

// newCutReportSimulation returns a simulation of two executors that list few ends at a time. All tasks run
// for cutRunTime.
func newCutReportSimulation(t *testing.T) *crashSimulation {
	sim := newCrashSimulation(t, 2, func(work.TaskKey) behaviour { return behaviour{runTime: cutRunTime} })
	for _, e := range sim.executors {
		e.endsPerReport = cutEndsPerReport
	}
	return sim
}

// countRestartedTasks returns how many tasks were started more than once.
func (sim *crashSimulation) countRestartedTasks() int {
	n := 0
	for _, starts := range sim.startTimes {
		if len(starts) > 1 {
			n++
		}
	}
	return n
}

// Runs that have ended as done were started again while an executor listed only part of its ends, which it
// does for as long as the store is down and nothing is acknowledged.
func TestRunIsNotRestartedWhileItsEndIsUnlisted(t *testing.T) {
	Convey("Given executors on which more runs end than a report lists, while the store is down", t, func() {
		sim := newCutReportSimulation(t)
		step := work.Step{TaskCount: cutTasks, TaskResources: cpus(1), Estimate: cutRunTime}
		next := work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: cutRunTime, DependsOn: []int{0}}
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: sim.now.UnixMilli(), Steps: []work.Step{step, next}}
		sim.submit(j)
		sim.runFor(cutRunTime / 2)
		sim.failStoreFor(cutStoreDowntime)

		Convey("no task starts again, and the next step starts soon after the store is back", func() {
			sim.runFor(cutStoreDowntime + cutCatchUpTime)
			So(sim.countRestartedTasks(), ShouldEqual, 0)
			So(sim.startTimes, ShouldContainKey, work.TaskKey{StepKey: work.StepKey{Job: j.ID, Step: 1}})
		})
		Convey("no task starts again under a leader that takes over meanwhile", func() {
			sim.runFor(cutRunTime)
			sim.replaceLeaderAfter(300 * time.Millisecond)
			sim.runFor(cutStoreDowntime + cutCatchUpTime)
			So(sim.countRestartedTasks(), ShouldEqual, 0)
			So(sim.startTimes, ShouldContainKey, work.TaskKey{StepKey: work.StepKey{Job: j.ID, Step: 1}})
		})
		Convey("no task starts again after its job was cancelled, and the capacity is free afterwards", func() {
			sim.runFor(cutRunTime / 4)
			sim.cancelJob(j.ID)
			sim.runFor(cutStoreDowntime + cutCatchUpTime)
			So(sim.countRestartedTasks(), ShouldEqual, 0)
			for _, v := range sim.cell.vms {
				So(v.used.MilliCPU, ShouldEqual, 0)
			}
		})
	})
}

// Each state in which a run may exist is settled only by a report that lists all ends of its time.
func TestUnlistedRunIsSettledByCompleteList(t *testing.T) {
	Convey("Given two runs of a job, an end of the one is listed and the other is absent", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 2)
		first, second := orders[0].Start, orders[1].Start
		env.cell.HandleStartAnswer(first, nil, env.now)
		start := func(answer error) { env.cell.HandleStartAnswer(second, answer, env.now) }
		list := ended(1, first.Run, platform.EndDone)
		acknowledge := func(ends []platform.EndedRun) {
			h, _ := env.cell.NextHold("e0", HoldTerms{Connected: true})
			So(h.Order.Acknowledged, ShouldEqual, 1)
			So(h.Order.MaxWait, ShouldEqual, 0)
			env.advance(time.Millisecond)
			env.cell.HandleReport(h, platform.ExecutorReport{Clock: env.executorClock, Ended: ends}, env.now, env.now)
		}
		outcomes := func() {
			env.advance(env.cell.cfg.StartValidity + time.Second)
			env.report("e0", nil, list)
			env.advance(time.Millisecond)
			env.report("e0", nil, list)
			So(env.runCycle(), ShouldBeEmpty)
			h, _ := env.cell.NextHold("e0", HoldTerms{Connected: true})
			env.cell.MarkEndsDurable(h, 1)

			Convey("an empty list proves that it is over without an end", func() {
				acknowledge(nil)
				again := env.runCycle()
				So(again, ShouldHaveLength, 1)
				So(again[0].Start.Run, ShouldResemble, platform.Run{Task: second.Run.Task, Number: 2})
			})
			Convey("a further page may list its end", func() {
				acknowledge([]platform.EndedRun{{Number: 2, Run: second.Run, Reason: platform.EndDone}})
				So(env.runCycle(), ShouldBeEmpty)
				So(env.savedProgress[work.ID{1}].State, ShouldEqual, work.Completed)
			})
		}
		Convey("when its start was confirmed", func() {
			start(nil)
			outcomes()
		})
		Convey("when its start got no answer", func() {
			start(platform.ErrNoAnswer)
			outcomes()
		})
		Convey("when its start got no answer and its stop was accepted", func() {
			start(platform.ErrNoAnswer)
			for _, s := range env.cell.TakeStops(env.now) {
				env.cell.HandleStopAnswer(s, nil, env.now)
			}
			outcomes()
		})
	})
}

// On an executor whose list of ends is never empty, the end of a run that was still at work proves that all
// earlier ends were listed.
func TestLaterEndSettlesUnlistedRun(t *testing.T) {
	Convey("Given an absent run on an executor on which other runs keep ending", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 4, TaskResources: cpus(4), Estimate: time.Second})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 4)
		env.confirmStarts(orders)
		runs := make([]platform.Run, len(orders))
		for i, o := range orders {
			runs[i] = o.Start.Run
		}
		env.advance(time.Second)
		env.report("e0", running(runs[1], runs[2]), ended(1, runs[0], platform.EndDone))
		So(env.runCycle(), ShouldBeEmpty)

		Convey("the end of a run that was listed beside it as running settles it", func() {
			env.advance(time.Second)
			env.report("e0", running(runs[2]), []platform.EndedRun{{Number: 2, Run: runs[1], Reason: platform.EndDone}})
			again := env.runCycle()
			So(again, ShouldHaveLength, 1)
			So(again[0].Start.Run, ShouldResemble, platform.Run{Task: runs[3].Task, Number: 2})
		})
		Convey("the end of a run that was ordered later settles it, also if that run was never listed as running", func() {
			env.submitJob(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 1)
			env.confirmStarts(orders)
			env.advance(time.Second)
			env.report("e0", running(runs[1], runs[2]), []platform.EndedRun{{Number: 2, Run: orders[0].Start.Run, Reason: platform.EndDone}})
			So(env.runCycle(), ShouldHaveLength, 1)
		})
	})
}
