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

// world drives a cell on a clock of its own, in place of a leader's loops.
type world struct {
	t      *testing.T
	cell   *Cell
	now    time.Time
	stored map[work.ID]*work.Job
	saved  map[work.ID]*work.Progress // durable
	listed map[string]*fleet.Executor
	clock  platform.ExecutorClock
	epoch  api.Epoch
}

const (
	testQueue   = "q"
	testAdvised = "advised"
	testService = "svc"

	testAttempts = 2
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newWorld(t *testing.T, executors int) *world {
	w := &world{
		t:      t,
		now:    testStart,
		stored: make(map[work.ID]*work.Job),
		saved:  make(map[work.ID]*work.Progress),
		listed: make(map[string]*fleet.Executor),
		clock:  1000,
	}
	w.takeOver()
	for i := range executors {
		w.addExecutor(fmt.Sprintf("e%d", i))
	}
	return w
}

func testTable() *queue.Configuration {
	return &queue.Configuration{
		Queues: []queue.Queue{
			{Name: testQueue, Service: testService, MaxAttempts: testAttempts, Stretch: 2, TargetLatency: time.Second},
			{Name: testAdvised, Service: testService, MaxAttempts: testAttempts, Stretch: 2, TargetLatency: time.Second,
				Advice: &queue.Advice{DecisionTime: 10 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second}},
		},
		Services: map[string]queue.Service{testService: {Name: testService}},
	}
}

// takeOver replaces the cell by that of a new leader, which knows only what
// is durable.
func (w *world) takeOver() {
	lookup := func(id work.ID) *work.Job { return w.stored[id] }
	w.epoch++
	cfg := DefaultConfig()
	cfg.Epoch = w.epoch
	w.cell = NewCell(cfg, lookup, logging.Silent(), w.now)
	w.cell.Configure(testTable())
	for id, j := range w.stored {
		if p := w.saved[id]; p == nil || !p.State.Final() {
			w.cell.AddJob(j, p, w.now.UnixMilli(), w.now)
		}
	}
	w.cell.UpdateExecutors(w.listed, w.now)
}

// addExecutor registers an executor of 32 processors and has it report.
func (w *world) addExecutor(id string) {
	w.listed[id] = &fleet.Executor{
		Ref:      platform.ExecutorRef{ID: id, Address: "10.0.0.1:" + id},
		Service:  testService,
		Labels:   []string{"a", "rack-" + id},
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
	}
	w.cell.UpdateExecutors(w.listed, w.now)
	w.report(id, nil, nil)
}

func (w *world) report(id string, running []platform.RunningTask, ended []platform.EndedRun) {
	r := platform.ExecutorReport{Clock: w.clock, Running: running, Ended: ended}
	h, _ := w.cell.NextHold(id, HoldTerms{})
	w.cell.HandleReport(h, r, w.now, w.now)
}

// ref returns how the cell calls an executor.
func (w *world) ref(id string) platform.ExecutorRef {
	if v := w.cell.vms[id]; v != nil {
		return v.Ref
	}
	return platform.ExecutorRef{ID: id}
}

// reportAll has every executor report that all runs which it was given are at
// work.
func (w *world) reportAll() {
	for id, v := range w.cell.vms {
		var runs []platform.Run
		for run := range v.allocations {
			runs = append(runs, run)
		}
		w.report(id, running(runs...), nil)
	}
}

// pass lets time go by, on the executors' clocks too.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.clock = w.clock.Add(d)
}

// job hands in a job of one step.
func (w *world) job(n byte, queueName string, s work.Step) *work.Job {
	j := &work.Job{ID: work.ID{n}, Queue: queueName, Service: testService, AcceptedMs: w.now.UnixMilli(), Steps: []work.Step{s}}
	w.add(j)
	return j
}

func (w *world) add(j *work.Job) {
	w.stored[j.ID] = j
	w.cell.AddJob(j, w.saved[j.ID], w.now.UnixMilli(), w.now)
}

// save makes what is dirty durable.
func (w *world) save() {
	for _, r := range w.cell.TakeDirtyRecords() {
		w.saved[r.Job] = r.Progress
	}
}

// cycle plans, makes it durable and returns the orders.
func (w *world) cycle() []ConfirmedStart {
	w.cell.StartDueOccurrences(w.now.UnixMilli(), w.now)
	w.cell.DropExpired(w.now)
	starts := w.cell.Plan(w.now)
	w.save()
	return w.cell.Confirm(starts, w.now)
}

// checkClaims fails where a task counts claims that no executor of the cell holds: nothing
// would ever end them, and the task wouldn't start again.
func (w *world) checkClaims() {
	w.t.Helper()
	held := make(map[*task]int)
	for _, v := range w.cell.vms {
		for _, cl := range v.allocations {
			if cl.task != nil {
				held[cl.task]++
			}
		}
	}
	for _, j := range w.cell.jobs {
		for _, o := range j.activeOccurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					if t.allocations != held[t] {
						w.t.Errorf("task %v counts %d claims, and the executors hold %d", t.key(), t.allocations, held[t])
					}
				}
			}
		}
	}
}

// startAll has all orders answered as started.
func (w *world) startAll(orders []ConfirmedStart) {
	for _, o := range orders {
		w.cell.HandleStartAnswer(o.Start, nil, w.now)
	}
}

func cpus(n int64) api.Resources { return api.Resources{MilliCPU: n * 1000, MemoryMB: 100} }

func ended(number uint64, run platform.Run, how platform.EndReason) []platform.EndedRun {
	return []platform.EndedRun{{Number: number, Run: run, Reason: how}}
}

func running(runs ...platform.Run) []platform.RunningTask {
	var rows []platform.RunningTask
	for _, r := range runs {
		rows = append(rows, platform.RunningTask{Run: r, ProgressPercent: 100})
	}
	return rows
}
