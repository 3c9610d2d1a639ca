package scheduler

import (
	"fmt"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// condemn takes a job that can never run out of the queue and reports it.
func (c *cycle) condemn(j *jobState, missing verdict) {
	w := c.world
	w.dequeue(j)
	j.condemned = true
	j.verdict = missing
	w.condemned = append(w.condemned, j)
	c.plan.Infeasible = append(c.plan.Infeasible, WaitingJob{
		Job:    j.Spec.ID,
		Reason: missing.reason,
		Detail: missing.detail,
	})
}

// judgeAgain notes that the fleet's kinds of VMs or a quota changed.
func (w *State) judgeAgain() {
	w.rejudge = true
	w.judgement++
}

// requeueCondemned queues the condemned jobs again after such a change.
func (w *State) requeueCondemned() {
	if !w.rejudge {
		return
	}
	w.rejudge = false
	for _, j := range w.condemned {
		if !j.removed && j.condemned && j.queue == nil {
			j.condemned = false
			w.queue.add(j)
		}
	}
	clear(w.condemned)
	w.condemned = w.condemned[:0]
	w.retryUnfitting()
}

// retryUnfitting lets the blocked shapes be judged again that no VM could
// hold even when idle: nothing that is freed would ever wake them. They were
// blocked while the fleet was not known.
func (w *State) retryUnfitting() {
	var unfitting []*shape
	for _, cell := range w.queue.blocked.cells {
		for _, s := range cell {
			if !w.fleet.holds(s.key.need) {
				unfitting = append(unfitting, s)
			}
		}
	}
	slices.SortFunc(unfitting, func(a, b *shape) int { return a.key.compare(b.key) })
	for _, s := range unfitting {
		w.retryShape(s)
	}
}

// holds reports whether some kind of VM, when idle, has room for need.
func (f *fleet) holds(need api.Resources) bool {
	for _, k := range f.list {
		if k.peak > 0 && need.Fits(k.kind.capacity) {
			return true
		}
	}
	return false
}

// missing says what j would need that no VM, no quota or not the whole
// fleet can give; its reason is empty when nothing is missing.
func (w *State) missing(j *jobState) verdict {
	if t := j.team; t.limited && !j.atOnce().Fits(t.max) {
		return verdict{api.ReasonQuota, fmt.Sprintf(
			"needs %v at once, the quota of team %s is %v", j.atOnce(), t.name, t.max)}
	}
	s := j.queue.shape
	if s.judged == w.judgement+1 {
		return verdict{}
	}
	v := w.fleet.missing(j)
	if v.reason == "" {
		s.judged = w.judgement + 1
	}
	return v
}

// atOnce is the least that j holds when any of it runs.
func (j *jobState) atOnce() api.Resources {
	if j.isGang() {
		return j.need().Times(int64(j.Spec.Tasks))
	}
	return j.need()
}

func (f *fleet) missing(j *jobState) verdict {
	if f.vms == 0 {
		return verdict{}
	}
	need := j.need()
	room := int64(0)
	var largest api.Resources
	for _, k := range f.list {
		if k.peak == 0 || !j.mayUse(k.kind.dc) {
			continue
		}
		largest = larger(largest, k.kind.capacity)
		each := fitCount(need, k.kind.capacity)
		if j.Spec.MaxPerVM > 0 {
			each = min(each, int64(j.Spec.MaxPerVM))
		}
		room += each * k.peak
	}
	switch {
	case room == 0:
		return verdict{api.ReasonNeverFits, fmt.Sprintf(
			"a task needs %v, the VMs it may use have at most %v", need, largest)}
	case j.isGang() && room < int64(j.Spec.Tasks):
		return verdict{api.ReasonNeverFits, fmt.Sprintf(
			"%d tasks of %v at once, the VMs it may use have room for %d when idle", j.Spec.Tasks, need, room)}
	}
	return verdict{}
}

func larger(a, b api.Resources) api.Resources {
	a.MilliCPU = max(a.MilliCPU, b.MilliCPU)
	a.MemoryMB = max(a.MemoryMB, b.MemoryMB)
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	return a
}

func quotaVerdict(t *teamState, need api.Resources) verdict {
	return verdict{api.ReasonQuota, fmt.Sprintf(
		"team %s holds %v of %v and needs %v more", t.name, t.use, t.max, need)}
}
