package cell

import (
	"github.com/skylarklock/skylarklock/api"
)

// noVM marks a task that holds no VM.
const noVM = ^uint32(0)

// Flags of a task.
const (
	flagCheckpoint = 1 << iota // a checkpoint can be restored
	flagRetiring               // replaced: not started again
	flagStopSave               // its stop asks for a checkpoint
)

// task is the compact state of a task: 16 bytes.
type task struct {
	vm       uint32
	attempt  uint32 // last one started
	failures uint16 // attempts that ended badly by themselves
	state    api.TaskState
	reason   uint8 // why it was last moved, stopped or given up
	flags    uint8
}

// job is a job and its tasks. It is guarded by its shard's lock.
type job struct {
	number    uint32
	spec      api.JobSpec
	submitted int64 // Unix milliseconds, display only
	cancelled bool
	ended     bool
	movedTo   api.DataCentre    // pending tasks are placed there
	move      uint32            // number of the move, from 1
	size      uint32            // tasks, with replacements
	counts    Counts            // tasks by stored state
	tasks     []task            // nil until the first start
	replaced  map[uint32]uint32 // replacement to replaced task
}

const stateCount = int(api.TaskCancelled) + 1

func newJob(number uint32, spec api.JobSpec, at int64) *job {
	j := &job{number: number, spec: spec, submitted: at, size: spec.Tasks}
	j.counts[api.TaskPending] = spec.Tasks
	return j
}

// allocate makes room for the tasks. Jobs cancelled before their first start
// never need it.
func (j *job) allocate() {
	if j.tasks != nil {
		return
	}
	j.tasks = make([]task, j.size)
	for i := range j.tasks {
		j.tasks[i] = j.untouched()
	}
}

func (j *job) untouched() task {
	return task{vm: noVM}
}

// get returns a task as it effectively stands: in a cancelled job pending
// tasks are cancelled and those that hold a VM are stopping.
func (j *job) get(index uint32) (task, bool) {
	if index >= j.size {
		return task{}, false
	}
	t := j.untouched()
	if j.tasks != nil {
		t = j.tasks[index]
	}
	switch {
	case j.cancelled:
		t = j.cancelledView(t)
	case j.movedTo != "" && t.state == api.TaskPending:
		t.state = api.TaskCancelled
		t.reason = reasonCode(ReasonMoved)
	}
	return t, true
}

// cancelledView shows a task of a cancelled job. Services are given the time
// to end what they serve; anything else is stopped at once.
func (j *job) cancelledView(t task) task {
	switch {
	case t.state == api.TaskPending:
		t.state = api.TaskCancelled
	case t.state.HoldsResources():
		t.state = api.TaskStopping
		t.flags &^= flagStopSave
		if j.spec.Class == api.ClassService {
			t.flags |= flagStopSave
		}
	default:
		return t
	}
	t.reason = reasonCode(api.ReasonCancelled)
	return t
}

// shift changes the stored state of a task and the counts.
func (j *job) shift(t *task, to api.TaskState) {
	j.counts[t.state]--
	t.state = to
	j.counts[to]++
}

// holding is the number of tasks that may occupy a VM.
func (j *job) holding() uint32 {
	return j.counts[api.TaskStarting] + j.counts[api.TaskRunning] + j.counts[api.TaskStopping]
}

// cancel marks the job; its cost does not depend on its size.
func (j *job) cancel() {
	j.cancelled = true
	j.dropPending()
}

// dropPending counts the pending tasks as cancelled.
func (j *job) dropPending() {
	j.counts[api.TaskCancelled] += j.counts[api.TaskPending]
	j.counts[api.TaskPending] = 0
}

// done reports whether no task can change any more.
func (j *job) done() bool {
	return j.counts[api.TaskPending] == 0 && j.holding() == 0
}

// pending lists the tasks to place, in order.
func (j *job) pending() []uint32 {
	n := j.counts[api.TaskPending]
	if n == 0 {
		return nil
	}
	list := make([]uint32, 0, n)
	for i := range j.size {
		if j.tasks == nil || j.tasks[i].state == api.TaskPending {
			list = append(list, i)
		}
	}
	return list
}

// settle moves a task whose attempt ended.
func (j *job) settle(t *task, ending AttemptStatus, reason uint8) {
	t.vm = noVM
	if reason != 0 || t.state != api.TaskStopping {
		t.reason = reason
	}
	t.flags &^= flagStopSave
	if ending == AttemptCheckpointed {
		t.flags |= flagCheckpoint
	}
	if ending == AttemptFailed && t.failures < ^uint16(0) {
		t.failures++
	}
	j.shift(t, j.next(t, ending))
	if t.state == api.TaskFailed {
		t.reason = reasonCode(api.ReasonFailsEverywhere)
	}
}

// next decides the state after an attempt ended.
func (j *job) next(t *task, ending AttemptStatus) api.TaskState {
	service := j.spec.Class == api.ClassService
	switch {
	case ending == AttemptSucceeded && !service:
		return api.TaskFinished
	case j.cancelled || t.flags&flagRetiring != 0:
		return api.TaskCancelled
	case ending == AttemptFailed && uint32(t.failures) >= j.maxFailures():
		return api.TaskFailed
	}
	return api.TaskPending
}

// maxFailures is the number of bad endings after which a task is given up.
// Services without a bound are started for ever.
func (j *job) maxFailures() uint32 {
	switch {
	case j.spec.MaxAttempts > 0:
		return j.spec.MaxAttempts
	case j.spec.Class == api.ClassService:
		return ^uint32(0)
	}
	return DefaultMaxAttempts
}

// DefaultMaxAttempts is the number of bad endings after which a task is
// given up when its job names none.
const DefaultMaxAttempts = 5
