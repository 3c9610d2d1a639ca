package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

func (m *StateMachine) applyReports(b *ReportBatch) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	applied := 0
	for i := range b.Groups {
		applied += m.applyReportGroup(&b.Groups[i])
	}
	return rejectionIfNoneApplied(applied)
}

// rejectionIfNoneApplied returns a rejection of the entry if none of its items was
// applied.
func rejectionIfNoneApplied(applied int) *Rejection {
	if applied > 0 {
		return nil
	}
	return &Rejection{Reason: api.ReasonWrongState, Detail: "no attempt named is in a state that this changes"}
}

func (m *StateMachine) applyReportGroup(g *ReportGroup) int {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	applied := 0
	m.withJob(g.Job, func(j *job) {
		for _, item := range g.Attempts {
			if m.applyReport(j, g, item) {
				applied++
			} else {
				m.count(api.ReasonWrongState)
			}
		}
	})
	if applied > 0 && g.Status != AttemptRunning {
		m.endIfDone(g.Job)
	}
	return applied
}

// currentAttempt returns the task if item names its latest attempt and that holds
// a VM, else nil.
func (j *job) currentAttempt(item AttemptRef) *task {
	if item.Index >= uint32(len(j.tasks)) {
		return nil
	}
	t := &j.tasks[item.Index]
	if t.attempt != item.Attempt || !t.state.HoldsResources() {
		return nil
	}
	return t
}

func (m *StateMachine) applyReport(j *job, g *ReportGroup, item AttemptRef) bool {
	t := j.currentAttempt(item)
	if t == nil {
		return false
	}
	if g.Status == AttemptRunning {
		return m.markRunning(j, t, item)
	}
	if g.Status < AttemptRunning || g.Status > AttemptLost {
		return false
	}
	vm := t.vm
	// A task that holds a VM always has an allocation there.
	released, _ := m.vms.ledger.Release(vm, ledger.Key{Job: j.number, Index: item.Index, Attempt: item.Attempt})
	id := m.vms.rows[vm].id
	m.vms.forgetIfEmpty(vm)
	j.endAttempt(t, g.Status, g.Reason)
	effective, _ := j.effectiveTask(item.Index)
	m.emit(Event{
		Kind:      EventTaskFreed,
		Task:      api.TaskID{Job: j.spec.ID, Index: item.Index},
		Attempt:   item.Attempt,
		VM:        id,
		Resources: released,
		State:     effective.state,
		Reason:    reasonOf(t.reason),
	})
	return true
}

func (m *StateMachine) markRunning(j *job, t *task, item AttemptRef) bool {
	if t.state != api.TaskStarting {
		return false
	}
	j.setState(t, api.TaskRunning)
	m.emit(Event{
		Kind:    EventTaskRunning,
		Task:    api.TaskID{Job: j.spec.ID, Index: item.Index},
		Attempt: item.Attempt,
		VM:      m.vms.rows[t.vm].id,
		State:   api.TaskRunning,
	})
	return true
}

func (m *StateMachine) applyStops(b *StopBatch) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	m.vms.mu.RLock()
	defer m.vms.mu.RUnlock()
	applied := 0
	for i := range b.Groups {
		g := &b.Groups[i]
		m.withJob(g.Job, func(j *job) {
			for _, item := range g.Attempts {
				if m.applyStop(j, g, item) {
					applied++
				} else {
					m.count(api.ReasonWrongState)
				}
			}
		})
	}
	return rejectionIfNoneApplied(applied)
}

// applyStop marks a task as stopping. A stop without a checkpoint overrides an
// earlier stop with a checkpoint, but not the reverse.
func (m *StateMachine) applyStop(j *job, g *StopGroup, item AttemptRef) bool {
	t := j.currentAttempt(item)
	if t == nil || j.cancelled {
		return false
	}
	if t.state == api.TaskStopping && (g.Checkpoint || t.flags&flagCheckpointOnStop == 0) {
		return false
	}
	t.flags &^= flagCheckpointOnStop
	if g.Checkpoint {
		t.flags |= flagCheckpointOnStop
	}
	t.reason = g.Reason
	j.setState(t, api.TaskStopping)
	m.emit(Event{
		Kind:    EventTaskStopping,
		Task:    api.TaskID{Job: j.spec.ID, Index: item.Index},
		Attempt: item.Attempt,
		VM:      m.vms.rows[t.vm].id,
		State:   api.TaskStopping,
		Reason:  reasonOf(g.Reason),
	})
	return true
}

func (m *StateMachine) applyReplace(b *Replace) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	applied := 0
	m.withJob(b.Job, func(j *job) {
		for _, item := range b.Attempts {
			if m.replaceTask(j, item) {
				applied++
			}
		}
	})
	return rejectionIfNoneApplied(applied)
}

func (m *StateMachine) replaceTask(j *job, item AttemptRef) bool {
	t := j.currentAttempt(item)
	if t == nil || j.cancelled || t.flags&flagHasReplacement != 0 || j.size >= maxTasksPerJob {
		return false
	}
	t.flags |= flagHasReplacement
	index := j.size
	j.size++
	j.tasks = append(j.tasks, j.initialTask())
	j.counts[api.TaskPending]++
	if j.replaced == nil {
		j.replaced = make(map[uint32]uint32)
	}
	j.replaced[index] = item.Index
	m.emit(Event{Kind: EventTaskAdded, Task: api.TaskID{Job: j.spec.ID, Index: index}, State: api.TaskPending, Reason: api.ReasonDrained})
	return true
}
