package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

const (
	// holdRounding is the precision of expected start times in status details.
	holdRounding = time.Second
	// minHoldSample and holdSamplePerTask determine the size of the sample of
	// VMs from which those of a hold are chosen.
	minHoldSample     = 256
	holdSamplePerTask = 8
	// overdueGrace is the remaining run time assumed for a task that has
	// passed its expected end.
	overdueGrace = time.Minute
)

// hold reserves VMs for a job that waits for more capacity than is free: a gang
// or a starving task. Other work may use these VMs only if it ends before the
// expected start of the job or fits beside the job.
type hold struct {
	job           *jobState
	placements    []placement
	expectedStart time.Time
}

// isStarving reports whether j has waited long enough to get a hold and is clearly
// larger than the average started task, so that ending tasks rarely free enough
// capacity for it.
func (c *cycle) isStarving(j *jobState) bool {
	return c.now.Sub(j.waitingSince) >= c.cfg.StarveAfter && c.state.averageStarted.exceededBy(j.need())
}

// mayGetHold reports whether a search should be made for j although its shape is
// blocked, because j could get a hold.
func (c *cycle) mayGetHold(j *jobState) bool {
	return j.hold == nil && c.isStarving(j) && len(c.state.holds) < c.cfg.MaxHolds
}

// retryHolds retries the jobs whose holds are no longer valid, and as many jobs
// waiting for a hold as limit allows.
func (st *State) retryHolds(now time.Time, limit int) {
	for len(st.holdWaiters) > 0 && limit > len(st.holds) {
		j := st.holdWaiters[0]
		st.holdWaiters = st.holdWaiters[1:]
		if j.queue != nil && j.hold == nil {
			st.retryShape(j.queue.shape)
			limit--
		}
	}
	for _, h := range st.holds {
		if h.isValid(now) {
			continue
		}
		st.retryShape(h.job.queue.shape)
	}
}

// createHold creates or renews the hold of j for a number of tasks. At most
// MaxHolds jobs have a hold at once; a job of a higher band displaces one of a
// lower band, which keeps its hold if j can't get one in its place.
func (c *cycle) createHold(j *jobState, tasks int64) {
	st := c.state
	if j.hold != nil && j.hold.isValid(c.now) {
		return
	}
	st.dropHold(j)
	var displaced *hold
	if len(st.holds) >= c.cfg.MaxHolds {
		if displaced = st.displaceableHold(j); displaced == nil {
			st.holdWaiters = append(st.holdWaiters, j)
			return
		}
		st.releaseVMs(displaced)
	}
	placements, expectedStart := c.planHold(j, tasks)
	if placements == nil || !c.withinHoldShare(len(placements), displaced) {
		if displaced != nil {
			st.holdVMs(displaced)
		}
		return
	}
	if displaced != nil {
		st.forgetHold(displaced)
	}
	h := &hold{job: j, placements: placements, expectedStart: expectedStart}
	j.hold = h
	st.holds = append(st.holds, h)
	st.holdVMs(h)
}

// holdVMs keeps the VMs of h from other work.
func (st *State) holdVMs(h *hold) {
	for _, p := range h.placements {
		p.vm.hold = h
		p.vm.holdTasks = p.tasks
		st.unindex(p.vm)
	}
}

// releaseVMs reverts holdVMs.
func (st *State) releaseVMs(h *hold) {
	for _, p := range h.placements {
		p.vm.hold = nil
		p.vm.holdTasks = 0
		st.index(p.vm)
	}
}

// isValid reports whether all VMs of h accept work and its expected start is ahead.
func (h *hold) isValid(now time.Time) bool {
	for _, p := range h.placements {
		if !p.vm.acceptsWork() {
			return false
		}
	}
	return now.Before(h.expectedStart)
}

// withinHoldShare reports whether vmCount more VMs may be held. The total is
// bounded by HoldShare, except that the first hold may cover any number of VMs, so
// that no gang is too large to ever get one. A displaced hold doesn't count.
func (c *cycle) withinHoldShare(vmCount int, displaced *hold) bool {
	held := 0
	for _, h := range c.state.holds {
		if h != displaced {
			held += len(h.placements)
		}
	}
	return held == 0 || float64(held+vmCount) <= c.cfg.HoldShare*float64(c.state.fleet.vmCount)
}

// displaceableHold returns the newest hold of the lowest band below that of j, or
// nil if there is none.
func (st *State) displaceableHold(j *jobState) *hold {
	var lowest *hold
	for _, h := range st.holds {
		if h.job.band < j.band && (lowest == nil || h.job.band <= lowest.job.band) {
			lowest = h
		}
	}
	return lowest
}

// dropHold releases the VMs held for j.
func (st *State) dropHold(j *jobState) {
	if h := j.hold; h != nil {
		st.releaseVMs(h)
		st.forgetHold(h)
	}
}

// forgetHold removes a hold whose VMs have been released.
func (st *State) forgetHold(h *hold) {
	h.job.hold = nil
	st.holds = slices.DeleteFunc(st.holds, func(o *hold) bool { return o == h })
	for _, p := range h.placements {
		st.markFreed(p.vm)
		st.dropIfEmpty(p.vm)
	}
}

// availability is a time from which a VM fits more tasks of a job.
type availability struct {
	at    int64 // Unix nanoseconds
	vm    int   // index in the sample
	tasks int64 // total number of tasks that fit then
}

