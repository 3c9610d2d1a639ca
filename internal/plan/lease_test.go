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
	Convey("Given a task on an executor that falls silent", t, func() {
		w := newWorld(t, 2)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: 20 * time.Second})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		w.startAll(orders)
		at := orders[0].Start.To.ID
		other := map[string]string{"e0": "e1", "e1": "e0"}[at]
		w.report(at, running(orders[0].Start.Run), nil)

		// silence lets d pass while the silent executor is called every 200 ms.
		silence := func(d time.Duration) []ConfirmedStart {
			for end := w.now.Add(d); w.now.Before(end); w.pass(200 * time.Millisecond) {
				w.cell.NextHold(at, HoldTerms{Connected: true, Renew: true})
				w.report(other, nil, nil)
				if orders := w.cycle(); len(orders) > 0 {
					return orders
				}
			}
			return nil
		}
		Convey("nothing of it starts elsewhere before its lease is certainly over", func() {
			So(silence(DefaultConfig().Lease), ShouldBeEmpty)
		})
		Convey("it starts elsewhere after that, however often the executor was called", func() {
			orders := silence(DefaultConfig().Lease + 500*time.Millisecond)
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.To.ID, ShouldEqual, other)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
		})
		Convey("a new leader waits for what the former one may have extended", func() {
			w.listed = map[string]*fleet.Executor{other: w.listed[other]}
			w.takeOver()
			w.report(other, nil, nil)
			cfg := DefaultConfig()
			certain := cfg.FormerLeaderRenewal + cfg.Lease + cfg.StartValidity
			So(silence(certain), ShouldBeEmpty)
			So(silence(500*time.Millisecond), ShouldHaveLength, 1)
		})
		Convey("a new leader that hears from it starts nothing twice", func() {
			w.takeOver()
			w.report(at, running(orders[0].Start.Run), nil)
			w.report(other, nil, nil)
			So(w.cycle(), ShouldBeEmpty)
			So(w.cell.vms[at].used.MilliCPU, ShouldEqual, 4000)
		})
		Convey("a new leader that hears that the run isn't there starts it again", func() {
			w.takeOver()
			w.report(at, nil, nil)
			orders := w.cycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.Run.Number, ShouldEqual, 2)
		})
	})
	Convey("Given a start without an answer", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		orders := w.cycle()
		w.cell.HandleStartAnswer(orders[0].Start, platform.ErrNoAnswer, w.now)
		stops := w.cell.TakeStops(w.now)
		So(stops, ShouldHaveLength, 1)

		Convey("its room is held while the order may be carried out late", func() {
			w.pass(DefaultConfig().StartValidity)
			w.report("e0", nil, nil)
			So(w.cycle(), ShouldBeEmpty)
			Convey("and given back once the executor's clock has passed the order's end", func() {
				w.pass(time.Millisecond)
				w.report("e0", nil, nil)
				So(w.cycle(), ShouldHaveLength, 1)
			})
		})
		Convey("a stop that was taken settles it, with the next report", func() {
			w.cell.HandleStopAnswer(stops[0], nil, w.now)
			w.report("e0", nil, nil) // asked before the stop was answered
			So(w.cycle(), ShouldBeEmpty)
			w.pass(10 * time.Millisecond)
			w.report("e0", nil, nil)
			So(w.cycle(), ShouldHaveLength, 1)
		})
		Convey("a report that lists it confirms it", func() {
			w.report("e0", running(orders[0].Start.Run), nil)
			w.pass(2 * time.Second)
			So(w.cycle(), ShouldBeEmpty)
		})
	})
}

// A new leader that may not extend leases yet, since its own is not confirmed,
// counts on those that the former leader has extended: an executor's first
// report doesn't say how long they are.
func TestFormerLeaderLeaseCountsFromFirstReport(t *testing.T) {
	for name, known := range map[string]bool{"a run that it took over": true, "a run of a job that had ended": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1)
			job := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: 20 * time.Second})
			orders := w.cycle()
			w.startAll(orders)
			run := orders[0].Start.Run
			w.report("e0", running(run), nil)
			if !known {
				w.saved[job.ID] = &work.Progress{State: work.Cancelled}
			}
			w.takeOver()
			w.report("e0", running(run), nil)
			lease := DefaultConfig().Lease
			for end := w.now.Add(lease); w.now.Before(end); w.pass(100 * time.Millisecond) {
				w.cell.NextHold("e0", HoldTerms{Connected: true})
				w.cycle()
				if len(w.cell.vms["e0"].allocations) == 0 {
					t.Fatalf("the run is held to be over %v before its lease", end.Sub(w.now))
				}
			}
			w.pass(200 * time.Millisecond)
			w.cycle()
			if len(w.cell.vms["e0"].allocations) != 0 {
				t.Error("the run holds room after its lease is certainly over")
			}
		})
	}
}
