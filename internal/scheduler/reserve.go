package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/skylarklock/skylarklock/api"
)

// Errors of World.Reserve.
var (
	ErrUnknownJob           = errors.New("scheduler: job not known")
	ErrTaskNotPending       = errors.New("scheduler: task not pending")
	ErrVMNotSchedulable     = errors.New("scheduler: VM not listed or takes no work")
	ErrInsufficientCapacity = errors.New("scheduler: task does not fit the VM")
	ErrQuotaExceeded        = errors.New("scheduler: quota of the team exceeded")
	ErrConstraintViolated   = errors.New("scheduler: VM refused by the job's constraints")
)

// Reserve reserves room on a VM for a pending task and returns its start. It
// checks capacity, quota and the job's constraints; on an error nothing
// changed. It serves schedulers other than this package's, which are
// measured against it.
func (w *State) Reserve(task api.TaskID, vm api.VMID, now time.Time) (Start, error) {
	j := w.jobs[task.Job]
	v := w.vms[vm]
	switch {
	case j == nil:
		return Start{}, ErrUnknownJob
	case len(j.pending) == 0 || j.pending[0] != task.Index:
		return Start{}, ErrTaskNotPending
	case v == nil || !v.open():
		return Start{}, ErrVMNotSchedulable
	case !j.need().Fits(v.spare()):
		return Start{}, ErrInsufficientCapacity
	case !j.team.allows(j.need()):
		return Start{}, ErrQuotaExceeded
	case j.Avoid[vm] || !j.spreadAllows(v) || !j.mayUse(v.DataCentre):
		return Start{}, ErrConstraintViolated
	}
	h := w.reserve(j, v, now)
	return Start{Task: h.task, VM: v.ID, Resources: h.resources}, nil
}

// VMs returns the listed VMs in order of their names.
func (w *State) VMs() []api.VMID {
	ids := make([]api.VMID, 0, len(w.vms))
	for id, v := range w.vms {
		if v.known {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// QueuedJobs returns the jobs with pending tasks in the order they came.
func (w *State) QueuedJobs() []Job {
	queued := make([]*jobState, 0, w.queue.jobs)
	for _, j := range w.jobs {
		if len(j.pending) > 0 {
			queued = append(queued, j)
		}
	}
	slices.SortFunc(queued, func(a, b *jobState) int { return cmp.Compare(a.sequence, b.sequence) })
	jobs := make([]Job, len(queued))
	for i, j := range queued {
		jobs[i] = j.Job
		jobs[i].Pending = slices.Clone(j.pending)
	}
	return jobs
}

// reserve takes room on v for the next pending task of j.
func (w *State) reserve(j *jobState, v *vmState, now time.Time) *holding {
	h := &holding{
		task:           api.TaskID{Job: j.Spec.ID, Index: j.pending[0]},
		vm:             v,
		team:           j.team,
		resources:      j.need(),
		started:        now.UnixNano(),
		end:            expectedEnd(now, j.runTime()),
		priority:       int32(j.Spec.Priority),
		class:          j.Spec.Class,
		checkpointable: j.Spec.Checkpointable,
		reserved:       true,
	}
	w.hold(h)
	w.usual.add(h.resources)
	w.queue.setPending(j, j.pending[1:])
	j.since = now
	switch {
	case len(j.pending) == 0:
		w.dequeue(j)
		j.risen = 0
	case j.risen > 0 && !j.isGang():
		w.queue.remove(j)
		j.risen = 0
		w.queue.add(j)
	}
	return h
}

// start reserves room on v and adds the start to the plan.
func (c *cycle) start(j *jobState, v *vmState) *holding {
	c.world.settleNomination(j, v)
	h := c.world.reserve(j, v, c.now)
	j.verdict = verdict{}
	c.plan.Starts = append(c.plan.Starts, Start{
		Task:      h.task,
		VM:        v.ID,
		Resources: h.resources,
		Gang:      j.isGang(),
	})
	return h
}

func expectedEnd(now time.Time, runTime time.Duration) int64 {
	if runTime <= 0 {
		return 0
	}
	return now.Add(runTime).UnixNano()
}
