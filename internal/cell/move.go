package cell

import (
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// MovedJob is a job that has left this cell and may not have arrived in the
// other one yet.
type MovedJob struct {
	Spec       api.JobSpec
	To         api.DataCentre
	MoveNumber uint32       // from 1, in the order in which they are to be submitted
	EndedTasks []IndexRange // tasks that ended here
}

// UnconfirmedMoves returns the jobs that were moved and whose arrival is not
// confirmed, in order of their moves.
func (m *StateMachine) UnconfirmedMoves() []MovedJob {
	m.applying.Lock()
	defer m.applying.Unlock()
	list := make([]MovedJob, 0, len(m.movedOut))
	for _, number := range m.movedOut {
		m.rlockJob(number, func(j *job) {
			list = append(list, MovedJob{Spec: j.spec, To: j.movedTo, MoveNumber: j.move, EndedTasks: j.settledRanges()})
		})
	}
	return list
}

// settledRanges lists the tasks that ended. The tasks of a service start
// anew, all of them.
func (j *job) settledRanges() []IndexRange {
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

// settleRanges marks tasks as ended elsewhere.
func (j *job) settleRanges(ranges []IndexRange) {
	for _, r := range ranges {
		j.allocate()
		for i := r.First; i < min(r.End, j.size); i++ {
			if t := &j.tasks[i]; t.state == api.TaskPending {
				j.shift(t, api.TaskFinished)
				t.reason = reasonCode(ReasonMoved)
			}
		}
	}
}

// takeMove takes the moves of a data centre in order and each once.
func (m *StateMachine) takeMove(s *Submit) *Rejection {
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

func (m *StateMachine) applyMove(b *MoveJobs) *Rejection {
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
	return orWrongState(applied)
}

// moveOut ends a job here, unless some of it still holds a VM.
func (m *StateMachine) moveOut(number uint32, to api.DataCentre) bool {
	var id api.JobID
	moved := false
	m.withJob(number, func(j *job) {
		if j.ended || j.cancelled || j.holding() > 0 {
			return
		}
		m.moves++
		j.movedTo = to
		j.move = m.moves
		j.dropPending()
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

func (m *StateMachine) applyMoved(b *ConfirmMoves) *Rejection {
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
		m.keepEnded(number)
		applied++
	}
	return orWrongState(applied)
}
