package cell

import (
	"errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// maxTasksPerJob is the maximum number of tasks of a job, including replacements.
const maxTasksPerJob = 1_000_000

func (m *StateMachine) applySubmit(s *Submit) *Rejection {
	id := s.Spec.ID
	if detail := invalidSpecDetail(&s.Spec); detail != "" {
		return &Rejection{Reason: api.ReasonMalformed, Task: api.TaskID{Job: id}, Detail: detail}
	}
	if r := m.acceptMove(s); r != nil {
		return r
	}
	if _, known := m.numberOf(id); known {
		return m.handleKnownJob(s)
	}
	j := newJob(m.nextJob, s.Spec, s.ProposedAtMs)
	m.nextJob++
	if s.MovedFrom != nil {
		j.markEndedElsewhere(s.MovedFrom.EndedTasks)
	}
	m.insert(j)
	m.emit(Event{Kind: EventJobSubmitted, Task: api.TaskID{Job: id}})
	m.endIfDone(j.number)
	return nil
}

// invalidSpecDetail describes why a job with this spec can never be placed. It
// returns "" for a valid spec.
func invalidSpecDetail(spec *api.JobSpec) string {
	switch {
	case spec.ID == "":
		return "no ID"
	case spec.Tasks == 0 || spec.Tasks > maxTasksPerJob:
		return "number of tasks out of range"
	case spec.Resources.HasNegative() || spec.Resources.IsZero():
		return "resources negative or none"
	}
	return ""
}

// handleKnownJob rejects a second job with a known ID. A job that was moved to
// this cell counts as arrived nevertheless, so that later moves can be applied.
func (m *StateMachine) handleKnownJob(s *Submit) *Rejection {
	if s.MovedFrom != nil {
		m.count(api.ReasonDuplicate)
		return nil
	}
	return &Rejection{Reason: api.ReasonDuplicate, Task: api.TaskID{Job: s.Spec.ID}, Detail: "the job is known"}
}

func (m *StateMachine) insert(j *job) {
	s := m.jobShardOf(j.number)
	s.mu.Lock()
	s.jobs[j.number] = j
	s.mu.Unlock()
	n := m.idShardOf(j.spec.ID)
	n.mu.Lock()
	n.numbers[j.spec.ID] = j.number
	n.mu.Unlock()
}

func (m *StateMachine) applyCancel(c *Cancel) *Rejection {
	cancelled := 0
	for _, id := range c.Jobs {
		if m.cancelJob(id) {
			cancelled++
		} else {
			m.count(api.ReasonUnknownJob)
		}
	}
	if cancelled == 0 {
		return &Rejection{Reason: api.ReasonUnknownJob, Detail: "no job to cancel"}
	}
	return nil
}

// cancelJob cancels a job unless it has ended or is cancelled already. It
// returns false if the job is unknown.
func (m *StateMachine) cancelJob(id api.JobID) bool {
	number, ok := m.numberOf(id)
	if !ok {
		return false
	}
	changed := false
	m.withJob(number, func(j *job) {
		if j.ended || j.cancelled {
			return
		}
		j.cancel()
		changed = true
	})
	if changed {
		m.emit(Event{Kind: EventJobCancelled, Task: api.TaskID{Job: id}, Reason: api.ReasonCancelled})
		m.endIfDone(number)
	}
	return true
}

// endIfDone ends a job if none of its tasks can change any more.
func (m *StateMachine) endIfDone(number uint32) {
	var id api.JobID
	hasEnded := false
	m.withJob(number, func(j *job) {
		if j.ended || !j.isDone() {
			return
		}
		j.ended = true
		hasEnded = true
		id = j.spec.ID
	})
	if !hasEnded {
		return
	}
	m.emit(Event{Kind: EventJobEnded, Task: api.TaskID{Job: id}})
	m.retainEnded(number)
}

// retainEnded keeps an ended job for explanations and forgets the oldest ended
// jobs beyond the limits.
func (m *StateMachine) retainEnded(number uint32) {
	m.ended = append(m.ended, number)
	m.withJob(number, func(j *job) { m.endedTasks += len(j.tasks) })
	for len(m.ended) > maxEndedJobs || (m.endedTasks > maxEndedTasks && len(m.ended) > 1) {
		m.forget(m.ended[0])
		m.ended = m.ended[1:]
	}
}

func (m *StateMachine) forget(number uint32) {
	s := m.jobShardOf(number)
	s.mu.Lock()
	j := s.jobs[number]
	delete(s.jobs, number)
	s.mu.Unlock()
	m.endedTasks -= len(j.tasks)
	n := m.idShardOf(j.spec.ID)
	n.mu.Lock()
	delete(n.numbers, j.spec.ID)
	n.mu.Unlock()
}

func (m *StateMachine) applyVMUpdate(b *VMUpdate) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	for _, observed := range b.Observed {
		m.vms.update(observed)
		m.emit(Event{Kind: EventVMObserved, VM: observed.ID, Resources: observed.Capacity})
	}
	for _, id := range b.Removed {
		if m.vms.remove(id) {
			m.emit(Event{Kind: EventVMRemoved, VM: id})
		}
	}
	return nil
}

func (t *vmTable) update(observed ObservedVM) {
	number, known := t.numbers[observed.ID]
	if !known {
		number = uint32(len(t.rows))
		t.rows = append(t.rows, nil)
		t.numbers[observed.ID] = number
	}
	t.rows[number] = &vmRow{id: observed.ID, rack: observed.Rack, capacity: observed.Capacity}
	t.ledger.SetCapacity(number, observed.Capacity)
}

func (t *vmTable) remove(id api.VMID) bool {
	number, known := t.numbers[id]
	if !known || t.rows[number].removed {
		return false
	}
	t.rows[number].removed = true
	t.forgetIfEmpty(number)
	return true
}

// forgetIfEmpty forgets a removed VM that no task holds. Its number is never
// reused.
func (t *vmTable) forgetIfEmpty(number uint32) {
	row := t.rows[number]
	if row == nil || !row.removed || t.ledger.Count(number) > 0 {
		return
	}
	t.ledger.RemoveVM(number)
	t.rows[number] = nil
	delete(t.numbers, row.id)
}

// schedulableRow returns the VM with the given number if it accepts starts, or nil.
func (t *vmTable) schedulableRow(number uint32) *vmRow {
	if number >= uint32(len(t.rows)) {
		return nil
	}
	vm := t.rows[number]
	if vm == nil || vm.removed {
		return nil
	}
	return vm
}

// ledgerReason returns the reason of a rejection for an error of the ledger.
func ledgerReason(err error) api.Reason {
	switch {
	case errors.Is(err, ledger.ErrUnknownVM):
		return api.ReasonUnknownVM
	case errors.Is(err, ledger.ErrInsufficientCapacity):
		return api.ReasonNoCapacity
	case errors.Is(err, ledger.ErrInvalidAmount):
		return api.ReasonMalformed
	}
	return api.ReasonConflict
}
