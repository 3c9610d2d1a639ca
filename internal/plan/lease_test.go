package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestLeases(t *testing.T) {
	Convey("Given a task on an executor that becomes unresponsive", t, func() {
		env := newTestEnv(t, 2)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: 20 * time.Second})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)
		unresponsive := orders[0].Start.To.ID
		other := map[string]string{"e0": "e1", "e1": "e0"}[unresponsive]
		env.report(unresponsive, running(orders[0].Start.Run), nil)

		// callWithoutAnswer advances the clock by d while the unresponsive executor is called
		// every 200 ms. It returns early with the first orders.
		callWithoutAnswer := func(d time.Duration) []ConfirmedStart {
			for end := env.now.Add(d); env.now.Before(end); env.advance(200 * time.Millisecond) {
				env.cell.NextHold(unresponsive, HoldTerms{Connected: true, Renew: true})
				env.report(other, nil, nil)
				if orders := env.runCycle(); len(orders) > 0 {
					return orders
				}
			}
			return nil
		}
		Convey("the task doesn't start elsewhere before the lease has certainly expired", func() {
			So(callWithoutAnswer(DefaultConfig().Lease), ShouldBeEmpty)
		})
		Convey("it starts elsewhere after that, however often the executor was called", func() {
			orders := callWithoutAnswer(DefaultConfig().Lease + 500*time.Millisecond)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.To.ID, ShouldEqual, other)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
		})
		Convey("a new leader waits for the lease that the former one may have extended", func() {
			env.registry = map[string]*fleet.Executor{other: env.registry[other]}
			env.takeOver()
			env.report(other, nil, nil)
			cfg := DefaultConfig()
			maxOrderTime := cfg.FormerLeaderRenewal + cfg.Lease + cfg.StartValidity
			So(callWithoutAnswer(maxOrderTime), ShouldBeEmpty)
			So(callWithoutAnswer(500*time.Millisecond), ShouldHaveLength, 1)
		})
		Convey("a new leader with a report that lists the run starts nothing twice", func() {
			env.takeOver()
			env.report(unresponsive, running(orders[0].Start.Run), nil)
			env.report(other, nil, nil)
			So(env.runCycle(), ShouldBeEmpty)
			So(env.cell.vms[unresponsive].used.MilliCPU, ShouldEqual, 4000)
		})
		Convey("a new leader with a report that doesn't list the run starts the task again", func() {
			env.takeOver()
			env.report(unresponsive, nil, nil)
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
		})
	})
	Convey("Given a start without an answer", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := env.runCycle()
		env.cell.HandleStartAnswer(orders[0].Start, platform.ErrNoAnswer, env.now)
		stops := env.cell.TakeStops(env.now)
		So(stops, ShouldHaveLength, 1)

		Convey("its allocation is kept while the order may be carried out late", func() {
			env.advance(DefaultConfig().StartValidity)
			env.report("e0", nil, nil)
			So(env.runCycle(), ShouldBeEmpty)
			Convey("and freed once the order is void by the executor's clock", func() {
				env.advance(time.Millisecond)
				env.report("e0", nil, nil)
				So(env.runCycle(), ShouldHaveLength, 1)
			})
		})
		Convey("an accepted stop and the next report after it settle its outcome", func() {
			env.cell.HandleStopAnswer(stops[0], nil, env.now)
			env.report("e0", nil, nil) // the hold was sent before the stop was answered
			So(env.runCycle(), ShouldBeEmpty)
			env.advance(10 * time.Millisecond)
			env.report("e0", nil, nil)
			So(env.runCycle(), ShouldHaveLength, 1)
		})
		Convey("a report that lists it confirms it", func() {
			env.report("e0", running(orders[0].Start.Run), nil)
			env.advance(2 * time.Second)
			So(env.runCycle(), ShouldBeEmpty)
		})
	})
}

// A new leader may not extend executors' leases while its own lease is not confirmed. Until
// then runs continue on the leases that the former leader extended, whose ends an executor's
// first report doesn't contain. The new leader must not take such runs to be over too early.
func TestFormerLeaderLeaseCountsFromFirstReport(t *testing.T) {
	for name, known := range map[string]bool{"a run that the new leader knows": true, "a run of a job that had ended": false} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, 1)
			job := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: 20 * time.Second})
			orders := env.runCycle()
			env.confirmStarts(orders)
			run := orders[0].Start.Run
			env.report("e0", running(run), nil)
			if !known {
				env.savedProgress[job.ID] = &work.Progress{State: work.Cancelled}
			}
			env.takeOver()
			env.report("e0", running(run), nil)
			lease := DefaultConfig().Lease
			for end := env.now.Add(lease); env.now.Before(end); env.advance(100 * time.Millisecond) {
				env.cell.NextHold("e0", HoldTerms{Connected: true})
				env.runCycle()
				if len(env.cell.vms["e0"].allocations) == 0 {
					t.Fatalf("the run is taken to be over %v before the end of its lease", end.Sub(env.now))
				}
			}
			env.advance(200 * time.Millisecond)
			env.runCycle()
			if len(env.cell.vms["e0"].allocations) != 0 {
				t.Error("the run is still allocated after its lease has certainly expired")
			}
		})
	}
}
