package cell

import (
	"github.com/skylarklock/skylarklock/api"
)

// noVMNumber is the VM number of a task that holds no VM.
const noVMNumber = ^uint32(0)

// Task flags.
const (
	flagHasCheckpoint    = 1 << iota // a checkpoint can be restored
	flagHasReplacement               // the task is replaced and not started again
	flagCheckpointOnStop             // the stop order requests a checkpoint
)

// task is the state of a task in 16 bytes.
type task struct {
	vm       uint32
	attempt  uint32 // latest attempt started
	failures uint16 // attempts that ended with AttemptFailed
	state    api.TaskState
	reason   uint8 // of the latest move, stop or failure
	flags    uint8
}

// job is a job with its tasks. It is guarded by the lock of its shard.
type job struct {
	number     uint32
	spec       api.JobSpec
	submitted  int64 // Unix milliseconds, for display only
	cancelled  bool
	ended      bool
	movedTo    api.DataCentre    // data centre that places the pending tasks, if the job was moved
	moveNumber uint32            // from 1
	size       uint32            // number of tasks, including replacements
	counts     Counts            // number of tasks by stored state
	tasks      []task            // nil before the first start
	replaced   map[uint32]uint32 // replacement index to index of the replaced task
}

const stateCount = int(api.TaskCancelled) + 1

func newJob(number uint32, spec api.JobSpec, at int64) *job {
	j := &job{number: number, spec: spec, submitted: at, size: spec.Tasks}
	j.counts[api.TaskPending] = spec.Tasks
	return j
}

// allocateTasks allocates the tasks. A job that is cancelled before its first
// start never needs them.
func (j *job) allocateTasks() {
	if j.tasks != nil {
		return
	}
	j.tasks = make([]task, j.size)
	for i := range j.tasks {
		j.tasks[i] = j.initialTask()
	}
}

func (j *job) initialTask() task {
	return task{vm: noVMNumber}
}

// effectiveTask returns a task in its effective state: in a cancelled job,
// pending tasks are cancelled and tasks that hold a VM are stopping.
func (j *job) effectiveTask(index uint32) (task, bool) {
	if index >= j.size {
		return task{}, false
	}
	t := j.initialTask()
	if j.tasks != nil {
		t = j.tasks[index]
	}
	switch {
	case j.cancelled:
		t = j.cancelledTask(t)
	case j.movedTo != "" && t.state == api.TaskPending:
		t.state = api.TaskCancelled
		t.reason = reasonCode(ReasonMoved)
	}
	return t, true
}

// cancelledTask returns the effective state of a task of a cancelled job.
// Services are stopped with a checkpoint request so that they can finish their
// requests. Other tasks are stopped immediately.
func (j *job) cancelledTask(t task) task {
	switch {
	case t.state == api.TaskPending:
		t.state = api.TaskCancelled
	case t.state.HoldsResources():
		t.state = api.TaskStopping
		t.flags &^= flagCheckpointOnStop
		if j.spec.Class == api.ClassService {
			t.flags |= flagCheckpointOnStop
		}
	default:
		return t
	}
	t.reason = reasonCode(api.ReasonCancelled)
	return t
}

// setState changes the stored state of a task and updates the counts.
func (j *job) setState(t *task, to api.TaskState) {
	j.counts[t.state]--
	t.state = to
	j.counts[to]++
}

// allocatedCount returns the number of tasks that may occupy a VM.
func (j *job) allocatedCount() uint32 {
	return j.counts[api.TaskStarting] + j.counts[api.TaskRunning] + j.counts[api.TaskStopping]
}

// cancel marks the job as cancelled in time independent of its size.
func (j *job) cancel() {
	j.cancelled = true
	j.cancelPending()
}

// cancelPending counts the pending tasks as cancelled.
func (j *job) cancelPending() {
	j.counts[api.TaskCancelled] += j.counts[api.TaskPending]
	j.counts[api.TaskPending] = 0
}

// isDone reports whether no task can change any more.
func (j *job) isDone() bool {
	return j.counts[api.TaskPending] == 0 && j.allocatedCount() == 0
}

// pendingIndexes returns the indexes of the pending tasks in ascending order.
func (j *job) pendingIndexes() []uint32 {
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

// endAttempt updates a task whose attempt has ended.
func (j *job) endAttempt(t *task, status AttemptStatus, reason uint8) {
	t.vm = noVMNumber
	if reason != 0 || t.state != api.TaskStopping {
		t.reason = reason
	}
	t.flags &^= flagCheckpointOnStop
	if status == AttemptCheckpointed {
		t.flags |= flagHasCheckpoint
	}
	if status == AttemptFailed && t.failures < ^uint16(0) {
		t.failures++
	}
	j.setState(t, j.nextState(t, status))
	if t.state == api.TaskFailed {
		t.reason = reasonCode(api.ReasonFailsEverywhere)
	}
}

// nextState returns the state of a task after its attempt has ended.
func (j *job) nextState(t *task, status AttemptStatus) api.TaskState {
	isService := j.spec.Class == api.ClassService
	switch {
	case status == AttemptSucceeded && !isService:
		return api.TaskFinished
	case j.cancelled || t.flags&flagHasReplacement != 0:
		return api.TaskCancelled
	case status == AttemptFailed && uint32(t.failures) >= j.maxFailures():
		return api.TaskFailed
	}
	return api.TaskPending
}

// maxFailures returns the number of failed attempts after which a task fails.
// Services without a limit are restarted indefinitely.
func (j *job) maxFailures() uint32 {
	switch {
	case j.spec.MaxAttempts > 0:
		return j.spec.MaxAttempts
	case j.spec.Class == api.ClassService:
		return ^uint32(0)
	}
	return DefaultMaxAttempts
}

// DefaultMaxAttempts is the number of failed attempts after which a task fails
// if its job sets no limit.
const DefaultMaxAttempts = 5
