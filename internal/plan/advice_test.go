package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// anybody takes every call.
type anybody struct{}

func (anybody) Free(queue.CallTime) bool { return true }
func (anybody) Take(queue.CallTime) bool { return true }

func grants(ids ...string) []platform.Grant {
	var out []platform.Grant
	for _, id := range ids {
		out = append(out, platform.Grant{Executor: id, Ticket: "ticket-" + id})
	}
	return out
}

func TestAdvice(t *testing.T) {
	Convey("Given a step on a queue with advice", t, func() {
		w := newWorld(t, 2)
		w.pass(2 * time.Second)
		w.report("e0", nil, nil)
		w.report("e1", nil, nil)
		w.job(1, testAdvised, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		So(w.cycle(), ShouldBeEmpty)
		asks := w.cell.AdviceCalls(w.now, anybody{})
		So(asks, ShouldHaveLength, 1)
		So(asks[0].Executors, ShouldResemble, []string{"e0", "e1"})
		So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)

		Convey("it starts where it is granted, with the ticket", func() {
			w.cell.HandleGrants(asks[0], grants("e1"), 2*time.Second, w.now)
			orders := w.cycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.To.ID, ShouldEqual, "e1")
			So(orders[0].Order.Ticket, ShouldEqual, "ticket-e1")
		})
		Convey("when nothing was granted, executors that come later are asked about", func() {
			w.cell.HandleGrants(asks[0], nil, 2*time.Second, w.now)
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)
			w.addExecutor("e2")
			So(w.cycle(), ShouldBeEmpty)
			again := w.cell.AdviceCalls(w.now, anybody{})
			So(again, ShouldHaveLength, 1)
			So(again[0].Executors, ShouldResemble, []string{"e2"})
		})
		Convey("a ticket that lapses before the record is durable stops the start", func() {
			w.cell.HandleGrants(asks[0], grants("e0"), 2*time.Second, w.now)
			starts := w.cell.Plan(w.now)
			So(starts, ShouldHaveLength, 1)
			w.save()
			w.pass(1900 * time.Millisecond)
			So(w.cell.Confirm(starts, w.now), ShouldBeEmpty)
			So(w.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
			Convey("and the renewal names only those that may", func() {
				w.report("e0", nil, nil)
				w.report("e1", nil, nil)
				again := w.cell.AdviceCalls(w.now, anybody{})
				So(again, ShouldHaveLength, 1)
				So(again[0].Executors, ShouldResemble, []string{"e0"})
			})
		})
		Convey("after a call that failed it is asked again, not at once", func() {
			w.cell.HandleAdviceFailure(asks[0], w.now)
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)
			w.pass(adviceRetryDelay)
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldHaveLength, 1)
		})
	})
}
