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

const unconfiguredService = "other"

// registerLike registers an executor that has not reported, with the record of another one
// except for its ID and service.
func (env *testEnv) registerLike(id, template, service string) {
	e := *env.registry[template]
	e.Ref.ID = id
	e.Service = service
	env.registry[id] = &e
	env.cell.UpdateExecutors(env.registry, env.now)
}

// unregister removes an executor from the registry.
func (env *testEnv) unregister(id string) {
	delete(env.registry, id)
	env.cell.UpdateExecutors(env.registry, env.now)
}

// callableIDs returns the IDs of the executors that the cell says should be called.
func (env *testEnv) callableIDs() []string {
	var ids []string
	for ref := range env.cell.CallableExecutors() {
		ids = append(ids, ref.ID)
	}
	return ids
}

// holdContinues reports whether the executor should still be sent holds.
func (env *testEnv) holdContinues(id string) bool {
	_, callable := env.cell.NextHold(id, HoldTerms{Connected: true, Renew: true})
	return callable
}

// oneTaskStep returns a step of one task with this many processors.
func oneTaskStep(cpu int64) work.Step {
	return work.Step{TaskCount: 1, TaskResources: cpus(cpu), Estimate: time.Minute}
}

func TestExecutorsOfUnconfiguredServices(t *testing.T) {
	Convey("Given an executor of a service that is not configured", t, func() {
		env := newTestEnv(t, 1)
		env.registerLike("f", "e0", unconfiguredService)

		Convey("it isn't called", func() {
			So(env.callableIDs(), ShouldResemble, []string{"e0"})
			So(env.holdContinues("f"), ShouldBeFalse)
		})
		Convey("it isn't counted in the size of advice calls", func() {
			config := testQueueConfig()
			So(env.cell.FirstAdviceCall(config.QueueNamed(testAdvisedQueue)), ShouldResemble, config.QueueNamed(testAdvisedQueue).Advice.CallTime(1))
		})
		Convey("it is called once its service is configured", func() {
			config := testQueueConfig()
			config.Services[unconfiguredService] = queue.Service{Name: unconfiguredService}
			env.cell.Configure(config)
			So(env.callableIDs(), ShouldResemble, []string{"e0", "f"})
			So(env.holdContinues("f"), ShouldBeTrue)
		})
		Convey("it is called once a queue of its service is configured", func() {
			config := testQueueConfig()
			config.Queues = append(config.Queues, queue.Queue{Name: "q2", Service: unconfiguredService, MaxAttempts: 1})
			env.cell.Configure(config)
			So(env.callableIDs(), ShouldResemble, []string{"e0", "f"})
		})
		Convey("it is used once its record names a configured service", func() {
			env.registerLike("f", "e0", testService)
			So(env.callableIDs(), ShouldResemble, []string{"e0", "f"})
			env.report("f", nil, nil)
			env.submitJob(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: time.Minute})
			So(env.runCycle(), ShouldHaveLength, 2)
		})
		Convey("no executor is called without a configuration", func() {
			env.cell.Configure(&queue.Configuration{})
			So(env.callableIDs(), ShouldBeEmpty)
		})
	})
	Convey("An executor whose record changes to such a service is no longer counted", t, func() {
		env := newTestEnv(t, 2)
		env.registerLike("e1", "e1", unconfiguredService)
		So(env.cell.totalMilliCPU(env.now), ShouldEqual, 32000)
		So(env.callableIDs(), ShouldResemble, []string{"e0"})
	})
}

func TestUnregisteredExecutor(t *testing.T) {
	Convey("Given an executor with a run that is removed from the registry", t, func() {
		env := newTestEnv(t, 2)
		env.submitJob(1, testQueue, oneTaskStep(32))
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)
		runsOn := orders[0].Start.To.ID
		env.report(runsOn, running(orders[0].Start.Run), nil)
		e := *env.registry[runsOn]
		env.unregister(runsOn)

		Convey("it gets no new work, and its run keeps its lease and is not started elsewhere", func() {
			env.submitJob(2, testQueue, oneTaskStep(32))
			env.submitJob(3, testQueue, oneTaskStep(32))
			So(env.runCycle(), ShouldHaveLength, 1)
			So(env.holdContinues(runsOn), ShouldBeTrue)
			So(slices.Contains(env.callableIDs(), runsOn), ShouldBeTrue)
		})
		Convey("after the run has ended it is called until it is unresponsive, since orders may arrive late", func() {
			env.report(runsOn, nil, ended(1, orders[0].Start.Run, platform.EndDone))
			So(env.holdContinues(runsOn), ShouldBeTrue)
			env.advance(env.cell.cfg.MaxReportAge + env.cell.cfg.Lease)
			So(env.holdContinues(runsOn), ShouldBeTrue)
			env.report(runsOn, nil, nil)
			env.advance(2 * (env.cell.cfg.MaxReportAge + env.cell.cfg.Lease))
			env.cell.DropExpired(env.now)
			So(env.holdContinues(runsOn), ShouldBeFalse)
			So(slices.Contains(env.callableIDs(), runsOn), ShouldBeFalse)
		})
		Convey("an executor registered at its address ends its run only once it has answered there", func() {
			for _, service := range []string{testService, unconfiguredService} {
				other := e
				other.Ref.ID = "n"
				other.Service = service
				env.registry["n"] = &other
				env.cell.UpdateExecutors(env.registry, env.now)
				So(env.runCycle(), ShouldBeEmpty)
				So(env.cell.vms[runsOn], ShouldNotBeNil)
			}
			other := e
			other.Ref.ID = "n"
			env.registry["n"] = &other
			env.cell.UpdateExecutors(env.registry, env.now)
			env.advance(time.Millisecond)
			env.report("n", nil, nil)
			So(env.cell.vms[runsOn], ShouldBeNil)
			So(env.runCycle(), ShouldHaveLength, 1)
		})
		Convey("its run continues once it is registered again", func() {
			env.registry[runsOn] = &e
			env.cell.UpdateExecutors(env.registry, env.now)
			So(env.runCycle(), ShouldBeEmpty)
			So(env.holdContinues(runsOn), ShouldBeTrue)
		})
	})
	Convey("A former incarnation that is still registered at an address doesn't end the runs of the newer one", t, func() {
		env := newTestEnv(t, 1)
		env.advance(time.Second)
		env.registerLike("n", "e0", testService)
		env.report("n", nil, nil)
		env.fillExecutors(0, 1)
		env.submitJob(1, testQueue, oneTaskStep(4))
		env.confirmStarts(env.runCycle())
		So(env.cell.vms["n"].allocations, ShouldHaveLength, 1)
		env.unregister("n")
		So(env.cell.vms["n"].allocations, ShouldHaveLength, 1)
	})
	Convey("Of two records with one address only the executor that is refused there is removed", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, oneTaskStep(4))
		env.confirmStarts(env.runCycle())
		env.registerLike("n", "e0", testService)
		env.cell.HandleExecutorLoss(env.executorRef("n"), OtherIncarnation, env.now)
		So(env.runCycle(), ShouldBeEmpty)
		So(env.cell.vms["e0"].allocations, ShouldHaveLength, 1)
	})
}

