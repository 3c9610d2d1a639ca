package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestAdmission(t *testing.T) {
	Convey("Given a full executor and ten seconds of waiting work", t, func() {
		env := newTestEnv(t, 1)
		blocker := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: time.Minute})
		So(env.runCycle(), ShouldHaveLength, 1)
		env.submitJob(2, testQueue, work.Step{TaskCount: 10, TaskResources: cpus(32), Estimate: time.Second})
		env.runCycle()
		q := env.cell.queueConfig.QueueNamed(testQueue)
		backlog := env.cell.Backlog(env.now)
		So(backlog.ProcessingTime(), ShouldEqual, 10*time.Second)

		Convey("a job with a tighter objective starts before that work", func() {
			urgent := &work.Job{Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: 100 * time.Millisecond}}}
			So(backlog.AheadOf(urgent, q, env.now).ProcessingTime(), ShouldEqual, 0)
		})
		Convey("a job with the same objective starts after that work", func() {
			So(backlog.AheadOf(blocker, q, env.now).ProcessingTime(), ShouldEqual, 10*time.Second)
		})
	})
	Convey("A job may wait as long as it can end within three times its objective, at most 8 s", t, func() {
		config := testQueueConfig()
		short := &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: 500 * time.Millisecond}}}
		So(MaxUsefulWait(short, config.QueueNamed(testQueue)), ShouldEqual, 5500*time.Millisecond)
		long := &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: 10 * time.Second}}}
		So(MaxUsefulWait(long, config.QueueNamed(testQueue)), ShouldEqual, admission.BacklogThreshold)
	})
	Convey("Withdrawing a job that could not be made durable releases everything", t, func() {
		env := newTestEnv(t, 1)
		j := env.submitUnconfirmed(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second})
		So(env.cell.Plan(env.now), ShouldHaveLength, 2)
		So(env.cell.Withdraw(j.ID), ShouldBeTrue)
		So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
		So(env.cell.TakeDirtyRecords(), ShouldBeEmpty)
		So(env.cell.Knows(j.ID), ShouldBeFalse)
	})
}

func TestStartOrder(t *testing.T) {
	Convey("Short work with a tight objective starts before long work that can wait", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: 10 * time.Second})
		short := env.submitJob(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: 100 * time.Millisecond})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.Run.Task.Job, ShouldEqual, short.ID)
	})
	Convey("A step starts when all steps that it depends on have ended", t, func() {
		env := newTestEnv(t, 1)
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{
			{TaskCount: 2, TaskResources: cpus(1), Estimate: time.Second},
			{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DependsOn: []int{0}},
		}}
		env.submit(j)
		first := env.runCycle()
		So(first, ShouldHaveLength, 2)
		env.confirmStarts(first)
		env.report("e0", running(first[1].Start.Run), ended(1, first[0].Start.Run, platform.EndDone))
		So(env.runCycle(), ShouldBeEmpty)
		env.report("e0", nil, ended(2, first[1].Start.Run, platform.EndDone))
		second := env.runCycle()
		So(second, ShouldHaveLength, 1)
		So(second[0].Start.Run.Task.Step, ShouldEqual, 1)
	})
	Convey("Occurrences start when they are due, and the job ends with the last one", t, func() {
		env := newTestEnv(t, 1)
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(),
			FirstRunMs: env.now.Add(time.Second).UnixMilli(), Interval: 2 * time.Second, Repetitions: 2,
			Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: 100 * time.Millisecond}}}
		env.submit(j)
		So(env.runCycle(), ShouldBeEmpty)
		for k := range 2 {
			env.advance(time.Second)
			env.report("e0", nil, nil)
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Task.Occurrence, ShouldEqual, k)
			env.confirmStarts(orders)
			env.advance(time.Second)
			env.report("e0", nil, ended(uint64(k+1), orders[0].Start.Run, platform.EndDone))
			env.saveRecords()
		}
		So(env.savedProgress[j.ID].State, ShouldEqual, work.Completed)
	})
	Convey("The limit of tasks on one executor, the label and the data's rack are respected", t, func() {
		env := newTestEnv(t, 3)
		env.registry["e2"].Labels = []string{"b", "rack-e2"}
		env.cell.UpdateExecutors(env.registry, env.now)
		env.submitJob(1, testQueue, work.Step{TaskCount: 5, TaskResources: cpus(1), Estimate: time.Second, MaxPerVM: 1})
		So(env.runCycle(), ShouldHaveLength, 3)
		env.submitJob(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, RequiredLabel: "b"})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To.ID, ShouldEqual, "e2")
		env.submitJob(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DataRack: "rack-e1"})
		orders = env.runCycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To.ID, ShouldEqual, "e1")
	})
	Convey("Free capacity is reserved for a gang, except from short work", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: 3 * time.Second})
		env.confirmStarts(env.runCycle())
		env.submitJob(2, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: 5 * time.Second, Gang: true})
		env.advance(time.Millisecond)
		env.submitJob(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: 9 * time.Second})
		So(env.runCycle(), ShouldBeEmpty)
		env.submitJob(4, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: 500 * time.Millisecond})
		So(env.runCycle(), ShouldHaveLength, 1)
	})
}

// A new leader must not refuse jobs because few executors have reported to it so far. One
// refused 149 jobs in its first second, 104 of them with almost no work ahead of them:
// counted on those of the 48 executors that had reported, the backlog seemed to need 51 s
// of processing time. Within the second that fell to 8 s.
func TestNewLeaderCountsUnreportedExecutors(t *testing.T) {
	Convey("Given four executors and four seconds of work inherited from a former leader", t, func() {
		env := newTestEnv(t, 4)
		env.submitJob(1, testQueue, work.Step{TaskCount: 16, TaskResources: cpus(32), Estimate: time.Second})
		env.takeOver()
		env.report("e0", nil, nil)

		Convey("a new leader with a report of one executor counts all four at first", func() {
			So(env.cell.Backlog(env.now).ProcessingTime(), ShouldEqual, 4*time.Second)
		})
		Convey("after takeoverReportWait it counts only the executors that have reported", func() {
			env.advance(takeoverReportWait + time.Millisecond)
			So(env.cell.Backlog(env.now).ProcessingTime(), ShouldEqual, 16*time.Second)
		})
	})
}
