package placement

import (
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller/recovery"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// stateFeed keeps the scheduler's state in sync with the state machine during one
// tenure. It is used only by the loop.
type stateFeed struct {
	controller *Controller
	epoch      api.Epoch
	takeover   time.Time
	state      SchedulerState

	jobs              map[api.JobID]time.Time // jobs in the scheduler's state, with the time of their addition
	dirty             map[api.JobID]bool      // jobs to update in the scheduler's state
	inFlight          map[api.TaskID]bool     // planned, neither applied nor rejected yet
	preempting        map[api.TaskID]bool     // a preemption was proposed
	vms               map[api.VMID]scheduler.VM
	vmsRefreshedAt    time.Time
	cycledAt          time.Time
	waitReasons       map[api.JobID]cell.WaitReason // of the jobs in the scheduler's state
	waitReasonDropped bool                          // a wait reason was dropped since the latest cycle
}

// newStateFeed builds the scheduler's state from the whole state machine. It must be
// called inside View.
func newStateFeed(c *Controller, epoch api.Epoch, takeover, now time.Time) *stateFeed {
	f := &stateFeed{
		controller:        c,
		epoch:             epoch,
		takeover:          takeover,
		state:             c.newState(),
		jobs:              make(map[api.JobID]time.Time),
		dirty:             make(map[api.JobID]bool),
		inFlight:          make(map[api.TaskID]bool),
		preempting:        make(map[api.TaskID]bool),
		vms:               make(map[api.VMID]scheduler.VM),
		waitReasons:       make(map[api.JobID]cell.WaitReason),
		waitReasonDropped: true, // replaces the wait reasons of an earlier tenure
	}
	f.refreshVMs(now)
	for _, id := range c.machine.Jobs() {
		f.addJob(id, now)
		for _, task := range c.machine.AllocatedTasks(id) {
			f.occupy(task.Task, task.VM, task.Resources, now)
		}
	}
	return f
}

func (f *stateFeed) addJob(id api.JobID, now time.Time) {
	if _, known := f.jobs[id]; !known {
		f.jobs[id] = now
	}
	f.dirty[id] = true
}

func (f *stateFeed) dropJob(id api.JobID) {
	if _, known := f.jobs[id]; !known {
		return
	}
	delete(f.jobs, id)
	delete(f.dirty, id)
	f.dropWaitReason(id)
	f.state.RemoveJob(id)
}

// applyEvent applies one event of the state machine to the scheduler's state.
func (f *stateFeed) applyEvent(e cell.Event, now time.Time) {
	switch e.Kind {
	case cell.EventJobSubmitted:
		f.addJob(e.Task.Job, now)
	case cell.EventJobCancelled, cell.EventJobEnded:
		f.dropJob(e.Task.Job)
	case cell.EventTaskStarted:
		delete(f.inFlight, e.Task)
		f.occupy(e.Task, e.VM, e.Resources, now)
	case cell.EventStartRejected:
		if e.Epoch == f.epoch {
			f.release(e.Task)
		}
	case cell.EventTaskFreed:
		delete(f.preempting, e.Task)
		f.state.Vacate(e.Task)
		f.markDirty(e.Task.Job)
	case cell.EventTaskAdded:
		f.markDirty(e.Task.Job)
	case cell.EventVMObserved, cell.EventVMRemoved:
		f.vmsRefreshedAt = time.Time{}
	}
}

// markDirty marks a job for an update if it is still in the scheduler's state.
func (f *stateFeed) markDirty(id api.JobID) {
	if _, known := f.jobs[id]; known {
		f.dirty[id] = true
	}
}

func (f *stateFeed) occupy(task api.TaskID, vm api.VMID, resources api.Resources, now time.Time) {
	r := scheduler.RunningTask{Task: task, VM: vm, Resources: resources, Started: now}
	if job, ok := f.controller.machine.Job(task.Job); ok {
		r.Team = job.Spec.Team
		r.Class = job.Spec.Class
		r.Priority = job.Spec.Priority
		r.Checkpointable = job.Spec.Checkpointable
		if job.Spec.RunTime > 0 {
			r.ExpectedEnd = now.Add(job.Spec.RunTime)
		}
	}
	f.state.Occupy(r)
}

// releaseStarts releases planned starts that will not be applied.
func (f *stateFeed) releaseStarts(starts []cell.Start) {
	for _, s := range starts {
		f.release(s.Task)
	}
}

func (f *stateFeed) release(task api.TaskID) {
	if !f.inFlight[task] {
		return
	}
	delete(f.inFlight, task)
	f.state.Release(task)
	f.markDirty(task.Job)
}

// refreshVMs updates the VMs that changed and reports whether there were any.
func (f *stateFeed) refreshVMs(now time.Time) bool {
	if !f.vmsRefreshedAt.IsZero() && now.Sub(f.vmsRefreshedAt) < f.controller.cfg.VMRefreshInterval {
		return false
	}
	changed := false
	f.vmsRefreshedAt = now
	fleet := f.controller.vmSource.VMs()
	present := make(map[api.VMID]bool, len(fleet))
	for _, vm := range fleet {
		present[vm.ID] = true
		if f.vms[vm.ID] != vm {
			f.vms[vm.ID] = vm
			f.state.PutVM(vm)
			changed = true
		}
	}
	for id := range f.vms {
		if !present[id] {
			delete(f.vms, id)
			f.state.RemoveVM(id)
			changed = true
		}
	}
	return changed
}

// putDirtyJobs updates the jobs whose pending tasks changed, in the order in which
// lost work is placed again, and reports whether there were any.
func (f *stateFeed) putDirtyJobs() bool {
	var jobs []*orderedJob
	for id := range f.dirty {
		if view, ok := f.controller.machine.Job(id); ok && !view.Ended && !view.Cancelled {
			jobs = append(jobs, &orderedJob{order: recovery.OrderOf(view, api.TaskID{Job: id}), view: view})
		}
	}
	clear(f.dirty)
	recovery.Sort(jobs, func(j *orderedJob) recovery.Order { return j.order })
	for _, j := range jobs {
		f.putJob(j.view)
	}
	return len(jobs) > 0
}

// orderedJob is a job with its position in the placement order.
type orderedJob struct {
	order recovery.Order
	view  cell.JobView
}

func (f *stateFeed) putJob(v cell.JobView) {
	id := v.Spec.ID
	estimate, runTime := f.controller.advisor.Estimate(v.Spec)
	f.state.PutJob(scheduler.Job{
		Spec:      v.Spec,
		Submitted: f.jobs[id],
		Pending:   f.pendingTasks(id),
		Estimate:  estimate,
		RunTime:   runTime,
		Avoid:     f.controller.advisor.VMsToAvoid(id),
	})
}

// pendingTasks returns the pending tasks of a job that are not planned yet.
func (f *stateFeed) pendingTasks(id api.JobID) []uint32 {
	if len(f.controller.cfg.DataCentre) > 0 && !f.mayRunHere(id) {
		return nil
	}
	pending := f.controller.machine.Pending(id)
	list := pending[:0]
	for _, index := range pending {
		if !f.inFlight[api.TaskID{Job: id, Index: index}] {
			list = append(list, index)
		}
	}
	return list
}

func (f *stateFeed) mayRunHere(id api.JobID) bool {
	job, ok := f.controller.machine.Job(id)
	if !ok || len(job.Spec.DataCentres) == 0 {
		return ok
	}
	for _, dc := range job.Spec.DataCentres {
		if dc == f.controller.cfg.DataCentre {
			return true
		}
	}
	return false
}

// starts splits planned starts into batches. The starts of a gang stay in one
// batch.
func (f *stateFeed) starts(planned []scheduler.Start, maxBatch int) [][]cell.Start {
	var batches [][]cell.Start
	var batch []cell.Start
	for i, p := range planned {
		isNewGang := p.Gang && (i == 0 || planned[i-1].Task.Job != p.Task.Job)
		if len(batch) >= maxBatch && (!p.Gang || isNewGang) {
			batches = append(batches, batch)
			batch = nil
		}
		view, ok := f.controller.machine.Task(p.Task)
		f.inFlight[p.Task] = true
		if !ok {
			f.release(p.Task)
			continue
		}
		batch = append(batch, cell.Start{
			Task:      p.Task,
			Attempt:   view.Attempt + 1,
			VM:        p.VM,
			Resources: p.Resources,
			Gang:      p.Gang,
		})
	}
	if len(batch) > 0 {
		batches = append(batches, batch)
	}
	return batches
}

// preemptionStops returns the stops for planned preemptions. Each task is stopped only
// once.
func (f *stateFeed) preemptionStops(planned []scheduler.Preemption) []cell.Stop {
	var stops []cell.Stop
	for _, p := range planned {
		view, ok := f.controller.machine.Task(p.Task)
		if !ok || !view.State.HoldsResources() || view.State == api.TaskStopping || f.preempting[p.Task] {
			continue
		}
		f.preempting[p.Task] = true
		stops = append(stops, cell.Stop{
			Task:       p.Task,
			Attempt:    view.Attempt,
			Checkpoint: true,
			Reason:     api.ReasonPreempted,
			Preemptor:  p.Preemptor,
		})
	}
	return stops
}

// isEntryRejected reports whether an entry of starts failed as a whole, so that no
// events will report the outcome of its starts.
func isEntryRejected(err error) bool {
	if errors.Is(err, journal.ErrNotWritten) {
		return true
	}
	var r *cell.Rejection
	return errors.As(err, &r) && r.Task.Job == ""
}
