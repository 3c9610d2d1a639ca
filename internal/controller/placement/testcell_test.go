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
	hanging       map[api.VMID]bool // VMs whose messages are swallowed
	lateMessages  sync.WaitGroup
	exchangeCount int  // number of exchanges requested
	vmFaults      bool // VMs restart and freeze, so the end of a task can be lost with its VM
}

func (b *testCell) isLogDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.logDown
}

func (b *testCell) setLogDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logDown = down
}

func (b *testCell) isHanging(id api.VMID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hanging[id]
}

// drawFault draws whether a message or append fails.
func (b *testCell) drawFault(percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng != nil && b.rng.IntN(100) < percent
}

func (b *testCell) CellEpoch() api.Epoch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch
}

func (b *testCell) Cell(time.Time) (api.Epoch, bool, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch, true, b.takeover
}

func (b *testCell) Propose(_ context.Context, e journal.Entry) error {
	time.Sleep(5 * time.Millisecond) // virtual round-trip time to the log
	for b.isLogDown() {
		time.Sleep(100 * time.Millisecond)
	}
	if b.drawFault(10) {
		return journal.ErrNotWritten
	}
	b.mu.Lock()
	b.offset++
	pos := journal.Position{Offset: b.offset}
	b.mu.Unlock()
	return b.machine.Apply(pos, e)
}

