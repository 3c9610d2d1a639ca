package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

func (m *StateMachine) applyStarts(b *StartBatch) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	var firstRejection *Rejection
	accepted := 0
	for i := range b.Groups {
		n, rejection := m.applyStartGroup(b.Epoch, &b.Groups[i])
		accepted += n
		if firstRejection == nil {
			firstRejection = rejection
		}
	}
	if accepted > 0 {
		return nil
	}
	if firstRejection == nil {
		return &Rejection{Reason: api.ReasonMalformed, Detail: "no starts"}
	}
	return firstRejection
}

// applyStartGroup applies the starts of one job. It returns the number of
// accepted starts and the first rejection.
func (m *StateMachine) applyStartGroup(epoch api.Epoch, g *StartGroup) (int, *Rejection) {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	accepted := 0
	var firstRejection *Rejection
	known := m.withJob(g.Job, func(j *job) {
		a := startApplier{machine: m, epoch: epoch, job: j, group: g}
		if g.Gang || j.spec.Class == api.ClassGang {
			accepted = a.applyGang()
		} else {
			accepted = a.applyEach()
		}
		firstRejection = a.firstRejection
	})
	if !known {
		firstRejection = &Rejection{Reason: api.ReasonUnknownJob, Detail: "the job of a start is not known"}
		for range g.Starts {
			m.count(api.ReasonUnknownJob)
		}
	}
	return accepted, firstRejection
}

// startApplier applies one group of starts while its job and the VMs are locked.
type startApplier struct {
	machine        *StateMachine
	epoch          api.Epoch
	job            *job
	group          *StartGroup
	firstRejection *Rejection
}

// applyEach accepts or rejects every start on its own.
func (a *startApplier) applyEach() int {
	accepted := 0
	for _, s := range a.group.Starts {
		if reason := a.allocate(s); reason != "" {
			a.reject(s, reason)
			continue
		}
		a.accept(s)
		accepted++
	}
	return accepted
}

// applyGang allocates capacity for all starts and accepts them, or releases all
// allocations and rejects them.
func (a *startApplier) applyGang() int {
	reason := a.incompleteGangReason()
	allocated := 0
	for _, s := range a.group.Starts {
		if reason != "" {
			break
		}
		if reason = a.allocate(s); reason == "" {
			allocated++
		}
	}
	if reason == "" {
		for _, s := range a.group.Starts {
			a.accept(s)
		}
		return allocated
	}
	for _, s := range a.group.Starts[:allocated] {
		// Release can't fail because the allocation was just made.
		_, _ = a.machine.vms.ledger.Release(s.VM, a.ledgerKey(s))
	}
	for _, s := range a.group.Starts {
		a.reject(s, reason)
	}
	return 0
}

// incompleteGangReason returns the reason to reject an incomplete gang: another
// task of it still holds a VM, or the group lacks a pending task. It returns ""
// for a complete gang.
func (a *startApplier) incompleteGangReason() api.Reason {
	if a.job.allocatedCount() > 0 || uint32(len(a.group.Starts)) != a.job.counts[api.TaskPending] {
		return api.ReasonGangWaiting
	}
	return ""
}

// allocate checks a start and allocates its capacity on the VM. It returns the
// reason of a failure, or "".
func (a *startApplier) allocate(s StartItem) api.Reason {
	t, ok := a.job.effectiveTask(s.Index)
	if !ok {
		return api.ReasonUnknownJob
	}
	if a.job.cancelled {
		return api.ReasonCancelled
	}
	if t.state != api.TaskPending {
		return api.ReasonWrongState
	}
	if s.Attempt != t.attempt+1 {
		return api.ReasonConflict
	}
	if a.machine.vms.schedulableRow(s.VM) == nil {
		return api.ReasonUnknownVM
	}
	if err := a.machine.vms.ledger.Allocate(s.VM, a.ledgerKey(s), a.group.Resources); err != nil {
		return ledgerReason(err)
	}
	return ""
}

func (a *startApplier) ledgerKey(s StartItem) ledger.Key {
	return ledger.Key{Job: a.group.Job, Index: s.Index, Attempt: s.Attempt}
}

func (a *startApplier) accept(s StartItem) {
	a.job.allocateTasks()
	t := &a.job.tasks[s.Index]
	t.vm = s.VM
	t.attempt = s.Attempt
	t.reason = 0
	a.job.setState(t, api.TaskStarting)
	a.machine.emit(a.event(EventTaskStarted, s, ""))
}

func (a *startApplier) reject(s StartItem, reason api.Reason) {
	a.machine.count(reason)
	a.machine.emit(a.event(EventStartRejected, s, reason))
	if a.firstRejection == nil {
		task := api.TaskID{Job: a.job.spec.ID, Index: s.Index}
		a.firstRejection = &Rejection{Reason: reason, Task: task, Detail: "start rejected where it stands in the log"}
	}
}

func (a *startApplier) event(kind EventKind, s StartItem, reason api.Reason) Event {
	e := Event{
		Kind:      kind,
		Epoch:     a.epoch,
		Task:      api.TaskID{Job: a.job.spec.ID, Index: s.Index},
		Attempt:   s.Attempt,
		Resources: a.group.Resources,
		State:     api.TaskStarting,
		Reason:    reason,
	}
	if row := a.machine.vms.schedulableRow(s.VM); row != nil {
		e.VM = row.id
	}
	return e
}
