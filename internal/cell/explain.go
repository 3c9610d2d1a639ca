package cell

import (
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// WaitReason explains why a job waits, as found by the latest placement cycle.
type WaitReason struct {
	Reason    api.Reason
	Detail    string
	NeverFits bool // no VM of the cell has enough capacity for a task of the job
}

// waitReasonTable holds the wait reasons of the latest cycle. They are local to this
// process and not part of the replicated state.
type waitReasonTable struct {
	byJob atomic.Pointer[map[api.JobID]WaitReason]
}

// SetWaitReasons replaces the wait reasons of all jobs. The map must not be
// changed afterwards.
func (m *StateMachine) SetWaitReasons(byJob map[api.JobID]WaitReason) {
	m.waitReasons.byJob.Store(&byJob)
}

func (m *StateMachine) waitReason(job api.JobID) *WaitReason {
	byJob := m.waitReasons.byJob.Load()
	if byJob == nil {
		return nil
	}
	if reason, ok := (*byJob)[job]; ok {
		return &reason
	}
	return nil
}

// Incident is a noteworthy event in the history of a job or task.
type Incident struct {
	Position    journal.Position
	Task        api.TaskID
	Attempt     uint32
	VM          api.VMID
	Description string
	State       api.TaskState
	Reason      api.Reason
}

// maxIncidents is the maximum number of incidents of an explanation. The newest are kept.
const maxIncidents = 50

// Explanation describes the state of a job, or of one of its tasks, and its causes.
type Explanation struct {
	Job       JobView
	Task      *TaskView   // nil in the explanation of a job
	Wait      *WaitReason // nil if nothing waits, or another entry VM runs the placement
	Incidents []Incident
}

// Explain returns the explanation of a job, or false if the job is unknown.
func (m *StateMachine) Explain(id api.JobID) (Explanation, bool) {
	job, ok := m.Job(id)
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{Job: job}
	if job.Counts[api.TaskPending] > 0 {
		x.Wait = m.waitReason(id)
	}
	x.Incidents = m.incidents(func(e Event) bool { return e.Task.Job == id })
	return x, true
}

// ExplainTask returns the explanation of a task, or false if the task is unknown.
func (m *StateMachine) ExplainTask(id api.TaskID) (Explanation, bool) {
	job, ok := m.Job(id.Job)
	if !ok {
		return Explanation{}, false
	}
	view, ok := m.Task(id)
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{Job: job, Task: &view}
	if view.State == api.TaskPending {
		x.Wait = m.waitReason(id.Job)
	}
	x.Incidents = m.incidents(func(e Event) bool {
		return e.Task == id || (e.Kind == EventJobCancelled && e.Task.Job == id.Job)
	})
	return x, true
}

func (m *StateMachine) incidents(match func(Event) bool) []Incident {
	m.historyMu.Lock()
	defer m.historyMu.Unlock()
	var list []Incident
	m.history.each(func(h historyEntry) {
		if match(h.event) {
			list = append(list, newIncident(h))
		}
	})
	if len(list) > maxIncidents {
		list = list[len(list)-maxIncidents:]
	}
	return list
}

var incidentDescriptions = map[EventKind]string{
	EventTaskFreed:     "attempt ended",
	EventTaskStopping:  "ordered to stop",
	EventJobCancelled:  "job cancelled",
	EventStartRejected: "start rejected",
	EventTaskAdded:     "replacement added",
}

func newIncident(h historyEntry) Incident {
	return Incident{
		Position:    h.pos,
		Task:        h.event.Task,
		Attempt:     h.event.Attempt,
		VM:          h.event.VM,
		Description: incidentDescriptions[h.event.Kind],
		State:       h.event.State,
		Reason:      h.event.Reason,
	}
}
