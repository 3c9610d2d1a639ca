package cell

import (
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// MovedJob is a job that was moved out of this cell and may not have arrived in
// the other one yet.
type MovedJob struct {
	Spec       api.JobSpec
	To         api.DataCentre
	MoveNumber uint32       // from 1, in the order in which the jobs must be submitted
	EndedTasks []IndexRange // tasks that ended in this cell
}

// UnconfirmedMoves returns the jobs that were moved out and whose arrival is not
// confirmed, in the order of their moves.
func (m *StateMachine) UnconfirmedMoves() []MovedJob {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	list := make([]MovedJob, 0, len(m.movedOut))
	for _, number := range m.movedOut {
		m.readJobNumber(number, func(j *job) {
			list = append(list, MovedJob{Spec: j.spec, To: j.movedTo, MoveNumber: j.moveNumber, EndedTasks: j.endedRanges()})
		})
	}
	return list
}

// endedRanges returns the tasks that have ended. For a service it returns none,
// because all tasks of a service start again.
func (j *job) endedRanges() []IndexRange {
	if j.spec.Class == api.ClassService {
		return nil
	}
	var ranges []IndexRange
	for i := range j.tasks {
		if s := j.tasks[i].state; s != api.TaskFinished && s != api.TaskFailed {
			continue
		}
		index := uint32(i)
		if last := len(ranges) - 1; last >= 0 && ranges[last].End == index {
			ranges[last].End++
			continue
		}
		ranges = append(ranges, IndexRange{First: index, End: index + 1})
	}
	return ranges
}

// markEndedElsewhere marks tasks that ended in another data centre as finished.
func (j *job) markEndedElsewhere(ranges []IndexRange) {
	for _, r := range ranges {
		j.allocateTasks()
		for i := r.First; i < min(r.End, j.size); i++ {
			if t := &j.tasks[i]; t.state == api.TaskPending {
				j.setState(t, api.TaskFinished)
				t.reason = reasonCode(ReasonMoved)
			}
		}
	}
}

// acceptMove records the move of a submitted job that comes from another data centre.
// It rejects a submission that repeats a move of its data centre or skips one.
func (m *StateMachine) acceptMove(s *Submit) *Rejection {
	if s.MovedFrom == nil {
		return nil
	}
	task := api.TaskID{Job: s.Spec.ID}
	switch latest := m.movedIn[s.MovedFrom.DataCentre]; {
	case s.MovedFrom.MoveNumber <= latest:
		return &Rejection{Reason: api.ReasonDuplicate, Task: task, Detail: "the move was taken before"}
	case s.MovedFrom.MoveNumber > latest+1:
		return &Rejection{Reason: api.ReasonConflict, Task: task, Detail: "an earlier move is missing"}
	}
	m.movedIn[s.MovedFrom.DataCentre] = s.MovedFrom.MoveNumber
	return nil
}

func (m *StateMachine) applyMoveJobs(b *MoveJobs) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	if b.To == "" {
		return &Rejection{Reason: api.ReasonMalformed, Detail: "no data centre to move to"}
	}
	applied := 0
	for _, number := range b.Jobs {
		if m.moveOut(number, b.To) {
			applied++
		} else {
			m.count(api.ReasonWrongState)
		}
	}
	return rejectionIfNoneApplied(applied)
}

// moveOut ends a job in this cell unless one of its tasks still holds a VM.
func (m *StateMachine) moveOut(number uint32, to api.DataCentre) bool {
	var id api.JobID
	moved := false
	m.withJob(number, func(j *job) {
		if j.ended || j.cancelled || j.allocatedCount() > 0 {
			return
		}
		m.lastMoveNumber++
		j.movedTo = to
		j.moveNumber = m.lastMoveNumber
		j.cancelPending()
		j.ended = true
		id = j.spec.ID
		moved = true
	})
	if moved {
		m.movedOut = append(m.movedOut, number)
		m.emit(Event{Kind: EventJobEnded, Task: api.TaskID{Job: id}, Reason: ReasonMoved})
	}
	return moved
}

func (m *StateMachine) applyConfirmMoves(b *ConfirmMoves) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	applied := 0
	for _, number := range b.Jobs {
		i := slices.Index(m.movedOut, number)
		if i < 0 {
			m.count(api.ReasonWrongState)
			continue
		}
		m.movedOut = slices.Delete(m.movedOut, i, i+1)
		m.retainEnded(number)
		applied++
	}
	return rejectionIfNoneApplied(applied)
}
