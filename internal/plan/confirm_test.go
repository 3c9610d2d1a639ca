package plan

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/queue"
)

func TestInvalidStartsAreNotSent(t *testing.T) {
	Convey("Given a planned start", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, oneTaskStep(4))
		starts := env.cell.Plan(env.now)
		So(starts, ShouldHaveLength, 1)
		env.saveRecords()

		Convey("it isn't sent if the executor's record is gone", func() {
			env.unregister("e0")
			So(env.cell.Confirm(starts, env.now), ShouldBeEmpty)
		})
		Convey("it isn't sent if the executor's record names another service", func() {
			env.registerLike("e0", "e0", unconfiguredService)
			So(env.cell.Confirm(starts, env.now), ShouldBeEmpty)
		})
	})
	Convey("A job of a removed queue starts only while its service is configured", t, func() {
		env := newTestEnv(t, 1)
		env.submitJob(1, testQueue, oneTaskStep(4))
		env.cell.Configure(&queue.Configuration{})
		So(env.runCycle(), ShouldBeEmpty)
		env.cell.Configure(&queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}})
		So(env.runCycle(), ShouldHaveLength, 1)
	})
}
