package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/skylarklock/skylarklock/api"
)

// Errors returned by State.Reserve.
var (
	ErrUnknownJob           = errors.New("scheduler: unknown job")
	ErrTaskNotPending       = errors.New("scheduler: task is not the next pending task of its job")
	ErrVMNotSchedulable     = errors.New("scheduler: VM is not listed or not schedulable")
	ErrInsufficientCapacity = errors.New("scheduler: task does not fit the VM")
	ErrQuotaExceeded        = errors.New("scheduler: task exceeds the quota of its team")
	ErrConstraintViolated   = errors.New("scheduler: VM violates a constraint of the job")
)

// Reserve reserves capacity on a VM for the next pending task of a job and returns
// its start. It checks capacity, quota and the constraints of the job, and changes
// nothing if it returns an error. It is meant for other schedulers that are compared
// with the one of this package.
func (st *State) Reserve(task api.TaskID, vm api.VMID, now time.Time) (Start, error) {
	j := st.jobs[task.Job]
	v := st.vms[vm]
	switch {
	case j == nil:
		return Start{}, ErrUnknownJob
	case len(j.pending) == 0 || j.pending[0] != task.Index:
		return Start{}, ErrTaskNotPending
	case v == nil || !v.acceptsWork():
		return Start{}, ErrVMNotSchedulable
	case !j.need().Fits(v.available()):
		return Start{}, ErrInsufficientCapacity
	case !j.team.allows(j.need()):
		return Start{}, ErrQuotaExceeded
	case j.Avoid[vm] || !j.spreadAllows(v) || !j.mayUse(v.DataCentre):
		return Start{}, ErrConstraintViolated
	}
	alloc := st.reserve(j, v, now)
	return Start{Task: alloc.task, VM: v.ID, Resources: alloc.resources}, nil
}

// VMs returns the IDs of the listed VMs in ascending order.
func (st *State) VMs() []api.VMID {
	ids := make([]api.VMID, 0, len(st.vms))
	for id, v := range st.vms {
		if v.listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// QueuedJobs returns the jobs with pending tasks in order of arrival.
func (st *State) QueuedJobs() []Job {
	queued := make([]*jobState, 0, st.queue.jobs)
	for _, j := range st.jobs {
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

// reserve reserves capacity on v for the next pending task of j.
func (st *State) reserve(j *jobState, v *vmState, now time.Time) *allocation {
	alloc := &allocation{
		task:           api.TaskID{Job: j.Spec.ID, Index: j.pending[0]},
		vm:             v,
		team:           j.team,
		resources:      j.need(),
		started:        now.UnixNano(),
		expectedEnd:    expectedEndNanos(now, j.runTime()),
		priority:       int32(j.Spec.Priority),
		class:          j.Spec.Class,
		checkpointable: j.Spec.Checkpointable,
		reserved:       true,
	}
	st.addAllocation(alloc)
	st.averageStarted.add(alloc.resources)
	st.queue.setPending(j, j.pending[1:])
	j.waitingSince = now
	switch {
	case len(j.pending) == 0:
		st.dequeue(j)
		j.promotions = 0
	case j.promotions > 0 && !j.isGang():
		st.queue.remove(j)
		j.promotions = 0
		st.queue.add(j)
	}
	return alloc
}

// start reserves capacity on v for the next pending task of j and adds the start to
// the plan.
func (c *cycle) start(j *jobState, v *vmState) *allocation {
	c.state.consumeNomination(j, v)
	alloc := c.state.reserve(j, v, c.now)
	j.status = status{}
	c.plan.Starts = append(c.plan.Starts, Start{
		Task:      alloc.task,
		VM:        v.ID,
		Resources: alloc.resources,
		Gang:      j.isGang(),
	})
	return alloc
}

func expectedEndNanos(now time.Time, runTime time.Duration) int64 {
	if runTime <= 0 {
		return 0
	}
	return now.Add(runTime).UnixNano()
}
