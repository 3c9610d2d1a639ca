package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// jobState is a job with its scheduling state.
type jobState struct {
	Job
	sequence     uint64 // order of arrival, breaks ties of submission times
	team         *teamState
	pending      []uint32
	band         int
	promotions   int       // priority bands gained by waiting
	waitingSince time.Time // when the job was submitted or its last task was placed
	queue        *shapeQueue
	removed      bool
	infeasible   bool // found to be unable to run
	spread       *spreadCount
	hold         *hold
	nominations  []*nomination
	status       status
}

// status is the result of the last attempt to place a task of a job.
type status struct {
	reason api.Reason // empty if placed or not yet tried
	detail string
}

// spreadCount counts the tasks of a job by VM and rack. Only jobs whose placement
// depends on these counts have one.
type spreadCount struct {
	vms   map[api.VMID]uint32
	racks map[string]uint32
}

// need returns the resources that each task is planned with.
func (j *jobState) need() api.Resources {
	if j.Estimate.IsZero() {
		return j.Spec.Resources
	}
	return j.Estimate
}

// runTime returns the expected run time of a task, or zero if unknown or unbounded.
func (j *jobState) runTime() time.Duration {
	if j.RunTime > 0 {
		return j.RunTime
	}
	return j.Spec.RunTime
}

func (j *jobState) isGang() bool {
	return j.Spec.Class == api.ClassGang
}

func (j *jobState) isBatch() bool {
	return j.Spec.Class == api.ClassBatch
}

// spreads reports whether the tasks of the job are spread rather than packed.
func (j *jobState) spreads() bool {
	return j.Spec.Class == api.ClassService || j.Spec.Class == api.ClassInteractive
}

func (j *jobState) isUrgent() bool {
	return j.Spec.Priority >= api.PriorityUrgent
}

func (j *jobState) countsSpread() bool {
	return j.spreads() || j.Spec.MaxPerRack > 0 || j.Spec.MaxPerVM > 0
}

// submittedBefore reports whether j was submitted before o.
func (j *jobState) submittedBefore(o *jobState) bool {
	if !j.Submitted.Equal(o.Submitted) {
		return j.Submitted.Before(o.Submitted)
	}
	return j.sequence < o.sequence
}

// PutJob adds a job or replaces it, keeping the time of its first submission.
// Tasks that already have an allocation are removed from its pending tasks.
func (st *State) PutJob(job Job) {
	j := st.jobs[job.Spec.ID]
	if j == nil {
		st.sequence++
		j = &jobState{sequence: st.sequence, waitingSince: job.Submitted}
		st.jobs[job.Spec.ID] = j
		st.replaceJob(j, job)
		return
	}
	job.Submitted = j.Submitted
	if len(j.pending) == 0 {
		j.waitingSince = st.lastCycle
	}
	if j.queue != nil && job.Spec.Tasks == j.Spec.Tasks && st.sameShape(j, job) {
		st.queue.setPending(j, st.unallocatedTasks(job))
		j.Job = job
		j.Job.Pending = nil
		switch {
		case len(j.pending) == 0:
			st.dequeue(j)
		case j.queue.shape.key.ownJob != "":
			st.retryShape(j.queue.shape) // the limits of the job may have changed
		}
		return
	}
	st.dequeue(j)
	st.replaceJob(j, job)
}

func (st *State) replaceJob(j *jobState, job Job) {
	j.Job = job
	j.Job.Pending = nil
	j.team = st.teamOf(job.Spec.Team)
	j.infeasible = false
	st.recountSpread(j)
	st.averagePerAccelerator.addPerAccelerator(j.need())
	st.queue.setPending(j, st.unallocatedTasks(job))
	if len(j.pending) > 0 {
		st.queue.add(j)
	}
}

