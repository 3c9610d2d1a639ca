package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// acceptingDispatcher accepts every advice call.
type acceptingDispatcher struct{}

func (acceptingDispatcher) Free(queue.CallTime) bool { return true }
func (acceptingDispatcher) Take(queue.CallTime) bool { return true }

// grants returns a grant with a ticket for each executor ID.
func grants(ids ...string) []platform.Grant {
	var out []platform.Grant
	for _, id := range ids {
		out = append(out, platform.Grant{Executor: id, Ticket: "ticket-" + id})
	}
	return out
}

func TestAdvice(t *testing.T) {
	Convey("Given a step on a queue with advice", t, func() {
		env := newTestEnv(t, 2)
		env.advance(2 * time.Second)
		env.report("e0", nil, nil)
		env.report("e1", nil, nil)
		env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Second})
		So(env.runCycle(), ShouldBeEmpty)
		calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
		So(calls, ShouldHaveLength, 1)
		So(calls[0].Executors, ShouldResemble, []string{"e0", "e1"})
		So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)

		Convey("it starts on the granted executor with the ticket", func() {
			env.cell.HandleGrants(calls[0], grants("e1"), 2*time.Second, env.now)
			orders := env.runCycle()
			So(orders, ShouldHaveLength, 1)
			So(orders[0].Start.To.ID, ShouldEqual, "e1")
			So(orders[0].Order.Ticket, ShouldEqual, "ticket-e1")
		})
		Convey("when no executor was granted, a call names executors that are added later", func() {
			env.cell.HandleGrants(calls[0], nil, 2*time.Second, env.now)
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)
			env.addExecutor("e2")
			So(env.runCycle(), ShouldBeEmpty)
			again := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(again, ShouldHaveLength, 1)
			So(again[0].Executors, ShouldResemble, []string{"e2"})
		})
		Convey("a start is dropped if its ticket expires before its record is durable", func() {
			env.cell.HandleGrants(calls[0], grants("e0"), 2*time.Second, env.now)
			starts := env.cell.Plan(env.now)
			So(starts, ShouldHaveLength, 1)
			env.saveRecords()
			env.advance(1900 * time.Millisecond)
			So(env.cell.Confirm(starts, env.now), ShouldBeEmpty)
			So(env.cell.vms["e0"].used.MilliCPU, ShouldEqual, 0)
			Convey("and the renewal names only the granted executors", func() {
				env.report("e0", nil, nil)
				env.report("e1", nil, nil)
				again := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
				So(again, ShouldHaveLength, 1)
				So(again[0].Executors, ShouldResemble, []string{"e0"})
			})
		})
		Convey("a call that failed is repeated after adviceRetryDelay", func() {
			env.cell.HandleAdviceFailure(calls[0], env.now)
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)
			env.advance(adviceRetryDelay)
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldHaveLength, 1)
		})
	})
}
