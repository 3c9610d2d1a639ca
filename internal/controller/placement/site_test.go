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

// bench is one data centre with everything but sockets and the real log.
type bench struct {
	t       *testing.T
	machine *cell.StateMachine
	list    *list
	workers map[api.VMID]*standin.VM

	mu       sync.Mutex
	epoch    api.Epoch
	takeover time.Time
	offset   platform.Offset
	rng      *rand.Rand // nil: nothing fails on the way
	logDown  bool
	hanging  map[api.VMID]bool // messages to them are swallowed
	late     sync.WaitGroup
	syncs    int  // exchanges that were asked for
	vmFaults bool // VMs restart and freeze: the end of a task can be lost with its VM
}

func (b *bench) down() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.logDown
}

func (b *bench) setDown(down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.logDown = down
}

func (b *bench) hangs(id api.VMID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hanging[id]
}

// chance draws whether something fails.
func (b *bench) chance(percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rng != nil && b.rng.IntN(100) < percent
}

func (b *bench) CellEpoch() api.Epoch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch
}

func (b *bench) Cell(time.Time) (api.Epoch, bool, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch, true, b.takeover
}

func (b *bench) Propose(_ context.Context, e journal.Entry) error {
	time.Sleep(5 * time.Millisecond) // virtual: the way to the log and back
	for b.down() {
		time.Sleep(100 * time.Millisecond)
	}
	if b.chance(10) {
		return journal.ErrNotWritten
	}
	b.mu.Lock()
	b.offset++
	pos := journal.Position{Offset: b.offset}
	b.mu.Unlock()
	return b.machine.Apply(pos, e)
}

func (b *bench) Sync(ctx context.Context, vm api.VM, msg platform.WorkerSync) (platform.WorkerReport, error) {
	b.mu.Lock()
	b.syncs++
	b.mu.Unlock()
	w := b.workers[vm.ID]
	if w == nil {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if b.hangs(vm.ID) {
		<-ctx.Done()
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	if b.chance(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	if b.chance(5) { // arrives late, sometimes beside a copy in time
		b.mu.Lock()
		delay := time.Duration(b.rng.IntN(8000)) * time.Millisecond
		b.mu.Unlock()
		b.late.Go(func() {
			time.Sleep(delay)
			_, _ = w.Sync(msg)
		})
		if b.chance(70) {
			return platform.WorkerReport{}, platform.ErrWorkerUncertain
		}
	}
	if w.IsFrozen() || b.chance(5) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	report, err := w.Sync(msg)
	if b.chance(10) {
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	return report, err
}

func (b *bench) Inc(string, api.Reason)                              {}
func (b *bench) ObserveReport(api.VMID, platform.TaskReport)         {}
func (b *bench) ObserveEnd(api.VMID, api.TaskID, cell.AttemptStatus) {}
func (b *bench) TakeThrottles(api.VMID) []platform.TaskStop          { return nil }
func (b *bench) Quarantined(api.VMID) bool                           { return false }
func (b *bench) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	return spec.Resources, spec.RunTime
}
func (b *bench) VMsToAvoid(api.JobID) map[api.VMID]bool { return nil }

type list struct {
	mu  sync.Mutex
	vms []api.VM
}

func (l *list) List(context.Context, api.DataCentre) ([]api.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]api.VM(nil), l.vms...), nil
}

func (l *list) replace(vms []api.VM) []api.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.vms
	l.vms = vms
	return old
}

func (l *list) leave(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms[i].State = api.VMLeaving
}

// firstFit is the least World that places anything.
type firstFit struct {
	order []api.VMID
	vms   map[api.VMID]scheduler.VM
	jobs  map[api.JobID]scheduler.Job
	held  map[api.TaskID]scheduler.RunningTask
}

func newFirstFit() placement.SchedulerState {
	return &firstFit{vms: map[api.VMID]scheduler.VM{}, jobs: map[api.JobID]scheduler.Job{}, held: map[api.TaskID]scheduler.RunningTask{}}
}

func (w *firstFit) PutVM(vm scheduler.VM) {
	if _, ok := w.vms[vm.ID]; !ok {
		w.order = append(w.order, vm.ID)
	}
	w.vms[vm.ID] = vm
}
func (w *firstFit) RemoveVM(id api.VMID)           { delete(w.vms, id) }
func (w *firstFit) PutJob(j scheduler.Job)         { w.jobs[j.Spec.ID] = j }
func (w *firstFit) RemoveJob(id api.JobID)         { delete(w.jobs, id) }
func (w *firstFit) Occupy(r scheduler.RunningTask) { w.held[r.Task] = r }
func (w *firstFit) Vacate(id api.TaskID)           { delete(w.held, id) }
func (w *firstFit) Release(id api.TaskID)          { delete(w.held, id) }

