package api

import "time"

// Explanation says where a job or one of its tasks stands, and why.
type Explanation struct {
	Job    JobID          `json:"job"`
	Task   *uint32        `json:"task,omitempty"` // index; nil: the whole job
	Team   string         `json:"team,omitempty"`
	Class  Class          `json:"class,omitempty"`
	State  string         `json:"state"` // as TaskState.String; of a job, that of its least advanced task
	VM     VMID           `json:"vm,omitempty"`
	Reason Reason         `json:"reason,omitempty"` // of waiting, moving or failing
	Detail string         `json:"detail,omitempty"` // what is missing, in words
	Tasks  map[string]int `json:"tasks,omitempty"`  // of a job: tasks by state
	// History holds what happened, oldest first. Equal events that follow
	// each other are one line with a count; old lines may be missing.
	History []HistoryEvent `json:"history,omitempty"`
}

// HistoryEvent is one event of a task or job, or a run of equal ones.
type HistoryEvent struct {
	Age    time.Duration `json:"age_ns"` // of the latest, on the clock of the answering entry VM
	Event  string        `json:"event"`  // such as "started", "preempted", "waiting"
	Task   *uint32       `json:"task,omitempty"`
	VM     VMID          `json:"vm,omitempty"`
	Reason Reason        `json:"reason,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Count  int           `json:"count"`
}