// planHold selects from a sample the VMs that will fit the tasks soonest, and
// returns them with the expected time.
func (c *cycle) planHold(j *jobState, tasks int64) ([]placement, time.Time) {
	sample := c.sampleForHold(j, tasks)
	var availabilities []availability
	for i, v := range sample {
		availabilities = c.appendAvailabilities(availabilities, i, v, j)
	}
	slices.SortFunc(availabilities, func(a, b availability) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.vm, b.vm), cmp.Compare(a.tasks, b.tasks))
	})
	fitting := make([]int64, len(sample))
	racks := make(map[string]int64)
	total := int64(0)
	for _, next := range availabilities {
		v := sample[next.vm]
		added := next.tasks - fitting[next.vm]
		if limit := j.Spec.MaxPerRack; limit > 0 {
			added = min(added, int64(limit)-int64(j.spread.racks[v.Rack])-racks[v.Rack])
		}
		if added <= 0 {
			continue
		}
		fitting[next.vm] += added
		racks[v.Rack] += added
		total += added
		if total >= tasks {
			return fewestVMs(sample, fitting, tasks), time.Unix(0, next.at)
		}
	}
	return nil, time.Time{}
}

// fewestVMs selects the VMs that fit the most tasks until all tasks are placed.
func fewestVMs(sample []*vmState, fitting []int64, tasks int64) []placement {
	var placements []placement
	for i, v := range sample {
		if fitting[i] > 0 {
			placements = append(placements, placement{vm: v, tasks: fitting[i]})
		}
	}
	slices.SortStableFunc(placements, func(a, b placement) int { return cmp.Compare(b.tasks, a.tasks) })
	for i := range placements {
		placements[i].tasks = min(placements[i].tasks, tasks)
		tasks -= placements[i].tasks
		if tasks == 0 {
			return placements[:i+1]
		}
	}
	return placements
}

// sampleForHold returns VMs that j may use and that are not held.
func (c *cycle) sampleForHold(j *jobState, tasks int64) []*vmState {
	limit := max(minHoldSample, int(tasks)*holdSamplePerTask)
	var sample []*vmState
	visit := func(v *vmState) bool {
		if !j.Avoid[v.ID] && j.need().Fits(v.Capacity) {
			sample = append(sample, v)
		}
		return len(sample) < limit
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
	return sample
}

// appendAvailabilities appends the times from which v fits more tasks of j,
// according to the expected ends of the tasks on v.
func (c *cycle) appendAvailabilities(availabilities []availability, i int, v *vmState, j *jobState) []availability {
	need := j.need()
	free := v.available()
	limit := int64(j.Spec.Tasks)
	if j.Spec.MaxPerVM > 0 {
		limit = int64(j.Spec.MaxPerVM) - int64(j.spread.vms[v.ID])
	}
	fitting := min(fitCount(need, free), limit)
	if fitting > 0 {
		availabilities = append(availabilities, availability{at: c.now.UnixNano(), vm: i, tasks: fitting})
	}
	for _, alloc := range c.byExpectedEnd(v) {
		free = free.Add(alloc.resources)
		n := min(fitCount(need, free), limit)
		if n > fitting {
			availabilities = append(availabilities, availability{at: c.expectedEndOf(alloc), vm: i, tasks: n})
			fitting = n
		}
	}
	return availabilities
}

// byExpectedEnd returns the allocations on v that are expected to end, soonest first.
func (c *cycle) byExpectedEnd(v *vmState) []*allocation {
	ending := make([]*allocation, 0, len(v.allocations))
	for _, alloc := range v.allocations {
		if c.expectedEndOf(alloc) != 0 {
			ending = append(ending, alloc)
		}
	}
	slices.SortFunc(ending, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(c.expectedEndOf(a), c.expectedEndOf(b)), cmp.Compare(a.vmIndex, b.vmIndex))
	})
	return ending
}

// expectedEndOf returns the expected end of alloc in Unix nanoseconds, or 0 if it is
// not expected to end.
func (c *cycle) expectedEndOf(alloc *allocation) int64 {
	switch {
	case alloc.expectedEnd > c.now.UnixNano():
		return alloc.expectedEnd
	case alloc.expectedEnd != 0:
		return c.now.Add(overdueGrace).UnixNano()
	case alloc.class == api.ClassBatch || alloc.class == api.ClassGang:
		return max(alloc.started+int64(c.cfg.UnknownRunTime), c.now.Add(overdueGrace).UnixNano())
	}
	return 0
}

// sampleHeld adds held VMs that a task of j may use despite the hold.
func (c *cycle) sampleHeld(j *jobState, f *search) {
	need := j.need()
	for _, h := range c.state.holds {
		for _, p := range h.placements {
			v := p.vm
			if !v.acceptsWork() || !j.mayUse(v.DataCentre) || !f.admits(j, v, need) {
				continue
			}
			if !c.mayUseHeld(j, v, h) {
				f.held++
				continue
			}
			f.vms = append(f.vms, v)
			if len(f.vms) >= c.cfg.Policy.SampleSize {
				return
			}
		}
	}
}

// mayUseHeld reports whether a task of j may run on v without delaying the job of
// h: j is that job or is urgent, or the task ends in time or fits beside the job.
func (c *cycle) mayUseHeld(j *jobState, v *vmState, h *hold) bool {
	if h.job == j || j.isUrgent() {
		return true
	}
	if end := expectedEndNanos(c.now, j.runTime()); end != 0 && end <= h.expectedStart.UnixNano() {
		return true
	}
	remaining := v.Capacity.Sub(v.nominated).Sub(h.job.need().Mul(v.holdTasks))
	for _, alloc := range v.allocations {
		if end := c.expectedEndOf(alloc); end == 0 || end > h.expectedStart.UnixNano() {
			remaining = remaining.Sub(alloc.resources)
		}
	}
	return j.need().Fits(remaining)
}