func (w *firstFit) Cycle(_ time.Time, maxStarts int) scheduler.Plan {
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
			w.held[task] = scheduler.RunningTask{Task: task, VM: w.order[i], Resources: j.Estimate}
			p.Starts = append(p.Starts, scheduler.Start{Task: task, VM: w.order[i], Resources: j.Estimate, Gang: j.Spec.Class == api.ClassGang})
		}
		j.Pending = left
		w.jobs[id] = j
	}
	return p
}

func (w *firstFit) fits(id api.VMID, need api.Resources) bool {
	vm, ok := w.vms[id]
	if !ok || !vm.Schedulable {
		return false
	}
	free := vm.Capacity
	for _, r := range w.held {
		if r.VM == id {
			free = free.Sub(r.Resources)
		}
	}
	return need.Fits(free)
}

// run builds a bench of n VMs and calls f while the controllers run.
func run(t *testing.T, n int, f func(b *bench)) { runWith(t, n, newFirstFit, f) }

// runWith is run with the world of the caller's choice.
func runWith(t *testing.T, n int, newWorld func() placement.SchedulerState, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, epoch: 1, takeover: time.Now(), list: &list{}, workers: map[api.VMID]*standin.VM{}}
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
		dir := vms.New(vms.DefaultConfig(dc), b.list, nil, b.machine, b, b, b, log, time.Now)
		syncs := worker.New(worker.DefaultConfig(params), b.machine, b, b, dir, b, b, b, log, time.Now)
		view := fleet.New(dc, b.machine, dir, syncs, b)
		places := placement.New(placement.DefaultConfig(dc), newWorld, b.machine, b, b, view, b, b, log, time.Now)
		recovers := recovery.New(recovery.DefaultConfig(), b.machine, b, b, view, b, log, time.Now)
		var running sync.WaitGroup
		for _, c := range []interface{ Run(context.Context) error }{dir, syncs, places, recovers} {
			running.Go(func() { _ = c.Run(ctx) })
		}
		time.Sleep(5 * time.Second) // until every VM takes starts, so that the first fit is the same in every run
		f(b)
		cancel()
		running.Wait()
		b.late.Wait()
		b.checkTruth()
	})
}

// checkTruth compares what the VMs really did with the rules.
func (b *bench) checkTruth() {
	b.t.Helper()
	byTask := map[api.TaskID][]standin.Run{}
	for id, w := range b.workers {
		record := w.Record()
		if !record.MaxInUse.Fits(record.Capacity) {
			b.t.Errorf("VM %s held %v of %v", id, record.MaxInUse, record.Capacity)
		}
		for _, r := range record.Runs {
			for _, other := range byTask[r.Task] {
				if overlap(r, other) {
					b.t.Errorf("task %v ran twice at once: %+v and %+v", r.Task, r, other)
				}
			}
			if !b.vmFaults && r.State == platform.RunSucceeded && slices.ContainsFunc(byTask[r.Task], succeeded) {
				b.t.Errorf("task %v ran to its end twice", r.Task)
			}
			byTask[r.Task] = append(byTask[r.Task], r)
		}
	}
}

func succeeded(r standin.Run) bool { return r.State == platform.RunSucceeded }

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

func (b *bench) submit(spec api.JobSpec) {
	b.t.Helper()
	if err := b.Propose(b.t.Context(), cell.SubmitEntry(spec, 0)); err != nil {
		b.t.Fatal(err)
	}
}

// await waits in virtual time until n tasks of a job are in a state.
func (b *bench) await(id api.JobID, state api.TaskState, n uint32, within time.Duration) {
	b.t.Helper()
	deadline := time.Now().Add(within)
	for {
		job, _ := b.machine.Job(id)
		if job.Counts[state] == n {
			return
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("job %s: %v, want %d %s", id, job.Counts, n, state)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func batch(id api.JobID, tasks uint32, runTime time.Duration) api.JobSpec {
	return api.JobSpec{
		ID: id, Class: api.ClassBatch, Priority: api.PriorityDefault, Tasks: tasks,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, RunTime: runTime, Checkpointable: true,
	}
}
