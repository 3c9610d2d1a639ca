package cell

import (
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// WaitReason says why a job waits, from the placement's last cycle.
type WaitReason struct {
	Reason    api.Reason
	Detail    string
	NeverFits bool // no VM of the cell could ever hold a task of it
}

// waitBoard holds the notes of the last cycle. It is no part of the state
// that the log decides.
type waitBoard struct {
	notes atomic.Pointer[map[api.JobID]WaitReason]
}

// SetWaitReasons replaces the notes on waiting jobs. The map is not to be changed
// afterwards.
func (m *StateMachine) SetWaitReasons(notes map[api.JobID]WaitReason) {
	m.waits.notes.Store(&notes)
}

func (m *StateMachine) wait(job api.JobID) *WaitReason {
	notes := m.waits.notes.Load()
	if notes == nil {
		return nil
	}
	if n, ok := (*notes)[job]; ok {
		return &n
	}
	return nil
}

// Incident is one noteworthy thing that was done to a job or task.
type Incident struct {
	Position    journal.Position
	Task        api.TaskID
	Attempt     uint32
	VM          api.VMID
	Description string
	State       api.TaskState
	Reason      api.Reason
}

// maxIncidents bounds the incidents of one explanation; the newest are kept.
const maxIncidents = 50

// Explanation says how a job, or one task of it, stands and why.
type Explanation struct {
	Job       JobView
	Task      *TaskView   // nil for a job
	Wait      *WaitReason // nil when nothing waits, or this VM doesn't place
	Incidents []Incident
}

// Explain explains a job, if it is known.
func (m *StateMachine) Explain(id api.JobID) (Explanation, bool) {
	job, ok := m.Job(id)
	if !ok {
		return Explanation{}, false
	}
	x := Explanation{Job: job}
	if job.Counts[api.TaskPending] > 0 {
		x.Wait = m.wait(id)
	}
	x.Incidents = m.incidents(func(e Event) bool { return e.Task.Job == id })
	return x, true
}

// ExplainTask explains one task, if it is known.
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
		x.Wait = m.wait(id.Job)
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
	m.history.each(func(l logged) {
		if match(l.event) {
			list = append(list, incidentOf(l))
		}
	})
	if len(list) > maxIncidents {
		list = list[len(list)-maxIncidents:]
	}
	return list
}

var incidentNames = map[EventKind]string{
	EventTaskFreed:     "attempt ended",
	EventTaskStopping:  "ordered to stop",
	EventJobCancelled:  "job cancelled",
	EventStartRejected: "start rejected",
	EventTaskAdded:     "replacement added",
}

func incidentOf(l logged) Incident {
	return Incident{
		Position:    l.pos,
		Task:        l.event.Task,
		Attempt:     l.event.Attempt,
		VM:          l.event.VM,
		Description: incidentNames[l.event.Kind],
		State:       l.event.State,
		Reason:      l.event.Reason,
	}
}
