package estimate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
)

var spec = api.JobSpec{ID: "job", Team: "red", Class: api.ClassBatch, RunTime: time.Minute, Checkpointable: true,
	Resources: api.Resources{MilliCPU: 4000, MemoryMB: 8000, Accelerators: 1}}

func report(cpu, memory int64, ran time.Duration) Report {
	start := time.Unix(1000, 0)
	return Report{Task: api.TaskID{Job: "job"}, Usage: api.Resources{MilliCPU: cpu, MemoryMB: memory, Accelerators: 1},
		StartedAt: start, MeasuredAt: start.Add(ran)}
}

func TestEstimate(t *testing.T) {
	Convey("An estimator without reports returns the declared resources", t, func() {
		e := New(Config{})
		So(e.Estimate(spec).Resources, ShouldResemble, spec.Resources)

		Convey("raises the estimate at the first higher report, and never below the reported usage", func() {
			e.Observe(spec, report(5000, 9000, 0))
			got := e.Estimate(spec).Resources
			So(got.MilliCPU, ShouldBeGreaterThanOrEqualTo, 5000)
			So(got.MemoryMB, ShouldBeBetweenOrEqual, 9000, 9000*1.1)
			So(e.TaskEstimate(spec, api.Resources{MemoryMB: 20000}).MemoryMB, ShouldEqual, 20000)
		})
		Convey("lowers the estimate only after enough reports, not below the minimum share, and keeps the largest memory usage", func() {
			for range DefaultMinReports - 1 {
				e.Observe(spec, report(100, 5000, 0))
			}
			So(e.Estimate(spec).Resources, ShouldResemble, spec.Resources)
			e.Observe(spec, report(100, 6000, 0))
			So(e.Estimate(spec).Resources.MilliCPU, ShouldEqual, 2000)
			for range 3000 {
				e.Observe(spec, report(100, 100, 0))
			}
			So(e.Estimate(spec).Resources.MemoryMB, ShouldBeGreaterThanOrEqualTo, 6000)
			So(e.Estimate(spec).Resources.Accelerators, ShouldEqual, 1)
		})
		Convey("learns run times from tasks that ended", func() {
			for range 20 {
				e.RecordRun(spec, api.TaskID{}, 3*time.Minute)
			}
			So(e.Estimate(spec).RunTime, ShouldBeBetweenOrEqual, 3*time.Minute, 200*time.Second)
		})
		Convey("bounds the number of signatures", func() {
			e := New(Config{MaxSignatures: 10})
			for i := range 100 {
				s := spec
				s.Resources.MilliCPU = int64(i + 1)
				e.Observe(s, report(1, 1, 0))
			}
			So(len(e.stats), ShouldBeLessThanOrEqualTo, 10)
		})
	})
	Convey("Validate names every invalid field", t, func() {
		err := Config{MinShare: 2, Quantile: -1}.Validate()
		So(err.Error(), ShouldContainSubstring, "floor")
		So(err.Error(), ShouldContainSubstring, "quantile")
	})
}

func TestNextAction(t *testing.T) {
	step := DefaultGracePeriod + time.Second
	Convey("A task that overuses processors is throttled, then checkpointed, then stopped", t, func() {
		e := New(Config{})
		So(e.Observe(spec, report(4500, 100, 0)).Action, ShouldEqual, ActionNone)
		So(e.Observe(spec, report(8000, 100, step)).Action, ShouldEqual, ActionThrottle)

		Convey("but not because of reports measured before the action took effect", func() {
			So(e.Observe(spec, report(8000, 100, step+DefaultGracePeriod)).Action, ShouldEqual, ActionNone)
			So(e.Observe(spec, report(8000, 100, 0)).Action, ShouldEqual, ActionNone)
		})
		Convey("with each later report that still shows the overuse", func() {
			So(e.Observe(spec, report(8000, 100, 2*step)).Action, ShouldEqual, ActionCheckpoint)
			So(e.Observe(spec, report(8000, 100, 3*step)), ShouldResemble, Decision{Action: ActionStop,
				Reason: api.ReasonOveruse, Detail: "uses 8000 thousandths of a processor, declared 4000"})
		})
		Convey("and starts again with throttling once the overuse has ended", func() {
			e.Observe(spec, report(100, 100, 2*step))
			So(e.Observe(spec, report(8000, 100, 3*step)).Action, ShouldEqual, ActionThrottle)
		})
	})
	Convey("Memory overuse and overrun are not throttled", t, func() {
		e := New(Config{})
		So(e.Observe(spec, report(100, 20000, 0)).Action, ShouldEqual, ActionCheckpoint)
		noCheckpoint := spec
		noCheckpoint.Checkpointable = false
		v := New(Config{}).Observe(noCheckpoint, report(100, 100, time.Hour))
		So(v.Action, ShouldEqual, ActionStop)
		So(v.Reason, ShouldEqual, api.ReasonOverrun)
	})
	Convey("Services have no run time limit", t, func() {
		service := spec
		service.RunTime = 0
		So(New(Config{}).Observe(service, report(100, 100, time.Hour)).Action, ShouldEqual, ActionNone)
	})
}
