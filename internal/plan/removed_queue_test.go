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

// A leader that took over while a queue was removed gave its tasks one attempt and took the length of the job
// for its objective.
func TestTermsOfARemovedQueue(t *testing.T) {
	Convey("A job keeps the terms under which it was accepted under a leader that never saw its queue", t, func() {
		env := newTestEnv(t, 1)
		terms := work.Terms{MaxAttempts: 2, LatencyObjective: 7 * time.Second}
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Terms: terms, Service: testService, AcceptedMs: env.now.UnixMilli(),
			Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second}}}
		env.submit(j)
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)
		env.configure = func() *queue.Configuration {
			return &queue.Configuration{Services: map[string]queue.Service{testService: {Name: testService}}}
		}
		env.takeOver()
		env.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndFailed))
		again := env.runCycle()
		So(again, ShouldHaveLength, 1)
		So(env.cell.jobs[j.ID].latencyObjective, ShouldEqual, terms.LatencyObjective)
		env.confirmStarts(again)
		env.advance(time.Second)
		env.report("e0", nil, ended(2, again[0].Start.Run, platform.EndFailed))
		So(env.runCycle(), ShouldBeEmpty)
		So(env.savedProgress[j.ID].State, ShouldEqual, work.Failed)
	})
}
