package scheduler

import (
	"fmt"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// markInfeasible removes a job that can never run from the queue and reports it.
func (c *cycle) markInfeasible(j *jobState, cause status) {
	st := c.state
	st.dequeue(j)
	j.infeasible = true
	j.status = cause
	st.infeasible = append(st.infeasible, j)
	c.plan.Infeasible = append(c.plan.Infeasible, WaitingJob{
		Job:    j.Spec.ID,
		Reason: cause.reason,
		Detail: cause.detail,
	})
}

// invalidateFeasibility records that the VM kinds of the fleet or a quota changed, so
// that feasibility is checked again.
func (st *State) invalidateFeasibility() {
	st.recheckInfeasible = true
	st.feasibilityEpoch++
}

// requeueInfeasible queues the infeasible jobs again after such a change.
func (st *State) requeueInfeasible() {
	if !st.recheckInfeasible {
		return
	}
	st.recheckInfeasible = false
	for _, j := range st.infeasible {
		if !j.removed && j.infeasible && j.queue == nil {
			j.infeasible = false
			st.queue.add(j)
		}
	}
	clear(st.infeasible)
	st.infeasible = st.infeasible[:0]
	st.retryOversizedShapes()
}

// retryOversizedShapes retries the blocked shapes that fit no VM even when idle.
// They were blocked while the fleet was unknown, and no freed capacity would ever
// wake them.
func (st *State) retryOversizedShapes() {
	var oversized []*shape
	for _, bucket := range st.queue.blocked.buckets {
		for _, s := range bucket {
			if !st.fleet.fitsIdleVM(s.key.need) {
				oversized = append(oversized, s)
			}
		}
	}
	slices.SortFunc(oversized, func(a, b *shape) int { return a.key.compare(b.key) })
	for _, s := range oversized {
		st.retryShape(s)
	}
}

// fitsIdleVM reports whether need fits some kind of VM when idle.
func (f *fleet) fitsIdleVM(need api.Resources) bool {
	for _, k := range f.kindList {
		if k.peak > 0 && need.Fits(k.kind.capacity) {
			return true
		}
	}
	return false
}

// checkFeasibility returns why j can never run: its quota, every VM, or the whole
// fleet is too small. The reason is empty if j can run.
func (st *State) checkFeasibility(j *jobState) status {
	if t := j.team; t.hasQuota && !j.minAllocation().Fits(t.quota) {
		return status{api.ReasonQuota, fmt.Sprintf(
			"needs %v at once, the quota of team %s is %v", j.minAllocation(), t.name, t.quota)}
	}
	s := j.queue.shape
	if s.feasibleAtEpoch == st.feasibilityEpoch+1 {
		return status{}
	}
	result := st.fleet.checkFeasibility(j)
	if result.reason == "" {
		s.feasibleAtEpoch = st.feasibilityEpoch + 1
	}
	return result
}

// minAllocation returns the resources that j holds at least when any of it runs.
func (j *jobState) minAllocation() api.Resources {
	if j.isGang() {
		return j.need().Mul(int64(j.Spec.Tasks))
	}
	return j.need()
}

func (f *fleet) checkFeasibility(j *jobState) status {
	if f.vmCount == 0 {
		return status{}
	}
	need := j.need()
	tasks := int64(0)
	var largest api.Resources
	for _, k := range f.kindList {
		if k.peak == 0 || !j.mayUse(k.kind.dc) {
			continue
		}
		largest = larger(largest, k.kind.capacity)
		perVM := fitCount(need, k.kind.capacity)
		if j.Spec.MaxPerVM > 0 {
			perVM = min(perVM, int64(j.Spec.MaxPerVM))
		}
		tasks += perVM * k.peak
	}
	switch {
	case tasks == 0:
		return status{api.ReasonNeverFits, fmt.Sprintf(
			"a task needs %v, the VMs it may use have at most %v", need, largest)}
	case j.isGang() && tasks < int64(j.Spec.Tasks):
		return status{api.ReasonNeverFits, fmt.Sprintf(
			"%d tasks of %v at once, the VMs it may use have room for %d when idle", j.Spec.Tasks, need, tasks)}
	}
	return status{}
}

func larger(a, b api.Resources) api.Resources {
	a.MilliCPU = max(a.MilliCPU, b.MilliCPU)
	a.MemoryMB = max(a.MemoryMB, b.MemoryMB)
	a.Accelerators = max(a.Accelerators, b.Accelerators)
	return a
}

func quotaStatus(t *teamState, need api.Resources) status {
	return status{api.ReasonQuota, fmt.Sprintf(
		"team %s holds %v of %v and needs %v more", t.name, t.allocated, t.quota, need)}
}
