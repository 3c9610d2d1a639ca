package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// testEnv drives a cell on a simulated clock in place of a leader's loops.
type testEnv struct {
	t             *testing.T
	cell          *Cell
	now           time.Time
	submittedJobs map[work.ID]*work.Job
	savedProgress map[work.ID]*work.Progress // durable progress of the jobs
	registry      map[string]*fleet.Executor
	executorClock platform.ExecutorClock
	epoch         api.Epoch
	configure     func() *queue.Configuration // returns the configuration in force
}

const (
	testQueue        = "q"
	testAdvisedQueue = "advised"
	testService      = "svc"

	testAttempts = 2
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestEnv(t *testing.T, executors int) *testEnv {
	env := &testEnv{
		t:             t,
		now:           testStart,
		submittedJobs: make(map[work.ID]*work.Job),
		savedProgress: make(map[work.ID]*work.Progress),
		registry:      make(map[string]*fleet.Executor),
		executorClock: 1000,
		configure:     testQueueConfig,
	}
	env.takeOver()
	for i := range executors {
		env.addExecutor(fmt.Sprintf("e%d", i))
	}
	return env
}

func testQueueConfig() *queue.Configuration {
	return &queue.Configuration{
		Queues: []queue.Queue{
			{Name: testQueue, Service: testService, MaxAttempts: testAttempts, Stretch: 2, TargetLatency: time.Second},
			{Name: testAdvisedQueue, Service: testService, MaxAttempts: testAttempts, Stretch: 2, TargetLatency: time.Second,
				Advice: &queue.Advice{DecisionTime: 10 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second}},
		},
		Services: map[string]queue.Service{testService: {Name: testService}},
	}
}

// takeOver replaces the cell by that of a new leader, which knows only what is durable.
func (env *testEnv) takeOver() {
	lookup := func(id work.ID) *work.Job { return env.submittedJobs[id] }
	env.epoch++
	cfg := DefaultConfig()
	cfg.Epoch = env.epoch
	env.cell = NewCell(cfg, lookup, logging.Nop(), env.now)
	env.cell.Configure(env.configure())
	for id, j := range env.submittedJobs {
		if p := env.savedProgress[id]; p == nil || !p.State.Final() {
			env.cell.AddJob(j, p, env.now.UnixMilli(), env.now)
		}
	}
	env.cell.UpdateExecutors(env.registry, env.now)
}

// addExecutor registers an executor of 32 processors and has it report.
func (env *testEnv) addExecutor(id string) {
	env.registry[id] = &fleet.Executor{
		Ref:      platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id},
		Service:  testService,
		Labels:   []string{"a", "rack-" + id},
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
	}
	env.cell.UpdateExecutors(env.registry, env.now)
	env.report(id, nil, nil)
}

// report has an executor report its running and ended runs.
func (env *testEnv) report(id string, running []platform.RunningTask, ended []platform.EndedRun) {
	r := platform.ExecutorReport{Clock: env.executorClock, Running: running, Ended: ended}
	h, _ := env.cell.NextHold(id, HoldTerms{})
	env.cell.HandleReport(h, r, env.now, env.now)
}

// executorRef returns the reference by which the cell calls an executor.
func (env *testEnv) executorRef(id string) platform.ExecutorRef {
	if v := env.cell.vms[id]; v != nil {
		return v.Ref
	}
	return platform.ExecutorRef{ID: id}
}

// reportAll has every executor report all runs allocated to it as running.
func (env *testEnv) reportAll() {
	for id, v := range env.cell.vms {
		var runs []platform.Run
		for run := range v.allocations {
			runs = append(runs, run)
		}
		env.report(id, running(runs...), nil)
	}
}

// advance advances the clocks of the leader and the executors.
func (env *testEnv) advance(d time.Duration) {
	env.now = env.now.Add(d)
	env.executorClock = env.executorClock.Add(d)
}

// submitJob submits a job with one step.
func (env *testEnv) submitJob(n byte, queueName string, s work.Step) *work.Job {
	j := &work.Job{ID: work.ID{n}, Queue: queueName, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{s}}
	env.submit(j)
	return j
}

// submitUnconfirmed adds a job with one step whose submission isn't stored yet.
func (env *testEnv) submitUnconfirmed(n byte, queueName string, s work.Step) *work.Job {
	j := &work.Job{ID: work.ID{n}, Queue: queueName, Service: testService, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{s}}
	env.cell.AddUnconfirmedJob(j, env.now.UnixMilli(), env.now)
	return j
}

// submit adds a job to the cell and to the jobs that a later leader reads.
func (env *testEnv) submit(j *work.Job) {
	env.submittedJobs[j.ID] = j
	env.cell.AddJob(j, env.savedProgress[j.ID], env.now.UnixMilli(), env.now)
}

// saveRecords makes the dirty records durable.
func (env *testEnv) saveRecords() {
	for _, r := range env.cell.TakeDirtyRecords() {
		env.savedProgress[r.Job] = r.Progress
	}
}

// runCycle plans, makes the records durable and returns the confirmed starts.
func (env *testEnv) runCycle() []ConfirmedStart {
	env.cell.StartDueOccurrences(env.now.UnixMilli(), env.now)
	env.cell.DropExpired(env.now)
	starts := env.cell.Plan(env.now)
	env.saveRecords()
	return env.cell.Confirm(starts, env.now)
}

// checkAllocations fails the test if a task counts allocations that no executor of the cell
// holds. Nothing would end these, and the task would never start again.
func (env *testEnv) checkAllocations() {
	env.t.Helper()
	allocated := make(map[*task]int)
	for _, v := range env.cell.vms {
		for _, alloc := range v.allocations {
			if alloc.task != nil {
				allocated[alloc.task]++
			}
		}
	}
	for _, j := range env.cell.jobs {
		for _, o := range j.activeOccurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if t.allocations != allocated[t] {
						env.t.Errorf("task %v counts %d allocations, the executors hold %d", t.key(), t.allocations, allocated[t])
					}
				}
			}
		}
	}
}

// confirmStarts has the executors answer that all orders were carried out.
func (env *testEnv) confirmStarts(orders []ConfirmedStart) {
	for _, o := range orders {
		env.cell.HandleStartAnswer(o.Start, nil, env.now)
	}
}

// cpus returns resources of n processors and little memory.
func cpus(n int64) api.Resources { return api.Resources{MilliCPU: n * 1000, MemoryMB: 100} }

// ended returns a list of one ended run for a report.
func ended(number uint64, run platform.Run, reason platform.EndReason) []platform.EndedRun {
	return []platform.EndedRun{{Number: number, Run: run, Reason: reason}}
}

// running returns a list of running tasks for a report, without known progress.
func running(runs ...platform.Run) []platform.RunningTask {
	var rows []platform.RunningTask
	for _, r := range runs {
		rows = append(rows, platform.RunningTask{Run: r, ProgressPercent: 100})
	}
	return rows
}
