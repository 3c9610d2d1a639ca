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

// feed keeps one world in step with the machine during one tenure. It is
// used by the loop only.
type feed struct {
	c        *Controller
	epoch    api.Epoch
	takeover time.Time
	world    SchedulerState

	jobs     map[api.JobID]time.Time // known to the world, with the time of learning
	dirty    map[api.JobID]bool      // to be put again
	inFlight map[api.TaskID]bool     // planned, neither applied nor refused
	moving   map[api.TaskID]bool     // preemption proposed
	vms      map[api.VMID]scheduler.VM
	vmsAt    time.Time
	cycledAt time.Time
	waits    map[api.JobID]cell.WaitReason // of jobs known to the world
	dropped  bool                          // a note was dropped since the last cycle
}

// newFeed builds a world from the whole state. It needs the machine's View.
func newFeed(c *Controller, epoch api.Epoch, takeover, now time.Time) *feed {
	f := &feed{
		c:        c,
		epoch:    epoch,
		takeover: takeover,
		world:    c.newWorld(),
		jobs:     make(map[api.JobID]time.Time),
		dirty:    make(map[api.JobID]bool),
		inFlight: make(map[api.TaskID]bool),
		moving:   make(map[api.TaskID]bool),
		vms:      make(map[api.VMID]scheduler.VM),
		waits:    make(map[api.JobID]cell.WaitReason),
		dropped:  true, // what an earlier tenure noted
	}
	f.refreshVMs(now)
	for _, id := range c.machine.Jobs() {
		f.addJob(id, now)
		for _, h := range c.machine.AllocatedTasks(id) {
			f.occupy(h.Task, h.VM, h.Resources, now)
		}
	}
	return f
}

func (f *feed) addJob(id api.JobID, now time.Time) {
	if _, known := f.jobs[id]; !known {
		f.jobs[id] = now
	}
	f.dirty[id] = true
}

func (f *feed) dropJob(id api.JobID) {
	if _, known := f.jobs[id]; !known {
		return
	}
	delete(f.jobs, id)
	delete(f.dirty, id)
	f.dropWait(id)
	f.world.RemoveJob(id)
}

// event feeds one applied change to the world.
func (f *feed) event(e cell.Event, now time.Time) {
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
		delete(f.moving, e.Task)
		f.world.Vacate(e.Task)
		f.touch(e.Task.Job)
	case cell.EventTaskAdded:
		f.touch(e.Task.Job)
	case cell.EventVMObserved, cell.EventVMRemoved:
		f.vmsAt = time.Time{}
	}
}

// touch has a job put again, if it is still of interest.
func (f *feed) touch(id api.JobID) {
	if _, known := f.jobs[id]; known {
		f.dirty[id] = true
	}
}

func (f *feed) occupy(task api.TaskID, vm api.VMID, held api.Resources, now time.Time) {
	r := scheduler.RunningTask{Task: task, VM: vm, Resources: held, Started: now}
	if job, ok := f.c.machine.Job(task.Job); ok {
		r.Team = job.Spec.Team
		r.Class = job.Spec.Class
		r.Priority = job.Spec.Priority
		r.Checkpointable = job.Spec.Checkpointable
		if job.Spec.RunTime > 0 {
			r.ExpectedEnd = now.Add(job.Spec.RunTime)
		}
	}
	f.world.Occupy(r)
}

// refuse takes back planned starts that won't be applied.
func (f *feed) refuse(starts []cell.Start) {
	for _, s := range starts {
		f.release(s.Task)
	}
}

func (f *feed) release(task api.TaskID) {
	if !f.inFlight[task] {
		return
	}
	delete(f.inFlight, task)
	f.world.Release(task)
	f.touch(task.Job)
}

