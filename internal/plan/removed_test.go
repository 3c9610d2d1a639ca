package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

func TestAttemptsOfARemovedQueue(t *testing.T) {
	Convey("A job whose queue is removed keeps its number of attempts", t, func() {
		w := newWorld(t, 1)
		q := w.cell.queueTable.QueueNamed(testQueue)
		So(q.MaxAttempts, ShouldBeGreaterThan, 1)
		j := w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second})
		orders := w.cycle()
		So(orders, ShouldHaveLength, 1)
		w.startAll(orders)
		w.cell.Configure(&queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}})
		w.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndFailed))
		w.save()
		So(w.saved[j.ID].State, ShouldNotEqual, work.Failed)
	})
}
