package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// newForecastEnv returns a cell of two executors that forecasts new jobs, after the leader has
// awaited the first reports.
func newForecastEnv(t *testing.T) *testEnv {
	env := newTestEnv(t, 2)
	env.cell.cfg.Overload = true
	env.advance(takeoverReportWait + time.Millisecond)
	env.reportAll()
	return env
}

// forecastOf returns the forecast of a job with one step in the test queue.
func (env *testEnv) forecastOf(n byte, s work.Step) (*JobForecast, bool) {
	j := &work.Job{ID: work.ID{n}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{s}}
	return env.cell.Forecast(j, env.cell.queueConfig.QueueNamed(testQueue), 0, env.now.UnixMilli(), env.now)
}

// Guards deployments that don't ask for it, and the first second of a leader, against decisions
// by a forecast that knows nothing.
func TestForecastNeedsOverloadAndReports(t *testing.T) {
	step := work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second}
	env := newTestEnv(t, 2)
	if _, known := env.forecastOf(1, step); known {
		t.Error("forecast without Overload")
	}
	env.cell.cfg.Overload = true
	if _, known := env.forecastOf(1, step); known {
		t.Error("forecast before the executors have had time to report")
	}
	env.advance(takeoverReportWait + time.Millisecond)
	env.reportAll()
	f, known := env.forecastOf(1, step)
	if !known || f.First != 0 || f.End != time.Second || !f.FreeNow {
		t.Errorf("forecast %+v, known: %v, on idle executors", f, known)
	}
	if _, known := env.forecastOf(1, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, RequiredLabel: "rack-e0"}); known {
		t.Error("forecast of a job that one executor can run, from the capacity of all")
	}
}

// Guards against forecasts that ignore running tasks, waiting steps, jobs accepted since the
// profile was built, or the rank of the job.
func TestForecastOfBusyCell(t *testing.T) {
	env := newForecastEnv(t)
	full := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: 2 * time.Second}
	env.submitJob(1, testQueue, full)
	env.confirmStarts(env.runCycle())
	f, _ := env.forecastOf(2, full)
	if f == nil || f.First != 2*time.Second || f.FreeNow {
		t.Fatalf("forecast %+v behind runs of 2 s", f)
	}
	env.cell.BookForecast(f)
	if f, _ = env.forecastOf(3, full); f.First != 4*time.Second {
		t.Errorf("first start after %v, with a job accepted since the profile was built; want 4 s", f.First)
	}
	env.submitJob(2, testQueue, full)
	env.submitJob(3, testQueue, full)
	env.advance(forecastInterval)
	env.reportAll()
	if f, _ = env.forecastOf(4, full); f.First < 5900*time.Millisecond || f.First > 6*time.Second {
		t.Errorf("first start after %v behind two waiting steps of 2 s", f.First)
	}
	urgent := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: 100 * time.Millisecond}
	if f, _ = env.forecastOf(5, urgent); f.First < 1900*time.Millisecond || f.First > 2*time.Second {
		t.Errorf("first start after %v of a short job that starts ahead of the waiting steps", f.First)
	}
	if first, second := env.cell.RetryAfter(f), env.cell.RetryAfter(f); first < time.Second || second < first {
		t.Errorf("retries after %v and %v", first, second)
	}
}

// Guards against refusals because of a profile that doesn't contain a run's early end.
func TestForecastSeesEarlyEnds(t *testing.T) {
	env := newForecastEnv(t)
	full := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: 20 * time.Second}
	env.submitJob(1, testQueue, full)
	starts := env.runCycle()
	env.confirmStarts(starts)
	small := work.Step{TaskCount: 1, TaskResources: cpus(32), Estimate: 100 * time.Millisecond}
	if f, _ := env.forecastOf(2, small); f.FreeNow {
		t.Fatalf("forecast %+v on a full cell", f)
	}
	env.advance(10 * time.Millisecond) // the profile is kept
	env.report(starts[0].Start.To.ID, nil, ended(1, starts[0].Start.Run, platform.EndDone))
	if f, _ := env.forecastOf(3, small); !f.FreeNow {
		t.Errorf("forecast %+v after an executor has become free", f)
	}
}

// Guards against forecasts that ignore the later steps of accepted jobs.
func TestForecastContainsStepsToCome(t *testing.T) {
	env := newForecastEnv(t)
	full := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: 2 * time.Second}
	second := full
	second.DependsOn = []int{0}
	env.submit(&work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{full, second}})
	env.confirmStarts(env.runCycle())
	long := full
	long.Estimate = 10 * time.Second // its latest start is later
	if f, _ := env.forecastOf(2, long); f.First != 4*time.Second {
		t.Errorf("first start after %v behind two steps of 2 s", f.First)
	}
}

// Guards against a job in excess of its workspace's weight that is placed ahead of others.
func TestForecastOfJobInExcess(t *testing.T) {
	env := newForecastEnv(t)
	config := testQueueConfig()
	config.Workspaces.Add(queue.Workspace{ID: 7, Name: "w", Weight: 1}, nil)
	env.configure = func() *queue.Configuration { return config }
	env.cell.Configure(config)
	full := work.Step{TaskCount: 2, TaskResources: cpus(32), Estimate: time.Second}
	for n := range byte(2) {
		env.submitJob(n+1, testQueue, full)
	}
	j := &work.Job{ID: work.ID{9}, Queue: testQueue, Service: testService, AcceptedMs: env.now.UnixMilli(), Workspace: 7, Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(1), Estimate: 100 * time.Millisecond}}}
	forecastOf := func() *JobForecast {
		f, _ := env.cell.Forecast(j, config.QueueNamed(testQueue), 0, env.now.UnixMilli(), env.now)
		return f
	}
	if f := forecastOf(); f.InExcess || f.First != 0 {
		t.Errorf("forecast %+v of the first job of a second", f)
	}
	env.cell.workspaceOf(7).takeJobToken(env.now)
	if f := forecastOf(); !f.InExcess || f.First < time.Second {
		t.Errorf("forecast %+v of a job in excess, behind two steps of a second", f)
	}
}

// Guards against starts that aren't compared with their forecasts.
func TestForecastIsComparedWithStart(t *testing.T) {
	env := newForecastEnv(t)
	step := work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second}
	f, _ := env.forecastOf(1, step)
	env.cell.BookForecast(f)
	env.submitJob(1, testQueue, step)
	starts := env.runCycle()
	env.advance(50 * time.Millisecond)
	env.confirmStarts(starts)
	got := env.cell.forecasts.accuracy.Take()
	if len(got) != 1 || got[0].Starts != 1 || got[0].Accurate != 1 || got[0].P50 != -50*time.Millisecond {
		t.Errorf("accuracy %+v of a start 50 ms after its forecast", got)
	}
	if len(env.cell.forecasts.expected) != 0 {
		t.Error("the forecast is kept after the start")
	}
}
