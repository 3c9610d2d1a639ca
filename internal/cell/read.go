package cell

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// TaskView is a snapshot of the effective state of a task.
type TaskView struct {
	Task             api.TaskID
	State            api.TaskState
	Attempt          uint32   // latest attempt started, zero before the first start
	VM               api.VMID // empty unless State.HoldsResources()
	Failures         uint16   // attempts that ended with AttemptFailed
	Reason           api.Reason
	HasCheckpoint    bool // the next start restores a checkpoint
	CheckpointOnStop bool // the stop order requests a checkpoint
	HasReplacement   bool // a replacement was added
}

// JobView is a snapshot of the state of a job.
type JobView struct {
	Spec      api.JobSpec
	Number    uint32 // in order of submission
	Submitted int64  // Unix milliseconds on the submitter's clock, for display only
	Size      uint32 // number of tasks, including replacements
	Cancelled bool
	Ended     bool
	MovedTo   api.DataCentre // empty unless moved
	Counts    Counts
}

// Counts holds the number of tasks in each api.TaskState.
type Counts [stateCount]uint32

// AllocatedTask is a task whose latest attempt may occupy a VM.
type AllocatedTask struct {
	TaskView
	Resources api.Resources
}

// VMView is a snapshot of the state of a VM in the log.
type VMView struct {
	ID       api.VMID
	Rack     string
	Capacity api.Resources
	Used     api.Resources
	Removed  bool
}

// Task returns the state of a task, or false if it is unknown.
func (m *StateMachine) Task(id api.TaskID) (TaskView, bool) {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var view TaskView
	found := false
	m.readJob(id.Job, func(j *job) {
		var t task
		if t, found = j.effectiveTask(id.Index); found {
			view = m.viewTask(j, id.Index, t)
		}
	})
	return view, found
}

// viewTask returns the view of a task. The VMs and the job must be locked.
func (m *StateMachine) viewTask(j *job, index uint32, t task) TaskView {
	v := TaskView{
		Task:             api.TaskID{Job: j.spec.ID, Index: index},
		State:            t.state,
		Attempt:          t.attempt,
		Failures:         t.failures,
		Reason:           reasonOf(t.reason),
		HasCheckpoint:    t.flags&flagHasCheckpoint != 0,
		CheckpointOnStop: t.flags&flagCheckpointOnStop != 0,
		HasReplacement:   t.flags&flagHasReplacement != 0,
	}
	if t.state.HoldsResources() {
		v.VM = m.vms.rows[t.vm].id
	}
	return v
}

// Job returns the state of a job, or false if it is unknown.
func (m *StateMachine) Job(id api.JobID) (JobView, bool) {
	var view JobView
	found := m.readJob(id, func(j *job) { view = viewJob(j) })
	return view, found
}

func viewJob(j *job) JobView {
	return JobView{
		Spec:      j.spec,
		Number:    j.number,
		Submitted: j.submitted,
		Size:      j.size,
		Cancelled: j.cancelled,
		Ended:     j.ended,
		MovedTo:   j.movedTo,
		Counts:    j.counts,
	}
}

// Pending returns the indexes of the tasks of a job that may be placed, in
// ascending order. It returns nil for a gang of which a task still holds a VM.
func (m *StateMachine) Pending(id api.JobID) []uint32 {
	var list []uint32
	m.readJob(id, func(j *job) {
		if j.spec.Class == api.ClassGang && j.allocatedCount() > 0 {
			return
		}
		list = j.pendingIndexes()
	})
	return list
}

// AllocatedTasks returns the tasks of a job that may occupy a VM.
func (m *StateMachine) AllocatedTasks(id api.JobID) []AllocatedTask {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var list []AllocatedTask
	m.readJob(id, func(j *job) {
		if j.allocatedCount() == 0 {
			return
		}
		for i := range j.tasks {
			if j.tasks[i].state.HoldsResources() {
				list = append(list, m.allocatedTask(j, uint32(i)))
			}
		}
	})
	return list
}

// allocatedTask returns a task that holds a VM with its resources. The VMs and
// the job must be locked.
func (m *StateMachine) allocatedTask(j *job, index uint32) AllocatedTask {
	t, _ := j.effectiveTask(index)
	key := ledger.Key{Job: j.number, Index: index, Attempt: t.attempt}
	amount, _ := m.vms.ledger.Allocated(t.vm, key)
	return AllocatedTask{TaskView: m.viewTask(j, index, t), Resources: amount}
}

// TasksOnVM returns the tasks that may occupy a VM, ordered by job number and index.
func (m *StateMachine) TasksOnVM(vm api.VMID) []AllocatedTask {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	number, ok := m.vms.numbers[vm]
	if !ok {
		return nil
	}
	allocations := m.vms.ledger.Allocations(number)
	sort.Slice(allocations, func(i, j int) bool { return keyLess(allocations[i].Key, allocations[j].Key) })
	list := make([]AllocatedTask, 0, len(allocations))
	for _, a := range allocations {
		m.readJobNumber(a.Key.Job, func(j *job) {
			list = append(list, m.allocatedTask(j, a.Key.Index))
		})
	}
	return list
}

func keyLess(a, b ledger.Key) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Index < b.Index
}

// readJobNumber calls f with the job of the given number locked for reading, if it
// is known.
func (m *StateMachine) readJobNumber(number uint32, f func(*job)) {
	s := m.jobShardOf(number)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if j := s.jobs[number]; j != nil {
		f(j)
	}
}

// Jobs returns the IDs of the jobs that have not ended, in order of submission.
func (m *StateMachine) Jobs() []api.JobID {
	type numbered struct {
		number uint32
		id     api.JobID
	}
	var all []numbered
	for i := range m.jobShards {
		s := &m.jobShards[i]
		s.mu.RLock()
		for n, j := range s.jobs {
			if !j.ended {
				all = append(all, numbered{n, j.spec.ID})
			}
		}
		s.mu.RUnlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].number < all[j].number })
	ids := make([]api.JobID, len(all))
	for i, n := range all {
		ids[i] = n.id
	}
	return ids
}

// VMs returns the known VMs in the order in which they were added.
func (m *StateMachine) VMs() []VMView {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var list []VMView
	for number, row := range m.vms.rows {
		if row == nil {
			continue
		}
		capacity, used, _ := m.vms.ledger.Usage(uint32(number))
		list = append(list, VMView{ID: row.id, Rack: row.rack, Capacity: capacity, Used: used, Removed: row.removed})
	}
	return list
}

// Replacement returns the task that was added to replace the task with the given ID.
func (m *StateMachine) Replacement(id api.TaskID) (TaskView, bool) {
	replacement := api.TaskID{Job: id.Job}
	found := false
	m.readJob(id.Job, func(j *job) {
		for index, old := range j.replaced {
			if old == id.Index {
				replacement.Index = index
				found = true
			}
		}
	})
	if !found {
		return TaskView{}, false
	}
	return m.Task(replacement)
}
