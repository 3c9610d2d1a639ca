package cell

import (
	"errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

// maxTasks bounds the tasks of one job.
const maxTasks = 1_000_000

func (m *StateMachine) applySubmit(s *Submit) *Rejection {
	id := s.Spec.ID
	if fault := specFault(&s.Spec); fault != "" {
		return &Rejection{Reason: api.ReasonMalformed, Task: api.TaskID{Job: id}, Detail: fault}
	}
	if r := m.takeMove(s); r != nil {
		return r
	}
	if _, known := m.numberOf(id); known {
		return m.knownJob(s)
	}
	j := newJob(m.nextJob, s.Spec, s.ProposedAtMs)
	m.nextJob++
	if s.MovedFrom != nil {
		j.settleRanges(s.MovedFrom.EndedTasks)
	}
	m.insert(j)
	m.emit(Event{Kind: EventJobSubmitted, Task: api.TaskID{Job: id}})
	m.retireIfDone(j.number)
	return nil
}

// specFault says what keeps a job from ever being placed, "" for nothing.
func specFault(spec *api.JobSpec) string {
	switch {
	case spec.ID == "":
		return "no ID"
	case spec.Tasks == 0 || spec.Tasks > maxTasks:
		return "number of tasks out of range"
	case spec.Resources.HasNegative() || spec.Resources.IsZero():
		return "resources negative or none"
	}
	return ""
}

// knownJob rejects a second job of an ID. One that was moved here counts as
// arrived all the same, so that the moves after it can be taken.
func (m *StateMachine) knownJob(s *Submit) *Rejection {
	if s.MovedFrom != nil {
		m.count(api.ReasonDuplicate)
		return nil
	}
	return &Rejection{Reason: api.ReasonDuplicate, Task: api.TaskID{Job: s.Spec.ID}, Detail: "the job is known"}
}

func (m *StateMachine) insert(j *job) {
	s := m.shardOf(j.number)
	s.mu.Lock()
	s.jobs[j.number] = j
	s.mu.Unlock()
	n := m.nameShardOf(j.spec.ID)
	n.mu.Lock()
	n.numbers[j.spec.ID] = j.number
	n.mu.Unlock()
}

func (m *StateMachine) applyCancel(c *Cancel) *Rejection {
	done := 0
	for _, id := range c.Jobs {
		if m.cancelOne(id) {
			done++
		} else {
			m.count(api.ReasonUnknownJob)
		}
	}
	if done == 0 {
		return &Rejection{Reason: api.ReasonUnknownJob, Detail: "no job to cancel"}
	}
	return nil
}

// cancelOne cancels a job that has not ended; a second time changes nothing.
func (m *StateMachine) cancelOne(id api.JobID) bool {
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
		m.retireIfDone(number)
	}
	return true
}

// retireIfDone ends a job of which no task can change any more.
func (m *StateMachine) retireIfDone(number uint32) {
	var id api.JobID
	retired := false
	m.withJob(number, func(j *job) {
		if j.ended || !j.done() {
			return
		}
		j.ended = true
		retired = true
		id = j.spec.ID
	})
	if !retired {
		return
	}
	m.emit(Event{Kind: EventJobEnded, Task: api.TaskID{Job: id}})
	m.keepEnded(number)
}

// keepEnded keeps an ended job for explanations and forgets the oldest ones
// beyond the bounds.
func (m *StateMachine) keepEnded(number uint32) {
	m.ended = append(m.ended, number)
	m.withJob(number, func(j *job) { m.endedTasks += len(j.tasks) })
	for len(m.ended) > maxEndedJobs || (m.endedTasks > maxEndedTasks && len(m.ended) > 1) {
		m.forget(m.ended[0])
		m.ended = m.ended[1:]
	}
}

func (m *StateMachine) forget(number uint32) {
	s := m.shardOf(number)
	s.mu.Lock()
	j := s.jobs[number]
	delete(s.jobs, number)
	s.mu.Unlock()
	m.endedTasks -= len(j.tasks)
	n := m.nameShardOf(j.spec.ID)
	n.mu.Lock()
	delete(n.numbers, j.spec.ID)
	n.mu.Unlock()
}

func (m *StateMachine) applyVMs(b *VMUpdate) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	for _, seen := range b.Observed {
		m.vms.put(seen)
		m.emit(Event{Kind: EventVMObserved, VM: seen.ID, Resources: seen.Capacity})
	}
	for _, id := range b.Removed {
		if m.vms.drop(id) {
			m.emit(Event{Kind: EventVMRemoved, VM: id})
		}
	}
	return nil
}

func (t *vmTable) put(seen ObservedVM) {
	number, known := t.numbers[seen.ID]
	if !known {
		number = uint32(len(t.rows))
		t.rows = append(t.rows, nil)
		t.numbers[seen.ID] = number
	}
	t.rows[number] = &vmRow{id: seen.ID, rack: seen.Rack, capacity: seen.Capacity}
	t.ledger.SetCapacity(number, seen.Capacity)
}

func (t *vmTable) drop(id api.VMID) bool {
	number, known := t.numbers[id]
	if !known || t.rows[number].gone {
		return false
	}
	t.rows[number].gone = true
	t.forgetIfEmpty(number)
	return true
}

// forgetIfEmpty forgets a dropped VM that nothing holds. Its number is never
// given again.
func (t *vmTable) forgetIfEmpty(number uint32) {
	row := t.rows[number]
	if row == nil || !row.gone || t.ledger.Count(number) > 0 {
		return
	}
	t.ledger.RemoveVM(number)
	t.rows[number] = nil
	delete(t.numbers, row.id)
}

// row returns a VM that takes starts.
func (t *vmTable) row(number uint32) *vmRow {
	if number >= uint32(len(t.rows)) {
		return nil
	}
	row := t.rows[number]
	if row == nil || row.gone {
		return nil
	}
	return row
}

// ledgerReason translates the ledger's errors.
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
