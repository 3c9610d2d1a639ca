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
		env := newTestEnv(t, 1)
		q := env.cell.queueConfig.QueueNamed(testQueue)
		So(q.MaxAttempts, ShouldBeGreaterThan, 1)
		j := env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second})
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)
		env.cell.Configure(&queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}})
		env.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndFailed))
		env.saveRecords()
		So(env.savedProgress[j.ID].State, ShouldNotEqual, work.Failed)
	})
}
