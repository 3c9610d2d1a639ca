package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// preemptSample is how many VMs are weighed for one preemption.
const preemptSample = 64

// nomination keeps room on a VM for a task whose victims are stopping.
type nomination struct {
	job     *jobState
	vm      *vmState
	need    api.Resources
	victims []*holding
	expires time.Time
}

// preemption is the outcome of an attempt to preempt.
type preemption int

const (
	preemptNone  preemption = iota // not entitled, or no victims make room
	preempting                     // a VM was nominated for one more task
	preemptLater                   // the cycle's preemptions are used up
)

// preempt makes room for one task of j by stopping cheaper work. The room
// counts as free only when the victims are gone; until then it is nominated.
func (c *cycle) preempt(j *jobState) preemption {
	if len(j.nominations) >= len(j.pending) || !c.world.evictable.anyBelow(c.victimsBelow(j)) {
		return preemptNone
	}
	left := c.cfg.Policy.MaxPreemptions - len(c.plan.Preemptions)
	if left <= 0 {
		return preemptLater
	}
	v, victims := c.cheapestVictims(j, left)
	if v == nil {
		return preemptNone
	}
	c.nominate(j, v, victims)
	return preempting
}

// victimsBelow is the priority under which j may displace running tasks.
func (c *cycle) victimsBelow(j *jobState) int {
	if j.isUrgent() {
		return api.PriorityUrgent
	}
	return j.Spec.Priority - c.cfg.PreemptMargin + 1
}

func (c *cycle) nominate(j *jobState, v *vmState, victims []*holding) {
	n := &nomination{
		job:     j,
		vm:      v,
		need:    j.need(),
		victims: victims,
		expires: c.now.Add(c.cfg.NominationTimeout),
	}
	for _, h := range victims {
		h.stopping = true
		c.plan.Preemptions = append(c.plan.Preemptions, Preemption{Task: h.task, VM: v.ID, Preemptor: j.Spec.ID})
	}
	j.nominations = append(j.nominations, n)
	c.world.nominations = append(c.world.nominations, n)
	v.nominated = v.nominated.Add(n.need)
	c.world.reindex(v)
}

// bid is a VM with the victims that would make room on it.
type bid struct {
	vm       *vmState
	victims  []*holding
	priority int32 // highest among the victims
	load     int64 // processors and memory they hold, in thousandths of the VM
}

func (b bid) cheaper(o bid) bool {
	if b.priority != o.priority {
		return b.priority < o.priority
	}
	if len(b.victims) != len(o.victims) {
		return len(b.victims) < len(o.victims)
	}
	return b.load < o.load
}

// cheapestVictims returns the VM of a sample on which the cheapest victims,
// most at most, make room for a task of j; nil if there is none.
func (c *cycle) cheapestVictims(j *jobState, most int) (*vmState, []*holding) {
	var best bid
	weighed := 0
	below := int32(c.victimsBelow(j))
	visit := func(v *vmState) bool {
		if !v.victims.anyBelow(int(below)) || !c.mayMakeRoom(j, v) {
			return true
		}
		b, ok := bidOn(v, j.need(), below)
		if !ok || len(b.victims) > most {
			return true
		}
		weighed++
		if best.vm == nil || b.cheaper(best) {
			best = b
		}
		return weighed < preemptSample
	}
	var nothing api.Resources
	for _, d := range c.dataCentres(j) {
		if j.need().Accelerators == 0 && !d.plain.walk(nothing, 0, c.rand.Uint32(), visit) {
			break
		}
		if !d.accelerated.walk(nothing, 0, c.rand.Uint32(), visit) {
			break
		}
	}
	return best.vm, best.victims
}

// mayMakeRoom reports whether victims on v could help j. A VM with room was
// refused on another ground, which stopping victims doesn't change; VMs with
// accelerators are left to work that needs them, unless j is urgent.
func (c *cycle) mayMakeRoom(j *jobState, v *vmState) bool {
	need := j.need()
	switch {
	case need.Fits(v.spare()) || !need.Fits(v.spare().Add(v.evictable)):
		return false
	case need.Accelerators == 0 && v.Capacity.Accelerators > 0 && !j.isUrgent():
		return false
	}
	return !j.Avoid[v.ID] && j.spreadAllows(v)
}