func TestCorrectedExecutorRecord(t *testing.T) {
	Convey("An executor that was read as leaving gets work again once it has been ready for returnDelay", t, func() {
		env := newTestEnv(t, 1)
		leaving := *env.registry["e0"]
		leaving.Draining = true
		ready := env.registry["e0"]
		env.registry["e0"] = &leaving
		env.cell.UpdateExecutors(env.registry, env.now)
		env.advance(2 * DefaultConfig().DrainMargin)
		env.registry["e0"] = ready
		env.cell.UpdateExecutors(env.registry, env.now)
		env.report("e0", nil, nil)
		env.submitJob(1, testQueue, oneTaskStep(4))
		So(env.runCycle(), ShouldBeEmpty) // a late read of an old record would say the same
		env.advance(returnDelay)
		env.report("e0", nil, nil)
		So(env.runCycle(), ShouldHaveLength, 1)
	})
	Convey("A leaving executor gets no new work, even if an old record is read in between", t, func() {
		env := newTestEnv(t, 1)
		ready, leaving := env.registry["e0"], *env.registry["e0"]
		leaving.Draining = true
		for _, e := range []*fleet.Executor{&leaving, ready, &leaving} {
			env.registry["e0"] = e
			env.cell.UpdateExecutors(env.registry, env.now)
		}
		env.submitJob(1, testQueue, oneTaskStep(4))
		env.advance(returnDelay)
		env.report("e0", nil, nil)
		So(env.runCycle(), ShouldBeEmpty)
	})
	Convey("An executor that answers is called at the address where it answers, whatever its record says", t, func() {
		env := newTestEnv(t, 1)
		where := env.registry["e0"].Ref
		moved := *env.registry["e0"]
		moved.Ref.Address = "10.9.9.9:9"
		env.registry["e0"] = &moved
		env.cell.UpdateExecutors(env.registry, env.now)
		So(slices.Collect(env.cell.CallableExecutors()), ShouldResemble, []platform.ExecutorRef{where})
		env.submitJob(1, testQueue, oneTaskStep(4))
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		So(orders[0].Start.To, ShouldResemble, where)

		Convey("and at the recorded address once it is unresponsive and its lease has expired", func() {
			env.confirmStarts(orders)
			env.advance(2 * DefaultConfig().Lease)
			env.runCycle()
			So(slices.Collect(env.cell.CallableExecutors()), ShouldResemble, []platform.ExecutorRef{moved.Ref})
		})
	})
	Convey("An executor that has never answered is called at the address of its newest record", t, func() {
		env := newTestEnv(t, 1)
		env.registerLike("f", "e0", testService)
		right := *env.registry["f"]
		right.Ref.Address = "10.9.9.9:9"
		env.registry["f"] = &right
		env.cell.UpdateExecutors(env.registry, env.now)
		So(slices.Collect(env.cell.CallableExecutors())[1], ShouldResemble, right.Ref)
	})
}

// An executor that leaves the registry before it was ever called is forgotten: it would otherwise stay in the
// cell, since no lease of it can expire.
func TestUncalledExecutorIsForgottenWithItsRecord(t *testing.T) {
	env := newTestEnv(t, 2)
	env.registry["new"] = env.registry["e0"]
	env.cell.UpdateExecutors(env.registry, env.now)
	delete(env.registry, "new")
	delete(env.registry, "e1")
	env.cell.UpdateExecutors(env.registry, env.now)
	if env.cell.vms["new"] != nil {
		t.Error("an executor that was never called is kept after it has left the registry")
	}
	if env.cell.vms["e1"] == nil {
		t.Error("an executor that has reported is forgotten before its lease has expired")
	}
}
