package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/work"
)

// fill gives the executors numbered from to below a task each that leaves no
// room.
func (w *world) fill(from, below int) {
	for i := from; i < below; i++ {
		w.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(32)
	}
}

func TestCandidates(t *testing.T) {
	Convey("Given 150 executors of which 100 are full", t, func() {
		w := newWorld(t, 150)
		w.pass(2 * time.Second)
		w.reportAll()
		w.fill(0, 100)
		// On the test's queue naming 5 executors takes half of a call's fixed time.

		Convey("a call about a small step names few, and only with room", func() {
			w.job(1, testAdvised, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: time.Second})
			w.cycle()
			asks := w.cell.AdviceCalls(w.now, anybody{})
			So(asks, ShouldHaveLength, 1)
			So(len(asks[0].Executors), ShouldBeBetweenOrEqual, 5, 10)
			for _, id := range asks[0].Executors {
				So(w.cell.vms[id].free().MilliCPU, ShouldEqual, 32000)
			}
		})
		Convey("a call about a wide one names as many as promise it room", func() {
			w.job(1, testAdvised, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			w.cycle()
			asks := w.cell.AdviceCalls(w.now, anybody{})
			So(asks, ShouldHaveLength, 1)
			// 20 tasks, 1.5 times, at a share of 0.3: 100 tasks, 3 on each.
			So(asks[0].Executors, ShouldHaveLength, 34)

			Convey("where too little of it is granted, others are asked about while the tickets hold", func() {
				w.cell.HandleGrants(asks[0], grants(asks[0].Executors[:3]...), 2*time.Second, w.now)
				So(w.cycle(), ShouldBeEmpty)
				more := w.cell.AdviceCalls(w.now, anybody{})
				So(more, ShouldHaveLength, 1)
				for _, id := range more[0].Executors {
					So(slices.Contains(asks[0].Executors, id), ShouldBeFalse)
				}
				w.cell.HandleGrants(more[0], grants(more[0].Executors[:8]...), 2*time.Second, w.now)
				So(w.cycle(), ShouldHaveLength, 20)
			})
			Convey("where enough is granted, nothing more is asked", func() {
				w.cell.HandleGrants(asks[0], grants(asks[0].Executors[:8]...), 2*time.Second, w.now)
				So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)
				So(w.cycle(), ShouldHaveLength, 20)
			})
		})
		Convey("a gang of which half the tickets have lapsed renews just these", func() {
			w.job(1, testAdvised, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			w.cycle()
			first := w.cell.AdviceCalls(w.now, anybody{})
			w.cell.HandleGrants(first[0], grants(first[0].Executors[:4]...), 2*time.Second, w.now)
			w.pass(time.Second)
			w.reportAll()
			w.fill(0, 100)
			w.cycle()
			more := w.cell.AdviceCalls(w.now, anybody{})
			So(more, ShouldHaveLength, 1)
			w.cell.HandleGrants(more[0], grants(more[0].Executors[:4]...), 2*time.Second, w.now)
			w.pass(time.Second)
			w.reportAll()
			So(w.cycle(), ShouldBeEmpty)
			renewal := w.cell.AdviceCalls(w.now, anybody{})
			So(renewal, ShouldHaveLength, 1)
			So(renewal[0].Executors, ShouldResemble, first[0].Executors[:4])
		})
		Convey("room that is expected and doesn't come is waited for once", func() {
			w.job(1, testQueue, work.Step{TaskCount: 12, TaskResources: cpus(32), Estimate: time.Second})
			w.startAll(w.cycle()) // on executors 100 to 111, which are the only ones with room
			w.fill(112, 150)
			w.job(2, testAdvised, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			w.cycle()
			asks := w.cell.AdviceCalls(w.now, anybody{})
			So(asks, ShouldHaveLength, 1)
			var granted []string
			for i := 100; i < 112; i++ {
				granted = append(granted, fmt.Sprintf("e%d", i))
			}
			w.pass(900 * time.Millisecond) // the runs are expected to end in 100 ms
			w.reportAll()
			asks[0].Executors = granted
			w.cell.HandleGrants(asks[0], grants(granted...), 2*time.Second, w.now)
			w.fill(0, 100)
			for i := 112; i < 150; i++ {
				w.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(0)
			}
			w.cycle()
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)
			w.pass(400 * time.Millisecond) // they have not ended
			w.reportAll()
			w.fill(0, 100)
			for i := 112; i < 150; i++ {
				w.cell.vms[fmt.Sprintf("e%d", i)].used = cpus(0)
			}
			w.cycle()
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldHaveLength, 1)
		})
		Convey("where none has room, none is asked about twice", func() {
			w.fill(100, 150)
			w.job(1, testAdvised, work.Step{TaskCount: 20, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
			w.cycle()
			asks := w.cell.AdviceCalls(w.now, anybody{})
			So(asks, ShouldHaveLength, 1)
			w.cell.HandleGrants(asks[0], grants(asks[0].Executors[:3]...), 2*time.Second, w.now)
			w.pass(checkInterval)
			w.cycle()
			So(w.cell.AdviceCalls(w.now, anybody{}), ShouldBeEmpty)
		})
	})
}
