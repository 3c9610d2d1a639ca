package placement_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/fleet"
	"github.com/skylarklock/skylarklock/internal/controller/placement"
	"github.com/skylarklock/skylarklock/internal/controller/recovery"
	"github.com/skylarklock/skylarklock/internal/controller/vms"
	"github.com/skylarklock/skylarklock/internal/controller/worker"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/scheduler"
	standin "github.com/skylarklock/skylarklock/internal/standin/worker"
)

const dc = api.DataCentre("bne1")

// testCell is one data centre without network connections and with a simulated log.
type testCell struct {
	t       *testing.T
	machine *cell.StateMachine
	list    *fakeVMList
	workers map[api.VMID]*standin.VM

	mu            sync.Mutex
	epoch         api.Epoch
	takeover      time.Time
	offset        platform.Offset
	rng           *rand.Rand // draws message and log faults; nil for none
	logDown       bool
	hanging       map[api.VMID]bool // VMs that messages don't reach; each exchange with them times out
	lateMessages  sync.WaitGroup
	exchangeCount int  // number of exchanges requested
	vmFaults      bool // VMs restart and freeze, so the end of a task can be lost with its VM
}

func (c *testCell) isLogDown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.logDown
}

func (c *testCell) setLogDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logDown = down
}

func (c *testCell) isHanging(id api.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hanging[id]
}

// drawFault draws whether a message or append fails.
func (c *testCell) drawFault(percent int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng != nil && c.rng.IntN(100) < percent
}

func (c *testCell) CellEpoch() api.Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

func (c *testCell) Cell(time.Time) (api.Epoch, bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, true, c.takeover
}

func (c *testCell) Propose(_ context.Context, e journal.Entry) error {
	time.Sleep(5 * time.Millisecond) // virtual round-trip time to the log
	for c.isLogDown() {
		time.Sleep(100 * time.Millisecond)
	}
	if c.drawFault(10) {
		return journal.ErrNotWritten
	}
	c.mu.Lock()
	c.offset++
	pos := journal.Position{Offset: c.offset}
	c.mu.Unlock()
	return c.machine.Apply(pos, e)
}

func (c *testCell) Sync(ctx context.Context, vm api.VM, msg platform.WorkerSync) (platform.WorkerReport, error) {
	c.mu.Lock()
	c.exchangeCount++
	c.mu.Unlock()
	w := c.workers[vm.ID]
	if w == nil {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if c.isHanging(vm.ID) {
		<-ctx.Done()
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	if c.drawFault(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if c.drawFault(5) { // the message arrives late, or twice: now and late
		c.mu.Lock()
		delay := time.Duration(c.rng.IntN(8000)) * time.Millisecond
		c.mu.Unlock()
		c.lateMessages.Go(func() {
			time.Sleep(delay)
			_, _ = w.Sync(msg)
		})
		if c.drawFault(70) {
			return platform.WorkerReport{}, platform.ErrWorkerUncertain
		}
	}
	if w.IsFrozen() || c.drawFault(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	report, err := w.Sync(msg)
	if c.drawFault(10) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	return report, err
}

func (c *testCell) Inc(string, api.Reason)                                      {}
func (c *testCell) ObserveReport(api.VMID, platform.TaskReport)                 {}
func (c *testCell) ObserveEnd(api.VMID, api.TaskID, uint32, cell.AttemptStatus) {}
func (c *testCell) TakeThrottles(api.VMID) []platform.TaskStop                  { return nil }
func (c *testCell) Quarantined(api.VMID) bool                                   { return false }
func (c *testCell) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	return spec.Resources, spec.RunTime
}
func (c *testCell) VMsToAvoid(api.JobID) map[api.VMID]bool { return nil }

type fakeVMList struct {
	mu  sync.Mutex
	vms []api.VM
}

func (l *fakeVMList) List(context.Context, api.DataCentre) ([]api.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]api.VM(nil), l.vms...), nil
}

func (l *fakeVMList) replace(vms []api.VM) []api.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.vms
	l.vms = vms
	return old
}

func (l *fakeVMList) markLeaving(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[i].State = api.VMLeaving
}

// firstFitState is a minimal SchedulerState that places tasks on the first VM that fits.
type firstFitState struct {
	order     []api.VMID
	vms       map[api.VMID]scheduler.VM
	jobs      map[api.JobID]scheduler.Job
	allocated map[api.TaskID]scheduler.RunningTask
}

func newFirstFitState() placement.SchedulerState {
	return &firstFitState{vms: map[api.VMID]scheduler.VM{}, jobs: map[api.JobID]scheduler.Job{}, allocated: map[api.TaskID]scheduler.RunningTask{}}
}

func (s *firstFitState) PutVM(vm scheduler.VM) {
	if _, ok := s.vms[vm.ID]; !ok {
		s.order = append(s.order, vm.ID)
	}
	s.vms[vm.ID] = vm
}
func (s *firstFitState) RemoveVM(id api.VMID)           { delete(s.vms, id) }
func (s *firstFitState) PutJob(j scheduler.Job)         { s.jobs[j.Spec.ID] = j }
func (s *firstFitState) RemoveJob(id api.JobID)         { delete(s.jobs, id) }
func (s *firstFitState) Occupy(r scheduler.RunningTask) { s.allocated[r.Task] = r }
func (s *firstFitState) Vacate(id api.TaskID)           { delete(s.allocated, id) }
func (s *firstFitState) Release(id api.TaskID)          { delete(s.allocated, id) }

