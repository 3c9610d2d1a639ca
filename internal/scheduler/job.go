package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// jobState is a job with its place in the queue.
type jobState struct {
	Job
	sequence    uint64 // order of arrival, for equal times
	team        *teamState
	pending     []uint32
	band        int
	risen       int       // bands gained by waiting
	since       time.Time // waits since: it was submitted, or a task was placed
	queue       *shapeQueue
	removed     bool
	condemned   bool // judged never to run
	spread      *spreadCount
	hold        *hold
	nominations []*nomination
	verdict     verdict
}

// verdict is the outcome of the last attempt to place a job's task.
type verdict struct {
	reason api.Reason // empty: none yet, or placed
	detail string
}

// spreadCount counts a job's tasks by VM and rack, for jobs whose placement
// depends on it.
type spreadCount struct {
	vms   map[api.VMID]uint32
	racks map[string]uint32
}

// need is what each task is planned with.
func (j *jobState) need() api.Resources {
	if j.Estimate.IsZero() {
		return j.Spec.Resources
	}
	return j.Estimate
}

// runTime is the expected run time of a task; zero: not known or unending.
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

// spreads reports whether the job's tasks go apart rather than together.
func (j *jobState) spreads() bool {
	return j.Spec.Class == api.ClassService || j.Spec.Class == api.ClassInteractive
}

func (j *jobState) isUrgent() bool {
	return j.Spec.Priority >= api.PriorityUrgent
}

func (j *jobState) countsSpread() bool {
	return j.spreads() || j.Spec.MaxPerRack > 0 || j.Spec.MaxPerVM > 0
}

// before reports whether j came before o.
func (j *jobState) before(o *jobState) bool {
	if !j.Submitted.Equal(o.Submitted) {
		return j.Submitted.Before(o.Submitted)
	}
	return j.sequence < o.sequence
}

// PutJob adds a job or replaces it, keeping the time of its first
// submission. Tasks that already hold a VM or a reservation are left out of
// its pending ones.
func (w *State) PutJob(job Job) {
	j := w.jobs[job.Spec.ID]
	if j == nil {
		w.sequence++
		j = &jobState{sequence: w.sequence, since: job.Submitted}
		w.jobs[job.Spec.ID] = j
		w.replaceJob(j, job)
		return
	}
	job.Submitted = j.Submitted
	if len(j.pending) == 0 {
		j.since = w.clock
	}
	if j.queue != nil && job.Spec.Tasks == j.Spec.Tasks && w.sameShape(j, job) {
		w.queue.setPending(j, w.placeable(job))
		j.Job = job
		j.Job.Pending = nil
		switch {
		case len(j.pending) == 0:
			w.dequeue(j)
		case j.queue.shape.key.own != "":
			w.retryShape(j.queue.shape) // its own limits may have changed
		}
		return
	}
	w.dequeue(j)
	w.replaceJob(j, job)
}

func (w *State) replaceJob(j *jobState, job Job) {
	j.Job = job
	j.Job.Pending = nil
	j.team = w.teamOf(job.Spec.Team)
	j.condemned = false
	w.recountSpread(j)
	w.perAccelerator.addPerAccelerator(j.need())
	w.queue.setPending(j, w.placeable(job))
	if len(j.pending) > 0 {
		w.queue.add(j)
	}
}

// sameShape reports whether job may keep the queue place of j.
func (w *State) sameShape(j *jobState, job Job) bool {
	next := jobState{Job: job}
	return keyOf(&next) == j.queue.shape.key &&
		job.Spec.Team == j.Spec.Team &&
		bandOf(job.Spec.Priority, j.risen) == j.band
}

// RemoveJob forgets a job. Its running tasks stay until Vacate.
func (w *State) RemoveJob(id api.JobID) {
	j := w.jobs[id]
	if j == nil {
		return
	}
	delete(w.jobs, id)
	w.queue.setPending(j, nil)
	w.dequeue(j)
	j.removed = true
}

// dequeue takes j out of the queue with all that is kept for it.
func (w *State) dequeue(j *jobState) {
	w.queue.remove(j)
	w.dropHold(j)
	w.dropNominations(j)
}

// placeable returns the pending tasks of job that hold nothing.
func (w *State) placeable(job Job) []uint32 {
	pending := make([]uint32, 0, len(job.Pending))
	for _, index := range job.Pending {
		if w.holdings[api.TaskID{Job: job.Spec.ID, Index: index}] == nil {
			pending = append(pending, index)
		}
	}
	return pending
}

// dropPending takes a task out of its job's pending ones.
func (w *State) dropPending(task api.TaskID) {
	j := w.jobs[task.Job]
	if j == nil {
		return
	}
	at := slices.Index(j.pending, task.Index)
	if at < 0 {
		return
	}
	w.queue.setPending(j, slices.Delete(j.pending, at, at+1))
	if len(j.pending) == 0 {
		w.dequeue(j)
	}
}

// restorePending puts a task back in front of its job's pending ones.
func (w *State) restorePending(task api.TaskID) {
	j := w.jobs[task.Job]
	if j == nil {
		return
	}
	w.queue.setPending(j, slices.Insert(j.pending, 0, task.Index))
	if j.queue == nil && !j.condemned {
		j.since = w.clock
		w.queue.add(j)
	}
}

// countSpread adds by to the counts of the job of h, if it keeps any. Tasks
// beyond the job's number, left from before it was scaled down, don't count.
func (w *State) countSpread(h *holding, by int) {
	j := w.jobs[h.task.Job]
	if j == nil || j.spread == nil || h.task.Index >= j.Spec.Tasks {
		return
	}
	addCount(j.spread.vms, h.vm.ID, by)
	addCount(j.spread.racks, h.vm.Rack, by)
}

// recountSpread counts the tasks of j that hold a VM, if j needs it.
func (w *State) recountSpread(j *jobState) {
	if !j.countsSpread() {
		j.spread = nil
		return
	}
	j.spread = &spreadCount{vms: make(map[api.VMID]uint32), racks: make(map[string]uint32)}
	for index := range j.Spec.Tasks {
		if h := w.holdings[api.TaskID{Job: j.Spec.ID, Index: index}]; h != nil {
			w.countSpread(h, 1)
		}
	}
}

func addCount[K comparable](counts map[K]uint32, key K, by int) {
	n := int(counts[key]) + by
	if n <= 0 {
		delete(counts, key)
		return
	}
	counts[key] = uint32(n)
}

// Explain returns why a job waits, as far as the last attempts tell, and
// whether it does.
func (w *State) Explain(id api.JobID) (WaitingJob, bool) {
	j := w.jobs[id]
	if j == nil || len(j.pending) == 0 {
		return WaitingJob{}, false
	}
	v := j.verdict
	if v.reason == "" && j.queue != nil {
		v = j.queue.verdict
	}
	return WaitingJob{Job: id, Reason: v.reason, Detail: v.detail}, true
}

// dataCentreKey joins the data centres a job is limited to.
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
