package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Start describes one start for StartEntry.
type Start struct {
	Task      api.TaskID
	Attempt   uint32
	VM        api.VMID
	Resources api.Resources
	Gang      bool
}

// Report describes the status of one attempt for ReportEntry.
type Report struct {
	Task    api.TaskID
	Attempt uint32
	Status  AttemptStatus
	Reason  api.Reason
}

// Stop describes one stop for StopEntry.
type Stop struct {
	Task       api.TaskID
	Attempt    uint32
	Checkpoint bool
	Reason     api.Reason
	Preemptor  api.JobID // the job that the task is preempted for, if any
}

// SubmitEntry returns the entry of a Submit.
func SubmitEntry(spec api.JobSpec, atMs int64) journal.Entry {
	return entry(TypeSubmit, &Submit{Spec: spec, ProposedAtMs: atMs})
}

// CancelEntry returns the entry of a Cancel.
func CancelEntry(jobs []api.JobID, atMs int64) journal.Entry {
	return entry(TypeCancel, &Cancel{Jobs: jobs, ProposedAtMs: atMs})
}

// VMUpdateEntry returns the entry of a VMUpdate.
func VMUpdateEntry(epoch api.Epoch, observed []ObservedVM, removed []api.VMID) journal.Entry {
	return entry(TypeVMUpdate, &VMUpdate{Epoch: epoch, Observed: observed, Removed: removed})
}

// SubmitMovedEntry returns the entry that submits a job that another data centre
// has moved to this one.
func SubmitMovedEntry(moved MovedJob, from api.DataCentre, atMs int64) journal.Entry {
	origin := &Origin{DataCentre: from, MoveNumber: moved.MoveNumber, EndedTasks: moved.EndedTasks}
	return entry(TypeSubmit, &Submit{Spec: moved.Spec, ProposedAtMs: atMs, MovedFrom: origin})
}

// MoveJobsEntry returns the entry of a MoveJobs. Unknown jobs are left out.
func (m *StateMachine) MoveJobsEntry(epoch api.Epoch, to api.DataCentre, jobs []api.JobID) journal.Entry {
	return entry(TypeMoveJobs, &MoveJobs{Epoch: epoch, To: to, Jobs: m.numbersOf(jobs)})
}

// ConfirmMovesEntry returns the entry of a ConfirmMoves. Unknown jobs are left out.
func (m *StateMachine) ConfirmMovesEntry(epoch api.Epoch, jobs []api.JobID) journal.Entry {
	return entry(TypeConfirmMoves, &ConfirmMoves{Epoch: epoch, Jobs: m.numbersOf(jobs)})
}

func (m *StateMachine) numbersOf(jobs []api.JobID) []uint32 {
	var numbers []uint32
	for _, id := range jobs {
		if n, ok := m.numberOf(id); ok {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

// StartEntry returns one entry with the given starts. Starts whose job or VM is
// unknown are left out and returned.
func (m *StateMachine) StartEntry(epoch api.Epoch, starts []Start) (journal.Entry, []Start) {
	type groupKey struct {
		job       uint32
		resources api.Resources
	}
	batch := StartBatch{Epoch: epoch}
	groups := make(map[groupKey]int)
	var skipped []Start
	for _, s := range starts {
		job, knownJob := m.numberOf(s.Task.Job)
		vm, knownVM := m.vmNumber(s.VM)
		if !knownJob || !knownVM {
			skipped = append(skipped, s)
			continue
		}
		key := groupKey{job: job, resources: s.Resources}
		i, ok := groups[key]
		if !ok {
			i = len(batch.Groups)
			groups[key] = i
			batch.Groups = append(batch.Groups, StartGroup{Job: job, Gang: s.Gang, Resources: s.Resources})
		}
		g := &batch.Groups[i]
		g.Starts = append(g.Starts, StartItem{Index: s.Task.Index, Attempt: s.Attempt, VM: vm})
	}
	return entry(TypeStart, &batch), skipped
}

func (m *StateMachine) vmNumber(id api.VMID) (uint32, bool) {
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	n, ok := m.vms.numbers[id]
	return n, ok
}

// ReportEntry returns one entry with the given reports. Unknown jobs are left out.
func (m *StateMachine) ReportEntry(epoch api.Epoch, reports []Report) journal.Entry {
	type groupKey struct {
		job    uint32
		status AttemptStatus
		reason uint8
	}
	batch := ReportBatch{Epoch: epoch}
	groups := make(map[groupKey]int)
	for _, r := range reports {
		job, ok := m.numberOf(r.Task.Job)
		if !ok {
			continue
		}
		key := groupKey{job: job, status: r.Status, reason: reasonCode(r.Reason)}
		i, ok := groups[key]
		if !ok {
			i = len(batch.Groups)
			groups[key] = i
			batch.Groups = append(batch.Groups, ReportGroup{Job: job, Status: r.Status, Reason: key.reason})
		}
		g := &batch.Groups[i]
		g.Attempts = append(g.Attempts, AttemptRef{Index: r.Task.Index, Attempt: r.Attempt})
	}
	return entry(TypeReport, &batch)
}

// StopEntry returns one entry with the given stops. Unknown jobs are left out.
func (m *StateMachine) StopEntry(epoch api.Epoch, stops []Stop) journal.Entry {
	type groupKey struct {
		job        uint32
		checkpoint bool
		reason     uint8
		preemptor  api.JobID
	}
	batch := StopBatch{Epoch: epoch}
	groups := make(map[groupKey]int)
	for _, s := range stops {
		job, ok := m.numberOf(s.Task.Job)
		if !ok {
			continue
		}
		key := groupKey{job: job, checkpoint: s.Checkpoint, reason: reasonCode(s.Reason), preemptor: s.Preemptor}
		i, ok := groups[key]
		if !ok {
			i = len(batch.Groups)
			groups[key] = i
			batch.Groups = append(batch.Groups, StopGroup{Job: job, Checkpoint: s.Checkpoint, Reason: key.reason, Preemptor: s.Preemptor})
		}
		g := &batch.Groups[i]
		g.Attempts = append(g.Attempts, AttemptRef{Index: s.Task.Index, Attempt: s.Attempt})
	}
	return entry(TypeStop, &batch)
}

// ReplaceEntry returns the entry that adds replacements for tasks of one job, or
// false if the job is unknown.
func (m *StateMachine) ReplaceEntry(epoch api.Epoch, job api.JobID, tasks []AllocatedTask) (journal.Entry, bool) {
	number, ok := m.numberOf(job)
	if !ok {
		return journal.Entry{}, false
	}
	batch := Replace{Epoch: epoch, Job: number}
	for _, t := range tasks {
		batch.Attempts = append(batch.Attempts, AttemptRef{Index: t.Task.Index, Attempt: t.Attempt})
	}
	return entry(TypeReplace, &batch), true
}
