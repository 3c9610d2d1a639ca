package cell

import (
	"sort"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// TaskView is a task as it stands.
type TaskView struct {
	Task             api.TaskID
	State            api.TaskState
	Attempt          uint32   // last one started, zero before the first
	VM               api.VMID // empty unless State.Holds()
	Failures         uint16   // attempts that ended badly by themselves
	Reason           api.Reason
	HasCheckpoint    bool // the next start restores a checkpoint
	CheckpointOnStop bool // its stop asks for a checkpoint
	HasReplacement   bool // a replacement has been added for it
}

// JobView is a job as it stands.
type JobView struct {
	Spec      api.JobSpec
	Number    uint32 // in order of submission
	Submitted int64  // submitter's wall clock in Unix milliseconds, display only
	Size      uint32 // tasks, with replacements
	Cancelled bool
	Ended     bool
	MovedTo   api.DataCentre // empty unless moved
	Counts    Counts
}

// Counts holds numbers of tasks, indexed by api.TaskState.
type Counts [stateCount]uint32

// AllocatedTask is an attempt that may occupy a VM.
type AllocatedTask struct {
	TaskView
	Resources api.Resources
}

// VMView is a VM as observed through the log.
type VMView struct {
	ID       api.VMID
	Rack     string
	Capacity api.Resources
	Used     api.Resources
	Removed  bool
}

// Task returns a task, if its job is known.
func (m *StateMachine) Task(id api.TaskID) (TaskView, bool) {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var view TaskView
	found := false
	m.readJob(id.Job, func(j *job) {
		var t task
		if t, found = j.get(id.Index); found {
			view = m.viewTask(j, id.Index, t)
		}
	})
	return view, found
}

// viewTask needs the VMs and the job locked.
func (m *StateMachine) viewTask(j *job, index uint32, t task) TaskView {
	v := TaskView{
		Task:             api.TaskID{Job: j.spec.ID, Index: index},
		State:            t.state,
		Attempt:          t.attempt,
		Failures:         t.failures,
		Reason:           reasonOf(t.reason),
		HasCheckpoint:    t.flags&flagCheckpoint != 0,
		CheckpointOnStop: t.flags&flagStopSave != 0,
		HasReplacement:   t.flags&flagRetiring != 0,
	}
	if t.state.HoldsResources() {
		v.VM = m.vms.rows[t.vm].id
	}
	return v
}

// Job returns a job, if it is known.
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

// Pending returns the indexes of a job's tasks to place, in order. Parts of
// a gang are not to be placed while another part holds a VM: then it is nil.
func (m *StateMachine) Pending(id api.JobID) []uint32 {
	var list []uint32
	m.readJob(id, func(j *job) {
		if j.spec.Class == api.ClassGang && j.holding() > 0 {
			return
		}
		list = j.pending()
	})
	return list
}

// AllocatedTasks returns the tasks of a job that may occupy a VM.
func (m *StateMachine) AllocatedTasks(id api.JobID) []AllocatedTask {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var list []AllocatedTask
	m.readJob(id, func(j *job) {
		if j.holding() == 0 {
			return
		}
		for i := range j.tasks {
			if j.tasks[i].state.HoldsResources() {
				list = append(list, m.held(j, uint32(i)))
			}
		}
	})
	return list
}

// held needs the VMs and the job locked, and a task that holds a VM.
func (m *StateMachine) held(j *job, index uint32) AllocatedTask {
	t, _ := j.get(index)
	key := ledger.Key{Job: j.number, Index: index, Attempt: t.attempt}
	amount, _ := m.vms.ledger.Allocated(t.vm, key)
	return AllocatedTask{TaskView: m.viewTask(j, index, t), Resources: amount}
}

// TasksOnVM returns what may occupy a VM, in order of job and index.
func (m *StateMachine) TasksOnVM(vm api.VMID) []AllocatedTask {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	number, ok := m.vms.numbers[vm]
	if !ok {
		return nil
	}
	claims := m.vms.ledger.Allocations(number)
	sort.Slice(claims, func(i, j int) bool { return keyLess(claims[i].Key, claims[j].Key) })
	list := make([]AllocatedTask, 0, len(claims))
	for _, c := range claims {
		m.rlockJob(c.Key.Job, func(j *job) {
			list = append(list, m.held(j, c.Key.Index))
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

func (m *StateMachine) rlockJob(number uint32, f func(*job)) {
	s := m.shardOf(number)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if j := s.jobs[number]; j != nil {
		f(j)
	}
}

// Jobs returns the IDs of the jobs that have not ended, in order of
// submission.
func (m *StateMachine) Jobs() []api.JobID {
	type numbered struct {
		number uint32
		id     api.JobID
	}
	var all []numbered
	for i := range m.shards {
		s := &m.shards[i]
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

// VMs returns the VMs that are known, in order of observation.
func (m *StateMachine) VMs() []VMView {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	var list []VMView
	for number, row := range m.vms.rows {
		if row == nil {
			continue
		}
		capacity, used, _ := m.vms.ledger.Usage(uint32(number))
		list = append(list, VMView{ID: row.id, Rack: row.rack, Capacity: capacity, Used: used, Removed: row.gone})
	}
	return list
}

// Replacement returns the task that was added to run in the stead of id.
func (m *StateMachine) Replacement(id api.TaskID) (TaskView, bool) {
	added := api.TaskID{Job: id.Job}
	found := false
	m.readJob(id.Job, func(j *job) {
		for index, old := range j.replaced {
			if old == id.Index {
				added.Index = index
				found = true
			}
		}
	})
	if !found {
		return TaskView{}, false
	}
	return m.Task(added)
}
