package api

import "time"

// Class selects the policy that a job or request is placed by.
type Class string

// Classes of work.
const (
	ClassInteractive Class = "interactive" // requests on executor slots
	ClassService     Class = "service"     // long-running, spread, replaced before drained
	ClassBatch       Class = "batch"       // packed, checkpointable
	ClassGang        Class = "gang"        // all tasks at once or none
)

// Priorities order work; larger goes first.
const (
	PriorityLowest  = 0
	PriorityDefault = 100
	PriorityUrgent  = 900
	PriorityHighest = 1000
)

// JobSpec describes a service, batch job or gang job.
type JobSpec struct {
	ID             JobID         `json:"id"`
	Team           string        `json:"team"`
	Class          Class         `json:"class"`
	Priority       int           `json:"priority"`
	Tasks          uint32        `json:"tasks"`
	Resources      Resources     `json:"resources"`   // of each task, as declared
	RunTime        time.Duration `json:"run_time_ns"` // declared; zero for services
	Checkpointable bool          `json:"checkpointable"`
	MaxAttempts    uint32        `json:"max_attempts"` // starts before a failing task is given up
	MaxPerRack     uint32        `json:"max_per_rack,omitempty"`
	MaxPerVM       uint32        `json:"max_per_vm,omitempty"`
	DataCentres    []DataCentre  `json:"data_centres,omitempty"` // empty: any
	Payload        string        `json:"payload,omitempty"`      // opaque to the system
}

// TaskState is the state of a task in the journal.
type TaskState uint8

// Task states. A task is in exactly one.
const (
	TaskPending   TaskState = iota // accepted, not placed
	TaskStarting                   // start journaled for a VM, not yet seen running
	TaskRunning                    // the worker reported it running
	TaskStopping                   // told to stop, not yet known stopped
	TaskFinished                   // ended well
	TaskFailed                     // given up after its attempts, or can never run
	TaskCancelled                  // cancelled and known not to be running
)

var taskStateNames = [...]string{"pending", "starting", "running", "stopping", "finished", "failed", "cancelled"}

// String returns the state's name as reported to operators.
func (s TaskState) String() string {
	if int(s) < len(taskStateNames) {
		return taskStateNames[s]
	}
	return "invalid"
}

// IsTerminal reports whether a task in state s never changes again.
func (s TaskState) IsTerminal() bool {
	return s >= TaskFinished
}

// HoldsResources reports whether a task in state s may occupy its VM's resources.
func (s TaskState) HoldsResources() bool {
	return s == TaskStarting || s == TaskRunning || s == TaskStopping
}

// Reasons why a task or job waits, was moved or was given up.
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