// bidOn picks the cheapest victims under a priority that make room for need
// on v: the lowest priority first, of one priority the youngest.
func bidOn(v *vmState, need api.Resources, below int32) (bid, bool) {
	room := v.spare()
	var able []*holding
	for _, h := range v.holdings {
		switch {
		case h.stopping:
			room = room.Add(h.resources)
		case h.evictable() && h.priority < below:
			able = append(able, h)
		}
	}
	slices.SortFunc(able, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(b.started, a.started),
			cmp.Compare(a.slot, b.slot))
	})
	taken := 0
	for taken < len(able) && !need.Fits(room) {
		room = room.Add(able[taken].resources)
		taken++
	}
	if !need.Fits(room) {
		return bid{}, false
	}
	return newBid(v, spareVictims(able[:taken], need, room)), true
}

// spareVictims leaves out victims that turn out not to be needed, the
// dearest first.
func spareVictims(victims []*holding, need, room api.Resources) []*holding {
	kept := make([]*holding, 0, len(victims))
	for i := len(victims) - 1; i >= 0; i-- {
		without := room.Sub(victims[i].resources)
		if need.Fits(without) {
			room = without
			continue
		}
		kept = append(kept, victims[i])
	}
	return kept
}

func newBid(v *vmState, victims []*holding) bid {
	const thousandths = 1000
	b := bid{vm: v, victims: victims}
	for _, h := range victims {
		b.priority = max(b.priority, h.priority)
		b.load += int64(thousandths * fraction(h.resources.MilliCPU, v.Capacity.MilliCPU))
		b.load += int64(thousandths * fraction(h.resources.MemoryMB, v.Capacity.MemoryMB))
	}
	return b
}

// bandCounts counts tasks by the priority band they were started in.
type bandCounts [bandCount]int32

// anyBelow reports whether a task may have a priority under that given.
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

// countEvictable adds n to the counts, and n times what h holds to the
// amounts, of what may be preempted.
func (w *State) countEvictable(h *holding, n int32) {
	if !h.evictable() {
		return
	}
	band := bandOf(int(h.priority), 0)
	h.vm.evictable = h.vm.evictable.Add(h.resources.Times(int64(n)))
	h.vm.victims[band] += n
	w.evictable[band] += n
}

// evictable reports whether h may be checkpointed and stopped for others.
func (h *holding) evictable() bool {
	return h.checkpointable && h.class == api.ClassBatch && !h.reserved
}

// expireNominations gives up those whose victims did not stop in time.
func (w *State) expireNominations(now time.Time) {
	for i := 0; i < len(w.nominations); {
		n := w.nominations[i]
		if now.Before(n.expires) {
			i++
			continue
		}
		w.dropNomination(n)
		if q := n.job.queue; q != nil {
			w.retryShape(q.shape)
		}
	}
}

func (w *State) dropNominations(j *jobState) {
	for len(j.nominations) > 0 {
		w.dropNomination(j.nominations[0])
	}
}

// dropNomination gives the room nominated by n back to everybody.
func (w *State) dropNomination(n *nomination) {
	w.undoNomination(n)
	w.markFreed(n.vm)
	w.dropIfEmpty(n.vm)
}

// undoNomination takes n back as if it had not been made.
func (w *State) undoNomination(n *nomination) {
	same := func(o *nomination) bool { return o == n }
	w.nominations = slices.DeleteFunc(w.nominations, same)
	n.job.nominations = slices.DeleteFunc(n.job.nominations, same)
	for _, h := range n.victims {
		h.stopping = false
	}
	n.vm.nominated = n.vm.nominated.Sub(n.need)
	w.reindex(n.vm)
}

// settleNomination drops the nomination that a start of j on v makes
// needless: the one on v, or one more than j has tasks left.
func (w *State) settleNomination(j *jobState, v *vmState) {
	for _, n := range j.nominations {
		if n.vm == v {
			w.dropNomination(n)
			return
		}
	}
	if len(j.nominations) >= len(j.pending) {
		w.dropNomination(j.nominations[0])
	}
}

// nominated returns a VM nominated for j whose victims have gone, or nil.
func (j *jobState) nominated() *vmState {
	for _, n := range j.nominations {
		if n.vm.open() && j.spreadAllows(n.vm) && n.need.Fits(n.vm.spare().Add(n.need)) {
			return n.vm
		}
	}
	return nil
}