func (b *testCell) Sync(ctx context.Context, vm api.VM, msg platform.WorkerSync) (platform.WorkerReport, error) {
	b.mu.Lock()
	b.exchangeCount++
	b.mu.Unlock()
	w := b.workers[vm.ID]
	if w == nil {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if b.isHanging(vm.ID) {
		<-ctx.Done()
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	if b.drawFault(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if b.drawFault(5) { // a late message, sometimes as a duplicate of one in time
		b.mu.Lock()
		delay := time.Duration(b.rng.IntN(8000)) * time.Millisecond
		b.mu.Unlock()
		b.lateMessages.Go(func() {
			time.Sleep(delay)
			_, _ = w.Sync(msg)
		})
		if b.drawFault(70) {
			return platform.WorkerReport{}, platform.ErrWorkerUncertain
		}
	}
	if w.IsFrozen() || b.drawFault(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	report, err := w.Sync(msg)
	if b.drawFault(10) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	return report, err
}

func (b *testCell) Inc(string, api.Reason)                              {}
func (b *testCell) ObserveReport(api.VMID, platform.TaskReport)         {}
func (b *testCell) ObserveEnd(api.VMID, api.TaskID, cell.AttemptStatus) {}
func (b *testCell) TakeThrottles(api.VMID) []platform.TaskStop          { return nil }
func (b *testCell) Quarantined(api.VMID) bool                           { return false }
func (b *testCell) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	return spec.Resources, spec.RunTime
}
func (b *testCell) VMsToAvoid(api.JobID) map[api.VMID]bool { return nil }

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

func (w *firstFitState) PutVM(vm scheduler.VM) {
	if _, ok := w.vms[vm.ID]; !ok {
		w.order = append(w.order, vm.ID)
	}
	w.vms[vm.ID] = vm
}
func (w *firstFitState) RemoveVM(id api.VMID)           { delete(w.vms, id) }
func (w *firstFitState) PutJob(j scheduler.Job)         { w.jobs[j.Spec.ID] = j }
func (w *firstFitState) RemoveJob(id api.JobID)         { delete(w.jobs, id) }
func (w *firstFitState) Occupy(r scheduler.RunningTask) { w.allocated[r.Task] = r }
func (w *firstFitState) Vacate(id api.TaskID)           { delete(w.allocated, id) }
func (w *firstFitState) Release(id api.TaskID)          { delete(w.allocated, id) }

func (w *firstFitState) Cycle(_ time.Time, maxStarts int) scheduler.Plan {
	var p scheduler.Plan
	for id, j := range w.jobs {
		var left []uint32
		for _, index := range j.Pending {
			task := api.TaskID{Job: id, Index: index}
			i := slices.IndexFunc(w.order, func(vm api.VMID) bool { return w.fits(vm, j.Estimate) })
			if i < 0 || len(p.Starts) >= maxStarts {
				left = append(left, index)
				continue
			}
			w.allocated[task] = scheduler.RunningTask{Task: task, VM: w.order[i], Resources: j.Estimate}
			p.Starts = append(p.Starts, scheduler.Start{Task: task, VM: w.order[i], Resources: j.Estimate, Gang: j.Spec.Class == api.ClassGang})
		}
		j.Pending = left
		w.jobs[id] = j
	}
	return p
}

func (w *firstFitState) fits(id api.VMID, need api.Resources) bool {
	vm, ok := w.vms[id]
	if !ok || !vm.Schedulable {
		return false
	}
	free := vm.Capacity
	for _, r := range w.allocated {
		if r.VM == id {
			free = free.Sub(r.Resources)
		}
	}
	return need.Fits(free)
}

// runCell calls f with a cell of n VMs while the controllers run.
func runCell(t *testing.T, n int, f func(b *testCell)) { runCellWith(t, n, newFirstFitState, f) }

// runCellWith is runCell with the given scheduler state.
func runCellWith(t *testing.T, n int, newState func() placement.SchedulerState, f func(b *testCell)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testCell{t: t, epoch: 1, takeover: time.Now(), list: &fakeVMList{}, workers: map[api.VMID]*standin.VM{}}
		b.machine = cell.New(b, b)
		capacity := api.Resources{MilliCPU: 4000, MemoryMB: 4096}
		for i := range n {
			id := api.VMID(fmt.Sprintf("vm-%d", i))
			b.workers[id] = standin.New(id, capacity, time.Now, 0)
			b.list.vms = append(b.list.vms, api.VM{ID: id, DataCentre: dc, Rack: "r1", Address: "x", Capacity: capacity, State: api.VMLive})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		ctx, cancel := context.WithCancel(t.Context())
		params := lease.Params{Lease: 6 * time.Second, Hold: 2 * time.Second, Drift: 0.001}
		directory := vms.New(vms.DefaultConfig(dc), b.list, nil, b.machine, b, b, b, log, time.Now)
		workers := worker.New(worker.DefaultConfig(params), b.machine, b, b, directory, b, b, b, log, time.Now)
		vmSource := fleet.New(dc, b.machine, directory, workers, b)
		placements := placement.New(placement.DefaultConfig(dc), newState, b.machine, b, b, vmSource, b, b, log, time.Now)
		recoveries := recovery.New(recovery.DefaultConfig(), b.machine, b, b, vmSource, b, log, time.Now)
		var running sync.WaitGroup
		for _, c := range []interface{ Run(context.Context) error }{directory, workers, placements, recoveries} {
			running.Go(func() { _ = c.Run(ctx) })
		}
		time.Sleep(5 * time.Second) // until every VM accepts starts, so that every run places the same way
		f(b)
		cancel()
		running.Wait()
		b.lateMessages.Wait()
		b.checkRuns()
	})
}

// checkRuns verifies the runs that the VMs recorded: capacities are respected, no task
// runs twice at once, and none completes twice unless VMs fail.
func (b *testCell) checkRuns() {
	b.t.Helper()
	byTask := map[api.TaskID][]standin.Run{}
	for id, w := range b.workers {
		record := w.Record()
		if !record.MaxInUse.Fits(record.Capacity) {
			b.t.Errorf("VM %s used %v, more than its capacity %v", id, record.MaxInUse, record.Capacity)
		}
		for _, r := range record.Runs {
			for _, other := range byTask[r.Task] {
				if overlap(r, other) {
					b.t.Errorf("task %v ran twice at once: %+v and %+v", r.Task, r, other)
				}
			}
			if !b.vmFaults && r.State == platform.RunSucceeded && slices.ContainsFunc(byTask[r.Task], hasSucceeded) {
				b.t.Errorf("task %v completed twice", r.Task)
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

func (b *testCell) submit(spec api.JobSpec) {
	b.t.Helper()
	if err := b.Propose(b.t.Context(), cell.SubmitEntry(spec, 0)); err != nil {
		b.t.Fatal(err)
	}
}

// await waits in virtual time until n tasks of a job are in the given state.
func (b *testCell) await(id api.JobID, state api.TaskState, n uint32, within time.Duration) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for {
		job, _ := b.machine.Job(id)
		if job.Counts[state] == n {
			return
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("job %s has task counts %v, want %d %s", id, job.Counts, n, state)
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
