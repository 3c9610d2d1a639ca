package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// promisedInAll returns the room promised on all executors.
func (w *world) promisedInAll() api.Resources {
	var sum api.Resources
	for _, v := range w.cell.vms {
		sum = sum.Add(v.promised)
	}
	return sum
}

func TestPromises(t *testing.T) {
	Convey("Given two gangs that ask for advice at the same moment", t, func() {
		w := newWorld(t, 12)
		w.pass(2 * time.Second)
		w.reportAll()
		gang := work.Step{Tasks: 6, Need: cpus(16), Estimate: time.Second, Gang: true}
		w.job(1, testAdvised, gang)
		w.job(2, testAdvised, gang)
		w.cycle()
		asks := w.cell.Asks(w.now, anybody{})
		So(asks, ShouldHaveLength, 2)

		Convey("the second names executors on which the first leaves room", func() {
			first, second := asks[0].Executors, asks[1].Executors
			So(first, ShouldHaveLength, 12) // 6 tasks, 1.5 times, at a share of 0.3: more room than there is
			So(second, ShouldHaveLength, 12)
			So(w.promisedInAll().MilliCPU, ShouldEqual, 2*6*16000)
		})
		Convey("what is promised ends with the start", func() {
			w.cell.Granted(asks[0], grants(asks[0].Executors...), 2*time.Second, w.now)
			So(w.cycle(), ShouldHaveLength, 6)
			So(w.promisedInAll().MilliCPU, ShouldEqual, 6*16000)
		})
		Convey("what is promised ends with a call that failed and with the job", func() {
			w.cell.NoAdvice(asks[0], w.now)
			w.cell.Cancel(work.ID{2})
			So(w.promisedInAll(), ShouldResemble, api.Resources{})
		})
	})
	Convey("Given executors with unlike room and gangs that need few", t, func() {
		w := newWorld(t, 12)
		w.pass(2 * time.Second)
		w.reportAll()
		gang := work.Step{Tasks: 1, Need: cpus(32), Estimate: time.Second, Gang: true}
		w.job(1, testAdvised, gang)
		w.job(2, testAdvised, gang)
		w.cycle()
		asks := w.cell.Asks(w.now, anybody{})
		So(asks, ShouldHaveLength, 2)
		Convey("they name different ones first", func() {
			So(asks[0].Executors[0], ShouldNotEqual, asks[1].Executors[0])
		})
	})
}
