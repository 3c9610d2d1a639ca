package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// maxPreemptionCandidates bounds the VMs compared for one preemption.
const maxPreemptionCandidates = 64

// nomination keeps capacity on a VM for a task while its victims stop.
type nomination struct {
	job     *jobState
	vm      *vmState
	need    api.Resources
	victims []*allocation
	expires time.Time
}

// preemptResult is the outcome of an attempt to preempt.
type preemptResult int

const (
	preemptNone      preemptResult = iota // not allowed, or no victims free enough capacity
	preemptNominated                      // a VM was nominated for one more task
	preemptRetry                          // the preemptions of this cycle are used up
)

// preempt nominates capacity for one task of j by stopping work of lower priority.
// The capacity is free only when the victims have stopped; until then it is
// nominated.
func (c *cycle) preempt(j *jobState) preemptResult {
	if len(j.nominations) >= len(j.pending) || !c.state.evictable.anyBelow(c.victimPriorityLimit(j)) {
		return preemptNone
	}
	remaining := c.cfg.Policy.MaxPreemptions - len(c.plan.Preemptions)
	if remaining <= 0 {
		return preemptRetry
	}
	v, victims := c.cheapestVictims(j, remaining)
	if v == nil {
		return preemptNone
	}
	c.nominate(j, v, victims)
	return preemptNominated
}

// victimPriorityLimit returns the priority below which j may preempt running tasks.
func (c *cycle) victimPriorityLimit(j *jobState) int {
	if j.isUrgent() {
		return api.PriorityUrgent
	}
	return j.Spec.Priority - c.cfg.PreemptMargin + 1
}

func (c *cycle) nominate(j *jobState, v *vmState, victims []*allocation) {
	n := &nomination{
		job:     j,
		vm:      v,
		need:    j.need(),
		victims: victims,
		expires: c.now.Add(c.cfg.NominationTimeout),
	}
	for _, alloc := range victims {
		alloc.stopping = true
		c.plan.Preemptions = append(c.plan.Preemptions, Preemption{Task: alloc.task, VM: v.ID, Preemptor: j.Spec.ID})
	}
	j.nominations = append(j.nominations, n)
	c.state.nominations = append(c.state.nominations, n)
	v.nominated = v.nominated.Add(n.need)
	c.state.reindex(v)
}

// preemptionCandidate is a VM with the victims that would free enough capacity on it.
type preemptionCandidate struct {
	vm       *vmState
	victims  []*allocation
	priority int32 // highest priority of the victims
	load     int64 // processors and memory of the victims, in thousandths of the VM
}

func (p preemptionCandidate) cheaper(o preemptionCandidate) bool {
	if p.priority != o.priority {
		return p.priority < o.priority
	}
	if len(p.victims) != len(o.victims) {
		return len(p.victims) < len(o.victims)
	}
	return p.load < o.load
}

// cheapestVictims returns the VM of a sample on which the cheapest set of at most
// maxVictims victims frees enough capacity for a task of j, or nil if there is
// none.
func (c *cycle) cheapestVictims(j *jobState, maxVictims int) (*vmState, []*allocation) {
	var best preemptionCandidate
	compared := 0
	below := int32(c.victimPriorityLimit(j))
	visit := func(v *vmState) bool {
		if !v.evictableByBand.anyBelow(int(below)) || !c.canPreemptOn(j, v) {
			return true
		}
		candidate, ok := candidateOn(v, j.need(), below)
		if !ok || len(candidate.victims) > maxVictims {
			return true
		}
		compared++
		if best.vm == nil || candidate.cheaper(best) {
			best = candidate
		}
		return compared < maxPreemptionCandidates
	}
	var noNeed api.Resources
	for _, d := range c.dataCentres(j) {
		if j.need().Accelerators == 0 && !d.cpuOnly.walk(noNeed, 0, c.rand.Uint32(), visit) {
			break
		}
		if !d.accelerated.walk(noNeed, 0, c.rand.Uint32(), visit) {
			break
		}
	}
	return best.vm, best.victims
}

// canPreemptOn reports whether stopping victims on v could help j. A VM with enough
// free capacity was excluded for another reason, which stopping victims does not
// change. VMs with accelerators are kept for work that needs them, unless j is
// urgent.
func (c *cycle) canPreemptOn(j *jobState, v *vmState) bool {
	need := j.need()
	switch {
	case need.Fits(v.available()) || !need.Fits(v.available().Add(v.evictable)):
		return false
	case need.Accelerators == 0 && v.Capacity.Accelerators > 0 && !j.isUrgent():
		return false
	}
	return !j.Avoid[v.ID] && j.spreadAllows(v)
}

