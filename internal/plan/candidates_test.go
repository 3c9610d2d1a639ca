package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/work"
)

// fillExecutors marks the executors numbered from to below-1 as full.
func (env *testEnv) fillExecutors(from, below int) {
	for i := from; i < below; i++ {
		env.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(32)
	}
}

func TestCandidates(t *testing.T) {
	Convey("Given 150 executors, 100 of them full", t, func() {
		env := newTestEnv(t, 150)
		env.advance(2 * time.Second)
		env.reportAll()
		env.fillExecutors(0, 100)
		// On the test's queue, naming 5 executors takes half of a call's fixed time.

		Convey("a call for a small step names few executors, all with free capacity", func() {
			env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: time.Second})
			env.runCycle()
			calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(calls, ShouldHaveLength, 1)
			So(len(calls[0].Executors), ShouldBeBetweenOrEqual, 5, 10)
			for _, id := range calls[0].Executors {
				So(env.cell.vms[id].free().MilliCPU, ShouldEqual, 32000)
			}
		})
		Convey("a call for a wide step names as many executors as it is expected to need", func() {
			env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			env.runCycle()
			calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(calls, ShouldHaveLength, 1)
			// 20 tasks times a margin of 1.5 at a grant share of 0.3 are 100 slots, 3 on each
			// executor.
			So(calls[0].Executors, ShouldHaveLength, 34)

			Convey("when too few are granted, another call names others while the tickets are valid", func() {
				env.cell.HandleGrants(calls[0], grants(calls[0].Executors[:3]...), 2*time.Second, env.now)
				So(env.runCycle(), ShouldBeEmpty)
				more := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
				So(more, ShouldHaveLength, 1)
				for _, id := range more[0].Executors {
					So(slices.Contains(calls[0].Executors, id), ShouldBeFalse)
				}
				env.cell.HandleGrants(more[0], grants(more[0].Executors[:8]...), 2*time.Second, env.now)
				So(env.runCycle(), ShouldHaveLength, 20)
			})
			Convey("when enough are granted, no further call is made", func() {
				env.cell.HandleGrants(calls[0], grants(calls[0].Executors[:8]...), 2*time.Second, env.now)
				So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)
				So(env.runCycle(), ShouldHaveLength, 20)
			})
		})
		Convey("a gang renews only the expired half of its tickets", func() {
			env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			env.runCycle()
			first := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			env.cell.HandleGrants(first[0], grants(first[0].Executors[:4]...), 2*time.Second, env.now)
			env.advance(time.Second)
			env.reportAll()
			env.fillExecutors(0, 100)
			env.runCycle()
			more := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(more, ShouldHaveLength, 1)
			env.cell.HandleGrants(more[0], grants(more[0].Executors[:4]...), 2*time.Second, env.now)
			env.advance(time.Second)
			env.reportAll()
			So(env.runCycle(), ShouldBeEmpty)
			renewal := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(renewal, ShouldHaveLength, 1)
			So(renewal[0].Executors, ShouldResemble, first[0].Executors[:4])
		})
		Convey("a gang waits only once for expected capacity that doesn't become free", func() {
			env.submitJob(1, testQueue, work.Step{TaskCount: 12, TaskResources: cpus(32), Estimate: time.Second})
			env.confirmStarts(env.runCycle()) // on executors 100 to 111, the only ones with free capacity
			env.fillExecutors(112, 150)
			env.submitJob(2, testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			env.runCycle()
			calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(calls, ShouldHaveLength, 1)
			var granted []string
			for i := 100; i < 112; i++ {
				granted = append(granted, fmt.Sprintf("e%d", i))
			}
			env.advance(900 * time.Millisecond) // the runs are expected to end in 100 ms
			env.reportAll()
			calls[0].Executors = granted
			env.cell.HandleGrants(calls[0], grants(granted...), 2*time.Second, env.now)
			env.fillExecutors(0, 100)
			for i := 112; i < 150; i++ {
				env.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(0)
			}
			env.runCycle()
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)
			env.advance(400 * time.Millisecond) // the runs have not ended
			env.reportAll()
			env.fillExecutors(0, 100)
			for i := 112; i < 150; i++ {
				env.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(0)
			}
			env.runCycle()
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldHaveLength, 1)
		})
		Convey("full executors are not named twice", func() {
			env.fillExecutors(100, 150)
			env.submitJob(1, testAdvisedQueue, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			env.runCycle()
			calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{})
			So(calls, ShouldHaveLength, 1)
			env.cell.HandleGrants(calls[0], grants(calls[0].Executors[:3]...), 2*time.Second, env.now)
			env.advance(checkInterval)
			env.runCycle()
			So(env.cell.AdviceCalls(env.now, acceptingDispatcher{}), ShouldBeEmpty)
		})
	})
}
