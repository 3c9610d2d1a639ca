package api

import "time"

// Class selects the placement policy for a job or request.
type Class string

// Classes of work.
const (
	ClassInteractive Class = "interactive" // requests that run on executor slots
	ClassService     Class = "service"     // long-running tasks, spread over VMs; replacements start before a drain stops them
	ClassBatch       Class = "batch"       // tasks packed densely; may be checkpointable
	ClassGang        Class = "gang"        // all tasks start together or none does
)

// Bounds and common values of JobSpec.Priority. Larger priorities go first.
const (
	PriorityLowest  = 0
	PriorityDefault = 100
	PriorityUrgent  = 900
	PriorityHighest = 1000
)

// JobSpec describes a service's tasks, a batch job or a gang job.
type JobSpec struct {
	ID             JobID         `json:"id"`
	Team           string        `json:"team"`
	Class          Class         `json:"class"`
	Priority       int           `json:"priority"`
	Tasks          uint32        `json:"tasks"`
	Resources      Resources     `json:"resources"`   // declared requirements of each task
	RunTime        time.Duration `json:"run_time_ns"` // declared run time; zero for services
	Checkpointable bool          `json:"checkpointable"`
	MaxAttempts    uint32        `json:"max_attempts"` // starts of a failing task before it is marked as failed
	MaxPerRack     uint32        `json:"max_per_rack,omitempty"`
	MaxPerVM       uint32        `json:"max_per_vm,omitempty"`
	DataCentres    []DataCentre  `json:"data_centres,omitempty"` // empty: any data centre
	Payload        string        `json:"payload,omitempty"`      // not interpreted by the scheduler
}

// TaskState is the state of a task as recorded in the journal.
type TaskState uint8

// States of a task.
const (
	TaskPending   TaskState = iota // accepted, not placed
	TaskStarting                   // its start on a VM is in the journal, but it is not yet reported running
	TaskRunning                    // reported running by its worker
	TaskStopping                   // its stop was ordered, but it is not yet known to have stopped
	TaskFinished                   // ended successfully
	TaskFailed                     // failed in all its attempts, or can never run
	TaskCancelled                  // cancelled and known not to be running
)

var taskStateNames = [...]string{"pending", "starting", "running", "stopping", "finished", "failed", "cancelled"}

// String returns the name of the state as shown to operators.
func (s TaskState) String() string {
	if int(s) < len(taskStateNames) {
		return taskStateNames[s]
	}
	return "invalid"
}

// IsTerminal reports whether s is a final state.
func (s TaskState) IsTerminal() bool {
	return s >= TaskFinished
}

// HoldsResources reports whether a task in state s may use resources of its VM.
func (s TaskState) HoldsResources() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// Reasons why a task or job waits, was moved or failed, or why a journal entry
// or record was rejected.
const (
	ReasonQuota           Reason = "quota_exceeded"
	ReasonFairShare       Reason = "fair_share"
	ReasonNoCapacity      Reason = "no_capacity"
	ReasonNeverFits       Reason = "never_fits"
	ReasonSpread          Reason = "spread"
	ReasonQuarantine      Reason = "worker_quarantined"
	ReasonGangWaiting     Reason = "gang_waiting"
	ReasonBehindGang      Reason = "behind_gang"
	ReasonPreempted       Reason = "preempted"
	ReasonDrained         Reason = "drained"
	ReasonLeaseExpired    Reason = "lease_lapsed"
	ReasonWorkerLost      Reason = "worker_lost"
	ReasonWorkerRestart   Reason = "worker_restarted"
	ReasonTaskFailed      Reason = "task_failed"
	ReasonFailsEverywhere Reason = "fails_everywhere"
	ReasonOveruse         Reason = "overuse"
	ReasonOverrun         Reason = "overrun"
	ReasonCancelled       Reason = "cancelled"
	ReasonStaleEpoch      Reason = "stale_epoch"
	ReasonDuplicate       Reason = "duplicate"
	ReasonConflict        Reason = "conflict"
	ReasonUnknownJob      Reason = "unknown_job"
	ReasonUnknownVM       Reason = "unknown_vm"
	ReasonWrongState      Reason = "wrong_state"
)
