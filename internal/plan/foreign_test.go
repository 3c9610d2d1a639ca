package plan

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

const foreignService = "other"

// list registers an executor that has not reported, with the record of another
// one but for its id and service.
func (w *world) list(id, like, service string) {
	e := *w.listed[like]
	e.Ref.ID = id
	e.Service = service
	w.listed[id] = &e
	w.cell.UpdateExecutors(w.listed, w.now)
}

// unlist takes an executor off the registry.
func (w *world) unlist(id string) {
	delete(w.listed, id)
	w.cell.UpdateExecutors(w.listed, w.now)
}

// called returns the ids of the executors that the cell wants called.
func (w *world) called() []string {
	var ids []string
	for _, ref := range w.cell.CallableExecutors() {
		ids = append(ids, ref.ID)
	}
	return ids
}

// held reports whether an executor's holds go on.
func (w *world) held(id string) bool {
	_, wanted := w.cell.NextHold(id, HoldTerms{Connected: true, Renew: true})
	return wanted
}

func oneTask(cpu int64) work.Step {
	return work.Step{TaskCount: 1, TaskResources: cpus(cpu), Estimate: time.Minute}
}

func TestExecutorsOfUnconfiguredServices(t *testing.T) {
	Convey("Given an executor of a service that no configuration names", t, func() {
		w := newWorld(t, 1)
		w.list("f", "e0", foreignService)

		Convey("it isn't called", func() {
			So(w.called(), ShouldResemble, []string{"e0"})
			So(w.held("f"), ShouldBeFalse)
		})
		Convey("it doesn't count among those that a call for advice names", func() {
			table := testTable()
			So(w.cell.FirstAdviceCall(table.QueueNamed(testAdvised)), ShouldResemble, table.QueueNamed(testAdvised).Advice.CallTime(1))
		})
		Convey("it is called once a configuration names its service", func() {
			table := testTable()
			table.Services[foreignService] = queue.Service{Name: foreignService}
			w.cell.Configure(table)
			So(w.called(), ShouldResemble, []string{"e0", "f"})
			So(w.held("f"), ShouldBeTrue)
		})
		Convey("or a queue of one", func() {
			table := testTable()
			table.Queues = append(table.Queues, queue.Queue{Name: "q2", Service: foreignService, MaxAttempts: 1})
			w.cell.Configure(table)
			So(w.called(), ShouldResemble, []string{"e0", "f"})
		})
		Convey("it is used once its record names a service that is configured", func() {
			w.list("f", "e0", testService)
			So(w.called(), ShouldResemble, []string{"e0", "f"})
			w.report("f", nil, nil)
			w.job(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: time.Minute})
			So(w.cycle(), ShouldHaveLength, 2)
		})
		Convey("without a configuration nothing is called", func() {
			w.cell.Configure(&queue.Configuration{})
			So(w.called(), ShouldBeEmpty)
		})
	})
	Convey("An executor whose record turns to such a service counts no more", t, func() {
		w := newWorld(t, 2)
		w.list("e1", "e1", foreignService)
		So(w.cell.totalMilliCPU(w.now), ShouldEqual, 32000)
		So(w.called(), ShouldResemble, []string{"e0"})
	})
}