// sameShape reports whether job may keep the queue position of j.
func (st *State) sameShape(j *jobState, job Job) bool {
	updated := jobState{Job: job}
	return keyOf(&updated) == j.queue.shape.key &&
		job.Spec.Team == j.Spec.Team &&
		bandOf(job.Spec.Priority, j.promotions) == j.band
}

// RemoveJob removes a job. Its running tasks stay until Vacate.
func (st *State) RemoveJob(id api.JobID) {
	j := st.jobs[id]
	if j == nil {
		return
	}
	delete(st.jobs, id)
	st.queue.setPending(j, nil)
	st.dequeue(j)
	j.removed = true
}

// dequeue removes j from the queue and drops its hold and nominations.
func (st *State) dequeue(j *jobState) {
	st.queue.remove(j)
	st.dropHold(j)
	st.dropNominations(j)
}

// unallocatedTasks returns the pending tasks of job that have no allocation.
func (st *State) unallocatedTasks(job Job) []uint32 {
	pending := make([]uint32, 0, len(job.Pending))
	for _, index := range job.Pending {
		if st.allocations[api.TaskID{Job: job.Spec.ID, Index: index}] == nil {
			pending = append(pending, index)
		}
	}
	return pending
}

// dropPending removes a task from the pending tasks of its job.
func (st *State) dropPending(task api.TaskID) {
	j := st.jobs[task.Job]
	if j == nil {
		return
	}
	i := slices.Index(j.pending, task.Index)
	if i < 0 {
		return
	}
	st.queue.setPending(j, slices.Delete(j.pending, i, i+1))
	if len(j.pending) == 0 {
		st.dequeue(j)
	}
}

// restorePending inserts a task before the other pending tasks of its job.
func (st *State) restorePending(task api.TaskID) {
	j := st.jobs[task.Job]
	if j == nil {
		return
	}
	st.queue.setPending(j, slices.Insert(j.pending, 0, task.Index))
	if j.queue == nil && !j.infeasible {
		j.waitingSince = st.lastCycle
		st.queue.add(j)
	}
}

// countSpread adds delta to the spread counts of the job of alloc, if it has any.
// Tasks that remain from before the job was scaled down are not counted.
func (st *State) countSpread(alloc *allocation, delta int) {
	j := st.jobs[alloc.task.Job]
	if j == nil || j.spread == nil || alloc.task.Index >= j.Spec.Tasks {
		return
	}
	addCount(j.spread.vms, alloc.vm.ID, delta)
	addCount(j.spread.racks, alloc.vm.Rack, delta)
}

// recountSpread recomputes the spread counts of j from its allocations.
func (st *State) recountSpread(j *jobState) {
	if !j.countsSpread() {
		j.spread = nil
		return
	}
	j.spread = &spreadCount{vms: make(map[api.VMID]uint32), racks: make(map[string]uint32)}
	for index := range j.Spec.Tasks {
		if alloc := st.allocations[api.TaskID{Job: j.Spec.ID, Index: index}]; alloc != nil {
			st.countSpread(alloc, 1)
		}
	}
}

func addCount[K comparable](counts map[K]uint32, key K, delta int) {
	n := int(counts[key]) + delta
	if n <= 0 {
		delete(counts, key)
		return
	}
	counts[key] = uint32(n)
}

// Explain returns why a job waits, according to the last attempt to place it, and
// whether it waits.
func (st *State) Explain(id api.JobID) (WaitingJob, bool) {
	j := st.jobs[id]
	if j == nil || len(j.pending) == 0 {
		return WaitingJob{}, false
	}
	s := j.status
	if s.reason == "" && j.queue != nil {
		s = j.queue.status
	}
	return WaitingJob{Job: id, Reason: s.reason, Detail: s.detail}, true
}

// dataCentreKey returns a key for the data centres that a job is limited to.
func dataCentreKey(names []api.DataCentre) string {
	if len(names) == 0 {
		return ""
	}
	var b strings.Builder
	for _, name := range names {
		b.WriteString(string(name))
		b.WriteByte(0)
	}
	return b.String()
}
