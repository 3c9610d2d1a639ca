package cell

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ledger"
)

func (m *StateMachine) applyStarts(b *StartBatch) *Rejection {
	if r := m.checkEpoch(b.Epoch); r != nil {
		return r
	}
	var first *Rejection
	accepted := 0
	for i := range b.Groups {
		n, rejection := m.applyGroup(b.Epoch, &b.Groups[i])
		accepted += n
		if first == nil {
			first = rejection
		}
	}
	if accepted > 0 {
		return nil
	}
	if first == nil {
		return &Rejection{Reason: api.ReasonMalformed, Detail: "no starts"}
	}
	return first
}

// applyGroup applies the starts of one job and returns how many it accepted
// and the first rejection.
func (m *StateMachine) applyGroup(epoch api.Epoch, g *StartGroup) (int, *Rejection) {
	m.vms.mu.Lock()
	defer m.vms.mu.Unlock()
	accepted := 0
	var first *Rejection
	known := m.withJob(g.Job, func(j *job) {
		a := groupApply{m: m, epoch: epoch, j: j, g: g}
		if g.Gang || j.spec.Class == api.ClassGang {
			accepted = a.gang()
		} else {
			accepted = a.each()
		}
		first = a.first
	})
	if !known {
		first = &Rejection{Reason: api.ReasonUnknownJob, Detail: "the job of a start is not known"}
		for range g.Starts {
			m.count(api.ReasonUnknownJob)
		}
	}
	return accepted, first
}

// groupApply applies one group with its job and the VMs locked.
type groupApply struct {
	m     *StateMachine
	epoch api.Epoch
	j     *job
	g     *StartGroup
	first *Rejection
}

// each accepts or rejects every start on its own.
func (a *groupApply) each() int {
	accepted := 0
	for _, s := range a.g.Starts {
		if reason := a.claim(s); reason != "" {
			a.reject(s, reason)
			continue
		}
		a.accept(s)
		accepted++
	}
	return accepted
}

// gang claims for all starts and accepts them, or gives all claims back.
func (a *groupApply) gang() int {
	reason := a.gangReason()
	claimed := 0
	for _, s := range a.g.Starts {
		if reason != "" {
			break
		}
		if reason = a.claim(s); reason == "" {
			claimed++
		}
	}
	if reason == "" {
		for _, s := range a.g.Starts {
			a.accept(s)
		}
		return claimed
	}
	for _, s := range a.g.Starts[:claimed] {
		// The claim was just made, so it can be released.
		_, _ = a.m.vms.ledger.Release(s.VM, a.key(s))
	}
	for _, s := range a.g.Starts {
		a.reject(s, reason)
	}
	return 0
}

// gangReason rejects a gang that is not whole: another part of it still
// holds a VM, or not every pending task is in the group.
func (a *groupApply) gangReason() api.Reason {
	if a.j.holding() > 0 || uint32(len(a.g.Starts)) != a.j.counts[api.TaskPending] {
		return api.ReasonGangWaiting
	}
	return ""
}

// claim checks a start and claims the VM for it. It returns why not, or "".
func (a *groupApply) claim(s StartItem) api.Reason {
	t, ok := a.j.get(s.Index)
	if !ok {
		return api.ReasonUnknownJob
	}
	if a.j.cancelled {
		return api.ReasonCancelled
	}
	if t.state != api.TaskPending {
		return api.ReasonWrongState
	}
	if s.Attempt != t.attempt+1 {
		return api.ReasonConflict
	}
	if a.m.vms.row(s.VM) == nil {
		return api.ReasonUnknownVM
	}
	if err := a.m.vms.ledger.Allocate(s.VM, a.key(s), a.g.Resources); err != nil {
		return ledgerReason(err)
	}
	return ""
}

func (a *groupApply) key(s StartItem) ledger.Key {
	return ledger.Key{Job: a.g.Job, Index: s.Index, Attempt: s.Attempt}
}

func (a *groupApply) accept(s StartItem) {
	a.j.allocate()
	t := &a.j.tasks[s.Index]
	t.vm = s.VM
	t.attempt = s.Attempt
	t.reason = 0
	a.j.shift(t, api.TaskStarting)
	a.m.emit(a.event(EventTaskStarted, s, ""))
}

func (a *groupApply) reject(s StartItem, reason api.Reason) {
	a.m.count(reason)
	a.m.emit(a.event(EventStartRejected, s, reason))
	if a.first == nil {
		task := api.TaskID{Job: a.j.spec.ID, Index: s.Index}
		a.first = &Rejection{Reason: reason, Task: task, Detail: "start rejected where it stands in the log"}
	}
}

func (a *groupApply) event(kind EventKind, s StartItem, reason api.Reason) Event {
	e := Event{
		Kind:      kind,
		Epoch:     a.epoch,
		Task:      api.TaskID{Job: a.j.spec.ID, Index: s.Index},
		Attempt:   s.Attempt,
		Resources: a.g.Resources,
		State:     api.TaskStarting,
		Reason:    reason,
	}
	if row := a.m.vms.row(s.VM); row != nil {
		e.VM = row.id
	}
	return e
}