func TestUnregisteredExecutor(t *testing.T) {
	Convey("Given an executor with a run that is taken off the registry", t, func() {
		w := newWorld(t, 2)
		w.job(1, testQueue, oneTask(32))
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		w.startAll(orders)
		at := orders[0].Start.To.ID
		w.report(at, running(orders[0].Start.Run), nil)
		e := *w.listed[at]
		w.unlist(at)

		Convey("it gets nothing more, and its run is held and not started elsewhere", func() {
			w.job(2, testQueue, oneTask(32))
			w.job(3, testQueue, oneTask(32))
			So(w.cycle(), ShouldHaveLength, 1)
			So(w.held(at), ShouldBeTrue)
			So(slices.Contains(w.called(), at), ShouldBeTrue)
		})
		Convey("once the run has ended it is called until it is silent, since orders come late", func() {
			w.report(at, nil, ended(1, orders[0].Start.Run, platform.EndDone))
			So(w.held(at), ShouldBeTrue)
			w.pass(w.cell.cfg.MaxReportAge + w.cell.cfg.Lease)
			So(w.held(at), ShouldBeTrue)
			w.report(at, nil, nil)
			w.pass(2 * (w.cell.cfg.MaxReportAge + w.cell.cfg.Lease))
			w.cell.DropExpired(w.now)
			So(w.held(at), ShouldBeFalse)
			So(slices.Contains(w.called(), at), ShouldBeFalse)
		})
		Convey("an executor that is listed at its address doesn't end its run before it answers there", func() {
			for _, service := range []string{testService, foreignService} {
				other := e
				other.Ref.ID = "n"
				other.Service = service
				w.listed["n"] = &other
				w.cell.UpdateExecutors(w.listed, w.now)
				So(w.cycle(), ShouldBeEmpty)
				So(w.cell.vms[at], ShouldNotBeNil)
			}
			other := e
			other.Ref.ID = "n"
			w.listed["n"] = &other
			w.cell.UpdateExecutors(w.listed, w.now)
			w.pass(time.Millisecond)
			w.report("n", nil, nil)
			So(w.cell.vms[at], ShouldBeNil)
			So(w.cycle(), ShouldHaveLength, 1)
		})
		Convey("listed again it goes on", func() {
			w.listed[at] = &e
			w.cell.UpdateExecutors(w.listed, w.now)
			So(w.cycle(), ShouldBeEmpty)
			So(w.held(at), ShouldBeTrue)
		})
	})
	Convey("A former life that is still listed at an address doesn't end the runs of the newer one", t, func() {
		w := newWorld(t, 1)
		w.pass(time.Second)
		w.list("n", "e0", testService)
		w.report("n", nil, nil)
		w.fill(0, 1)
		w.job(1, testQueue, oneTask(4))
		w.startAll(w.cycle())
		So(w.cell.vms["n"].allocations, ShouldHaveLength, 1)
		w.unlist("n")
		So(w.cell.vms["n"].allocations, ShouldHaveLength, 1)
	})
	Convey("Of two entries with one address the one that is refused there goes alone", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, oneTask(4))
		w.startAll(w.cycle())
		w.list("n", "e0", testService)
		w.cell.HandleExecutorLoss(w.ref("n"), OtherIncarnation, w.now)
		So(w.cycle(), ShouldBeEmpty)
		So(w.cell.vms["e0"].allocations, ShouldHaveLength, 1)
	})
}

func TestCorrectedExecutorRecord(t *testing.T) {
	Convey("An executor that was read as leaving and has been ready for a while gets work again", t, func() {
		w := newWorld(t, 1)
		leaving := *w.listed["e0"]
		leaving.Draining = true
		ready := w.listed["e0"]
		w.listed["e0"] = &leaving
		w.cell.UpdateExecutors(w.listed, w.now)
		w.pass(2 * DefaultConfig().DrainMargin)
		w.listed["e0"] = ready
		w.cell.UpdateExecutors(w.listed, w.now)
		w.report("e0", nil, nil)
		w.job(1, testQueue, oneTask(4))
		So(w.cycle(), ShouldBeEmpty) // an old record, read late, says the same
		w.pass(returnDelay)
		w.report("e0", nil, nil)
		So(w.cycle(), ShouldHaveLength, 1)
	})
	Convey("An executor that leaves gets nothing more, though an old record is read in between", t, func() {
		w := newWorld(t, 1)
		ready, leaving := w.listed["e0"], *w.listed["e0"]
		leaving.Draining = true
		for _, e := range []*fleet.Executor{&leaving, ready, &leaving} {
			w.listed["e0"] = e
			w.cell.UpdateExecutors(w.listed, w.now)
		}
		w.job(1, testQueue, oneTask(4))
		w.pass(returnDelay)
		w.report("e0", nil, nil)
		So(w.cycle(), ShouldBeEmpty)
	})
	Convey("An executor that answers is called where it answers, whatever address is written", t, func() {
		w := newWorld(t, 1)
		where := w.listed["e0"].Ref
		moved := *w.listed["e0"]
		moved.Ref.Address = "10.9.9.9:9"
		w.listed["e0"] = &moved
		w.cell.UpdateExecutors(w.listed, w.now)
		So(w.cell.CallableExecutors(), ShouldResemble, []platform.ExecutorRef{where})
		w.job(1, testQueue, oneTask(4))
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To, ShouldResemble, where)

		Convey("and at the address written once it is silent and its lease is over", func() {
			w.startAll(orders)
			w.pass(2 * DefaultConfig().Lease)
			w.cycle()
			So(w.cell.CallableExecutors(), ShouldResemble, []platform.ExecutorRef{moved.Ref})
		})
	})
	Convey("An executor that has never answered is called at its newest address", t, func() {
		w := newWorld(t, 1)
		w.list("f", "e0", testService)
		right := *w.listed["f"]
		right.Ref.Address = "10.9.9.9:9"
		w.listed["f"] = &right
		w.cell.UpdateExecutors(w.listed, w.now)
		So(w.cell.CallableExecutors()[1], ShouldResemble, right.Ref)
	})
}
