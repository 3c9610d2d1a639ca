package plan

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A leader that took over after a job's queue had got another name gave its tasks one attempt, no objective and
// the lowest priority.
func TestJobKeepsItsQueueUnderAnotherName(t *testing.T) {
	Convey("Given a job that a queue has accepted at a path", t, func() {
		env := newTestEnv(t, 1)
		path, otherPath := work.NewPathID("h", "/q/"), work.NewPathID("h", "/other/")
		queues := []queue.Queue{
			{Name: testQueue, Path: path, Service: testService, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second},
			{Name: "other", Path: otherPath, Service: testService, MaxAttempts: 1, Priority: 4},
		}
		services := map[string]queue.Service{testService: {Name: testService}}
		configure := func(services map[string]queue.Service, queues ...queue.Queue) {
			env.configure = func() *queue.Configuration { return &queue.Configuration{Queues: queues, Services: services} }
			env.cell.Configure(env.configure())
		}
		configure(services, queues...)
		j := &work.Job{ID: work.ID{1}, Queue: testQueue, Path: path, Service: testService, AcceptedMs: env.now.UnixMilli(),
			Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second}}}
		env.submit(j)
		orders := env.runCycle()
		So(orders, ShouldHaveLength, 1)
		env.confirmStarts(orders)

		failsOnce := func() {
			env.takeOver()
			env.report("e0", nil, ended(1, orders[0].Start.Run, platform.EndFailed))
			again := env.runCycle()
			So(again, ShouldHaveLength, 1)
			So(env.savedProgress[j.ID].State, ShouldNotEqual, work.Failed)
			So(env.cell.jobs[j.ID].latencyObjective, ShouldEqual, 3*time.Second)
		}
		Convey("it keeps its attempts and its objective when the name changes", func() {
			queues[0].Name = "q-2"
			configure(services, queues...)
			failsOnce()
		})
		Convey("it keeps them when two queues swap their names", func() {
			queues[0].Name, queues[1].Name = "other", testQueue
			configure(services, queues...)
			failsOnce()
		})
		Convey("it keeps its service when the queue at its path has another name and service", func() {
			queues[0].Name, queues[0].Service = "q-2", "svc-2"
			services["svc-2"] = queue.Service{Name: "svc-2"}
			configure(services, queues...)
			failsOnce()
		})
		Convey("it runs on the queue's service when its own is gone", func() {
			queues[0].Name, queues[0].Service = "q-2", "svc-2"
			queues[1].Service = "svc-2"
			configure(map[string]queue.Service{"svc-2": {Name: "svc-2"}}, queues...)
			So(env.cell.serviceOf(env.cell.jobs[j.ID]), ShouldEqual, "svc-2")
		})
		Convey("it runs on the service that its queue names now", func() {
			queues[0].Service = "svc-2"
			configure(services, queues...)
			So(env.cell.serviceOf(env.cell.jobs[j.ID]), ShouldEqual, "svc-2")
		})
	})
}
