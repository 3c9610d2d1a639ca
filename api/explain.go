package api

import "time"

// Explanation describes the state of a job or of one of its tasks, with the reason.
type Explanation struct {
	Job    JobID          `json:"job"`
	Task   *uint32        `json:"task,omitempty"` // index; nil for the whole job
	Team   string         `json:"team,omitempty"`
	Class  Class          `json:"class,omitempty"`
	State  string         `json:"state"` // as returned by TaskState.String; for a job, the state of its least advanced task
	VM     VMID           `json:"vm,omitempty"`
	Reason Reason         `json:"reason,omitempty"` // why it waits, was moved or failed
	Detail string         `json:"detail,omitempty"` // human-readable description of what is missing
	Tasks  map[string]int `json:"tasks,omitempty"`  // only for a job: number of tasks in each state
	// History lists the events, oldest first. Consecutive equal events are
	// merged into one with a count. Old events may be missing.
	History []HistoryEvent `json:"history,omitempty"`
}

// HistoryEvent is one event of a task or job, or several consecutive equal events.
type HistoryEvent struct {
	Age    time.Duration `json:"age_ns"` // since the latest of the merged events, by the clock of the answering entry VM
	Event  string        `json:"event"`  // for example "started", "preempted" or "waiting"
	Task   *uint32       `json:"task,omitempty"`
	VM     VMID          `json:"vm,omitempty"`
	Reason Reason        `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Count  int           `json:"count"`
}
