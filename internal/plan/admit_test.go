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
	Convey("Given an executor that is full and ten seconds of work that waits", t, func() {
		w := newWorld(t, 1)
		blocker := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: time.Minute})
		So(w.cycle(), ShouldHaveLength, 1)
		w.job(2, testQueue, work.Step{TaskCount: 10, TaskResources: cpus(32), Estimate: time.Second})
		w.cycle()
		q := w.cell.queueTable.QueueNamed(testQueue)
		backlog := w.cell.Backlog(w.now)
		So(backlog.ProcessingTime(), ShouldEqual, 10*time.Second)

		Convey("a job with a tighter objective comes before it", func() {
			urgent := &work.Job{Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: 100 * time.Millisecond}}}
			So(backlog.AheadOf(urgent, q, w.now).ProcessingTime(), ShouldEqual, 0)
		})
		Convey("a job with as much time comes after it", func() {
			So(backlog.AheadOf(blocker, q, w.now).ProcessingTime(), ShouldEqual, 10*time.Second)
		})
	})
	Convey("A job may wait until its end would be three times too late, at most 8 s", t, func() {
		table := testTable()
		short := &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: 500 * time.Millisecond}}}
		So(MaxUsefulWait(short, table.QueueNamed(testQueue)), ShouldEqual, 5500*time.Millisecond)
		long := &work.Job{Steps: []work.Step{{TaskCount: 1, Estimate: 10 * time.Second}}}
		So(MaxUsefulWait(long, table.QueueNamed(testQueue)), ShouldEqual, admission.BacklogThreshold)
	})
	Convey("A job that could not be made durable leaves nothing behind", t, func() {
		w := newWorld(t, 1)
		j := w.job(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Second})
		So(w.cell.Plan(w.now), ShouldHaveLength, 2)
		w.cell.Withdraw(j.ID)
		So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
		So(w.cell.TakeDirtyRecords(), ShouldBeEmpty)
		So(w.cell.Knows(j.ID), ShouldBeFalse)
	})
}

func TestStartOrder(t *testing.T) {
	Convey("Short work with a tight objective starts before long work that can wait", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: 10 * time.Second})
		short := w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: 100 * time.Millisecond})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.Run.Task.Job, ShouldEqual, short.ID)
	})
	Convey("Steps start when all that they wait for has ended", t, func() {
		w := newWorld(t, 1)
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: w.now.UnixMilli(), Steps: []work.Step{
			{TaskCount: 2, TaskResources: cpus(1), Estimate: time.Second},
			{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DependsOn: []int{0}},
		}}
		w.add(j)
		first := w.cycle()
		So(first, ShouldHaveLength, 2)
		w.startAll(first)
		w.report("e0", running(first[1].Start.Run), ended(1, first[0].Start.Run, platform.EndDone))
		So(w.cycle(), ShouldBeEmpty)
		w.report("e0", nil, ended(2, first[1].Start.Run, platform.EndDone))
		second := w.cycle()
		So(second, ShouldHaveLength, 1)
		So(second[0].Start.Run.Task.Step, ShouldEqual, 1)
	})
	Convey("Occurrences start when they are due, and the job ends with the last", t, func() {
		w := newWorld(t, 1)
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: w.now.UnixMilli(),
			FirstRunMs: w.now.Add(time.Second).UnixMilli(), Interval: 2 * time.Second, Repetitions: 2,
			Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: 100 * time.Millisecond}}}
		w.add(j)
		So(w.cycle(), ShouldBeEmpty)
		for k := range 2 {
			w.pass(time.Second)
			w.report("e0", nil, nil)
			orders := w.cycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Task.Occurrence, ShouldEqual, k)
			w.startAll(orders)
			w.pass(time.Second)
			w.report("e0", nil, ended(uint64(k+1), orders[0].Start.Run, platform.EndDone))
			w.save()
		}
		So(w.saved[j.ID].State, ShouldEqual, work.Completed)
	})
	Convey("A tasks limit on one executor, a label and the data's rack are kept", t, func() {
		w := newWorld(t, 3)
		w.listed["e2"].Labels = []string{"b", "rack-e2"}
		w.cell.UpdateExecutors(w.listed, w.now)
		w.job(1, testQueue, work.Step{TaskCount: 5, TaskResources: cpus(1), Estimate: time.Second, MaxPerVM: 1})
		So(w.cycle(), ShouldHaveLength, 3)
		w.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, RequiredLabel: "b"})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To.ID, ShouldEqual, "e2")
		w.job(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DataRack: "rack-e1"})
		orders = w.cycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To.ID, ShouldEqual, "e1")
	})
	Convey("Room that is free is held for a gang, but for short work", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: 3 * time.Second})
		w.startAll(w.cycle())
		w.job(2, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: 5 * time.Second, Gang: true})
		w.pass(time.Millisecond)
		w.job(3, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: 9 * time.Second})
		So(w.cycle(), ShouldBeEmpty)
		w.job(4, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: 500 * time.Millisecond})
		So(w.cycle(), ShouldHaveLength, 1)
	})
}

// A new leader refused 149 jobs in its first second, of which 104 had next to nothing
// before them: by the executors that had reported until then, of 48, what waited came
// to 51 s of room and fell to 8 within the second.
func TestNewLeaderCountsUnreportedExecutors(t *testing.T) {
	Convey("Given four executors and four seconds of work of a former leader", t, func() {
		w := newWorld(t, 4)
		w.job(1, testQueue, work.Step{TaskCount: 16, TaskResources: cpus(32), Estimate: time.Second})
		w.takeOver()
		w.report("e0", nil, nil)

		Convey("a new leader that has heard of one counts on all at first", func() {
			So(w.cell.Backlog(w.now).ProcessingTime(), ShouldEqual, 4*time.Second)
		})
		Convey("and after a while on those that it has heard of", func() {
			w.pass(takeoverReportWait + time.Millisecond)
			So(w.cell.Backlog(w.now).ProcessingTime(), ShouldEqual, 16*time.Second)
		})
	})
}
