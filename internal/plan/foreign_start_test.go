package plan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/queue"
)

func TestInvalidStartsAreNotSent(t *testing.T) {
	Convey("Given a start that is planned", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, oneTask(4))
		starts := w.cell.Plan(w.now)
		So(starts, ShouldHaveLength, 1)
		w.save()

		Convey("it isn't sent if the executor's record can't be read any more", func() {
			w.unlist("e0")
			So(w.cell.Confirm(starts, w.now), ShouldBeEmpty)
		})
		Convey("or names another service", func() {
			w.list("e0", "e0", foreignService)
			So(w.cell.Confirm(starts, w.now), ShouldBeEmpty)
		})
	})
	Convey("A job of a queue that was removed runs only while its service is configured", t, func() {
		w := newWorld(t, 1)
		w.job(1, testQueue, oneTask(4))
		w.cell.Configure(&queue.Configuration{})
		So(w.cycle(), ShouldBeEmpty)
		w.cell.Configure(&queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}})
		So(w.cycle(), ShouldHaveLength, 1)
	})
}