// candidateOn selects the cheapest victims with a priority below the given one that
// free enough capacity for need on v: lowest priority first, then the most recently
// started.
func candidateOn(v *vmState, need api.Resources, below int32) (preemptionCandidate, bool) {
	capacity := v.available()
	var victims []*allocation
	for _, alloc := range v.allocations {
		switch {
		case alloc.stopping:
			capacity = capacity.Add(alloc.resources)
		case alloc.evictable() && alloc.priority < below:
			victims = append(victims, alloc)
		}
	}
	slices.SortFunc(victims, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.started, a.started),
			cmp.Compare(a.vmIndex, b.vmIndex))
	})
	taken := 0
	for taken < len(victims) && !need.Fits(capacity) {
		capacity = capacity.Add(victims[taken].resources)
		taken++
	}
	if !need.Fits(capacity) {
		return preemptionCandidate{}, false
	}
	return newPreemptionCandidate(v, dropUnneededVictims(victims[:taken], need, capacity)), true
}

// dropUnneededVictims removes victims that are not needed to fit need, the most
// expensive first.
func dropUnneededVictims(victims []*allocation, need, capacity api.Resources) []*allocation {
	kept := make([]*allocation, 0, len(victims))
	for i := len(victims) - 1; i >= 0; i-- {
		without := capacity.Sub(victims[i].resources)
		if need.Fits(without) {
			capacity = without
			continue
		}
		kept = append(kept, victims[i])
	}
	return kept
}

func newPreemptionCandidate(v *vmState, victims []*allocation) preemptionCandidate {
	const thousandths = 1000
	candidate := preemptionCandidate{vm: v, victims: victims}
	for _, alloc := range victims {
		candidate.priority = max(candidate.priority, alloc.priority)
		candidate.load += int64(thousandths * fraction(alloc.resources.MilliCPU, v.Capacity.MilliCPU))
		candidate.load += int64(thousandths * fraction(alloc.resources.MemoryMB, v.Capacity.MemoryMB))
	}
	return candidate
}

// bandCounts counts tasks by the priority band they were started in.
type bandCounts [bandCount]int32

// anyBelow reports whether a counted task may have a priority below the given one.
func (b *bandCounts) anyBelow(priority int) bool {
	if priority <= api.PriorityLowest {
		return false
	}
	for _, n := range b[:bandOf(priority-1, 0)+1] {
		if n > 0 {
			return true
		}
	}
	return false
}

// countEvictable adds n to the counts of evictable tasks, and n times the resources
// of alloc to the evictable resources of its VM, if alloc is evictable.
func (st *State) countEvictable(alloc *allocation, n int32) {
	if !alloc.evictable() {
		return
	}
	band := bandOf(int(alloc.priority), 0)
	alloc.vm.evictable = alloc.vm.evictable.Add(alloc.resources.Mul(int64(n)))
	alloc.vm.evictableByBand[band] += n
	st.evictable[band] += n
}

// evictable reports whether alloc may be preempted, by checkpoint and stop.
func (alloc *allocation) evictable() bool {
	return alloc.checkpointable && alloc.class == api.ClassBatch && !alloc.reserved
}

// expireNominations drops the nominations whose victims did not stop in time.
func (st *State) expireNominations(now time.Time) {
	for i := 0; i < len(st.nominations); {
		n := st.nominations[i]
		if now.Before(n.expires) {
			i++
			continue
		}
		st.dropNomination(n)
		if q := n.job.queue; q != nil {
			st.retryShape(q.shape)
		}
	}
}

func (st *State) dropNominations(j *jobState) {
	for len(j.nominations) > 0 {
		st.dropNomination(j.nominations[0])
	}
}

// dropNomination releases the capacity nominated by n.
func (st *State) dropNomination(n *nomination) {
	st.undoNomination(n)
	st.markFreed(n.vm)
	st.dropIfEmpty(n.vm)
}

// undoNomination removes n as if it had not been made.
func (st *State) undoNomination(n *nomination) {
	same := func(o *nomination) bool { return o == n }
	st.nominations = slices.DeleteFunc(st.nominations, same)
	n.job.nominations = slices.DeleteFunc(n.job.nominations, same)
	for _, alloc := range n.victims {
		alloc.stopping = false
	}
	n.vm.nominated = n.vm.nominated.Sub(n.need)
	st.reindex(n.vm)
}

// consumeNomination drops the nomination that a start of j on v makes unnecessary:
// the one on v, or else the oldest if j has a nomination for every pending task.
func (st *State) consumeNomination(j *jobState, v *vmState) {
	for _, n := range j.nominations {
		if n.vm == v {
			st.dropNomination(n)
			return
		}
	}
	if len(j.nominations) >= len(j.pending) {
		st.dropNomination(j.nominations[0])
	}
}

// nominatedVM returns a VM nominated for j whose victims have stopped, or nil.
func (j *jobState) nominatedVM() *vmState {
	for _, n := range j.nominations {
		if n.vm.acceptsWork() && j.spreadAllows(n.vm) && n.need.Fits(n.vm.available().Add(n.need)) {
			return n.vm
		}
	}
	return nil
}