func (s *firstFitState) Cycle(_ time.Time, maxStarts int) scheduler.Plan {
	var p scheduler.Plan
	for id, j := range s.jobs {
		var left []uint32
		for _, index := range j.Pending {
			task := api.TaskID{Job: id, Index: index}
			i := slices.IndexFunc(s.order, func(vm api.VMID) bool { return s.fits(vm, j.Estimate) })
			if i < 0 || len(p.Starts) >= maxStarts {
				left = append(left, index)
				continue
			}
			s.allocated[task] = scheduler.RunningTask{Task: task, VM: s.order[i], Resources: j.Estimate}
			p.Starts = append(p.Starts, scheduler.Start{Task: task, VM: s.order[i], Resources: j.Estimate, Gang: j.Spec.Class == api.ClassGang})
		}
		j.Pending = left
		s.jobs[id] = j
	}
	return p
}

func (s *firstFitState) fits(id api.VMID, need api.Resources) bool {
	vm, ok := s.vms[id]
	if !ok || !vm.Schedulable {
		return false
	}
	free := vm.Capacity
	for _, r := range s.allocated {
		if r.VM == id {
			free = free.Sub(r.Resources)
		}
	}
	return need.Fits(free)
}

// runCell calls f with a cell of n VMs while the controllers run.
func runCell(t *testing.T, n int, f func(c *testCell)) { runCellWith(t, n, newFirstFitState, f) }

// runCellWith is runCell with the given scheduler state.
func runCellWith(t *testing.T, n int, newState func() placement.SchedulerState, f func(c *testCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := &testCell{t: t, epoch: 1, takeover: time.Now(), list: &fakeVMList{}, workers: map[api.VMID]*standin.VM{}}
		c.machine = cell.New(c, c)
		capacity := api.Resources{MilliCPU: 4000, MemoryMB: 4096}
		for i := range n {
			id := api.VMID(fmt.Sprintf("vm-%d", i))
			c.workers[id] = standin.New(id, capacity, time.Now, 0)
			c.list.vms = append(c.list.vms, api.VM{ID: id, DataCentre: dc, Rack: "r1", Address: "x", Capacity: capacity, State: api.VMLive})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		params := lease.Params{Lease: 6 * time.Second, Hold: 2 * time.Second, Drift: 0.001}
		directory := vms.New(vms.DefaultConfig(dc), c.list, nil, c.machine, c, c, c, log, time.Now)
		workers := worker.New(worker.DefaultConfig(params), c.machine, c, c, directory, c, c, c, log, time.Now)
		vmSource := fleet.New(dc, c.machine, directory, workers, c)
		placements := placement.New(placement.DefaultConfig(dc), newState, c.machine, c, c, vmSource, c, c, log, time.Now)
		recoveries := recovery.New(recovery.DefaultConfig(), c.machine, c, c, vmSource, c, log, time.Now)
		var running sync.WaitGroup
		for _, c := range []interface{ Run(context.Context) error }{directory, workers, placements, recoveries} {
			running.Go(func() { _ = c.Run(ctx) })
		}
		time.Sleep(5 * time.Second) // until every VM accepts starts, so that each run of the test places tasks in the same way
		f(c)
		cancel()
		running.Wait()
		c.lateMessages.Wait()
		c.checkRuns()
	})
}

// checkRuns verifies the runs that the VMs recorded: capacities are respected, no task
// runs twice at once, and none completes twice unless VMs fail.
func (c *testCell) checkRuns() {
	c.t.Helper()
	byTask := map[api.TaskID][]standin.Run{}
	for id, w := range c.workers {
		record := w.Record()
		if !record.MaxInUse.Fits(record.Capacity) {
			c.t.Errorf("VM %s used %v, more than its capacity %v", id, record.MaxInUse, record.Capacity)
		}
		for _, r := range record.Runs {
			for _, other := range byTask[r.Task] {
				if overlap(r, other) {
					c.t.Errorf("task %v ran twice at once: %+v and %+v", r.Task, r, other)
				}
			}
			if !c.vmFaults && r.State == platform.RunSucceeded && slices.ContainsFunc(byTask[r.Task], hasSucceeded) {
				c.t.Errorf("task %v completed twice", r.Task)
			}
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
}

func hasSucceeded(r standin.Run) bool { return r.State == platform.RunSucceeded }

func overlap(a, b standin.Run) bool {
	far := time.Now().Add(time.Hour)
	endA, endB := a.End, b.End
	if endA.IsZero() {
		endA = far
	}
	if endB.IsZero() {
		endB = far
	}
	return a.Start.Before(endB) && b.Start.Before(endA)
}

func (c *testCell) submit(spec api.JobSpec) {
	c.t.Helper()
	if err := c.Propose(c.t.Context(), cell.SubmitEntry(spec, 0)); err != nil {
		c.t.Fatal(err)
	}
}

// await waits in virtual time until n tasks of a job are in the given state.
func (c *testCell) await(id api.JobID, state api.TaskState, n uint32, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for {
		job, _ := c.machine.Job(id)
		if job.Counts[state] == n {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("job %s has task counts %v, want %d %s", id, job.Counts, n, state)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func batchSpec(id api.JobID, tasks uint32, runTime time.Duration) api.JobSpec {
	return api.JobSpec{
		ID: id, Class: api.ClassBatch, Priority: api.PriorityDefault, Tasks: tasks,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: runTime, Checkpointable: true,
	}
}