// refreshVMs puts the VMs that changed and reports whether any did.
func (f *feed) refreshVMs(now time.Time) bool {
	if !f.vmsAt.IsZero() && now.Sub(f.vmsAt) < f.c.cfg.VMRefreshInterval {
		return false
	}
	changed := false
	f.vmsAt = now
	fleet := f.c.fleet.VMs()
	present := make(map[api.VMID]bool, len(fleet))
	for _, vm := range fleet {
		present[vm.ID] = true
		if f.vms[vm.ID] != vm {
			f.vms[vm.ID] = vm
			f.world.PutVM(vm)
			changed = true
		}
	}
	for id := range f.vms {
		if !present[id] {
			delete(f.vms, id)
			f.world.RemoveVM(id)
			changed = true
		}
	}
	return changed
}

// putDirtyJobs puts the jobs whose pending tasks changed, in the order in
// which work is placed again, and reports whether there were any.
func (f *feed) putDirtyJobs() bool {
	var jobs []*ranked
	for id := range f.dirty {
		if view, ok := f.c.machine.Job(id); ok && !view.Ended && !view.Cancelled {
			jobs = append(jobs, &ranked{order: recovery.OrderOf(view, api.TaskID{Job: id}), view: view})
		}
	}
	clear(f.dirty)
	recovery.Sort(jobs, func(r *ranked) recovery.Order { return r.order })
	for _, r := range jobs {
		f.putJob(r.view)
	}
	return len(jobs) > 0
}

// ranked is a job with its place.
type ranked struct {
	order recovery.Order
	view  cell.JobView
}

func (f *feed) putJob(v cell.JobView) {
	id := v.Spec.ID
	estimate, runTime := f.c.advisor.Estimate(v.Spec)
	f.world.PutJob(scheduler.Job{
		Spec:      v.Spec,
		Submitted: f.jobs[id],
		Pending:   f.toPlace(id),
		Estimate:  estimate,
		RunTime:   runTime,
		Avoid:     f.c.advisor.VMsToAvoid(id),
	})
}

// toPlace lists the pending tasks of a job that are not planned already.
func (f *feed) toPlace(id api.JobID) []uint32 {
	if len(f.c.cfg.DataCentre) > 0 && !f.mayRunHere(id) {
		return nil
	}
	pending := f.c.machine.Pending(id)
	list := pending[:0]
	for _, index := range pending {
		if !f.inFlight[api.TaskID{Job: id, Index: index}] {
			list = append(list, index)
		}
	}
	return list
}

func (f *feed) mayRunHere(id api.JobID) bool {
	job, ok := f.c.machine.Job(id)
	if !ok || len(job.Spec.DataCentres) == 0 {
		return ok
	}
	for _, dc := range job.Spec.DataCentres {
		if dc == f.c.cfg.DataCentre {
			return true
		}
	}
	return false
}

// starts turns planned starts into batches; the starts of a gang stay in one.
func (f *feed) starts(planned []scheduler.Start, maxBatch int) [][]cell.Start {
	var batches [][]cell.Start
	var batch []cell.Start
	for i, p := range planned {
		newGang := p.Gang && (i == 0 || planned[i-1].Task.Job != p.Task.Job)
		if len(batch) >= maxBatch && (!p.Gang || newGang) {
			batches = append(batches, batch)
			batch = nil
		}
		view, ok := f.c.machine.Task(p.Task)
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

// preempts turns planned preemptions into stops, each task once.
func (f *feed) preempts(planned []scheduler.Preemption) []cell.Stop {
	var stops []cell.Stop
	for _, p := range planned {
		view, ok := f.c.machine.Task(p.Task)
		if !ok || !view.State.HoldsResources() || view.State == api.TaskStopping || f.moving[p.Task] {
			continue
		}
		f.moving[p.Task] = true
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

// wholeRejected reports whether no event will tell of the entry's starts.
func wholeRejected(err error) bool {
	if errors.Is(err, journal.ErrNotWritten) {
		return true
	}
	var r *cell.Rejection
	return errors.As(err, &r) && r.Task.Job == ""
}
