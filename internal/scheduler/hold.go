package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

const (
	// holdRounding rounds times in explanations.
	holdRounding = time.Second
	// holdSampleLeast and holdSamplePerTask size the sample of VMs that a
	// hold is chosen from.
	holdSampleLeast   = 256
	holdSamplePerTask = 8
	// overdueGrace is how much longer a task past its expected end is
	// expected to run.
	overdueGrace = time.Minute
)

// hold keeps VMs for a job that waits for more room than is free: a gang, or
// a task that has starved. Other work may use them only if it ends before
// the time at which the job is expected to start, or beside the job.
type hold struct {
	job   *jobState
	parts []part
	at    time.Time // expected start
}

// starves reports whether j has waited long enough to have a VM held, and is
// larger than what starts otherwise, so that what ends seldom makes room.
func (c *cycle) starves(j *jobState) bool {
	return c.now.Sub(j.since) >= c.cfg.StarveAfter && c.world.usual.exceededBy(j.need())
}

// wantsHold reports whether j should be searched for although its shape is
// blocked, because a hold may be had for it.
func (c *cycle) wantsHold(j *jobState) bool {
	return j.hold == nil && c.starves(j) && len(c.world.holds) < c.cfg.MaxHolds
}

// renewHolds lets jobs be tried again whose holds can no longer come true,
// and as many as may now have the hold that they found no place for.
func (w *State) renewHolds(now time.Time, most int) {
	for len(w.wantHold) > 0 && most > len(w.holds) {
		j := w.wantHold[0]
		w.wantHold = w.wantHold[1:]
		if j.queue != nil && j.hold == nil {
			w.retryShape(j.queue.shape)
			most--
		}
	}
	for _, h := range w.holds {
		if h.valid(now) {
			continue
		}
		w.retryShape(h.job.queue.shape)
	}
}

// holdFor makes or renews the hold of j for some tasks. Only the first few
// jobs in order have one; a higher band displaces a lower one.
func (c *cycle) holdFor(j *jobState, tasks int64) {
	w := c.world
	if j.hold != nil && j.hold.valid(c.now) {
		return
	}
	w.dropHold(j)
	if len(w.holds) >= c.cfg.MaxHolds && !w.displaceHold(j) {
		w.wantHold = append(w.wantHold, j)
		return
	}
	parts, at := c.planHold(j, tasks)
	if parts == nil || !c.holdAllowed(len(parts)) {
		return
	}
	h := &hold{job: j, parts: parts, at: at}
	j.hold = h
	w.holds = append(w.holds, h)
	for _, p := range parts {
		p.vm.hold = h
		p.vm.holdTasks = p.tasks
		w.unindex(p.vm)
	}
}

// valid reports whether h may still come true.
func (h *hold) valid(now time.Time) bool {
	for _, p := range h.parts {
		if !p.vm.open() {
			return false
		}
	}
	return now.Before(h.at)
}

// holdAllowed bounds the VMs under holds together; the first hold may cover
// whatever its job needs, so that no gang is too large ever to have one.
func (c *cycle) holdAllowed(vms int) bool {
	held := 0
	for _, h := range c.world.holds {
		held += len(h.parts)
	}
	return held == 0 || float64(held+vms) <= c.cfg.HoldShare*float64(c.world.fleet.vms)
}

// displaceHold drops the newest hold of the lowest band under that of j.
func (w *State) displaceHold(j *jobState) bool {
	var lowest *hold
	for _, h := range w.holds {
		if h.job.band < j.band && (lowest == nil || h.job.band <= lowest.job.band) {
			lowest = h
		}
	}
	if lowest == nil {
		return false
	}
	w.dropHold(lowest.job)
	return true
}

// dropHold gives the VMs held for j back to everybody.
func (w *State) dropHold(j *jobState) {
	h := j.hold
	if h == nil {
		return
	}
	j.hold = nil
	w.holds = slices.DeleteFunc(w.holds, func(o *hold) bool { return o == h })
	for _, p := range h.parts {
		p.vm.hold = nil
		p.vm.holdTasks = 0
		w.index(p.vm)
		w.markFreed(p.vm)
		w.dropIfEmpty(p.vm)
	}
}

// opening is a time at which a VM has room for more tasks of a job.
type opening struct {
	at    int64 // Unix nanoseconds
	vm    int   // index in the sample
	tasks int64 // it has room for then, altogether
}

// planHold picks, out of a sample of VMs, those that will have room for the
// tasks soonest, and when.
func (c *cycle) planHold(j *jobState, tasks int64) ([]part, time.Time) {
	sample := c.holdSample(j, tasks)
	var openings []opening
	for i, v := range sample {
		openings = c.appendOpenings(openings, i, v, j)
	}
	slices.SortFunc(openings, func(a, b opening) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.vm, b.vm), cmp.Compare(a.tasks, b.tasks))
	})
	room := make([]int64, len(sample))
	racks := make(map[string]int64)
	total := int64(0)
	for _, o := range openings {
		v := sample[o.vm]
		more := o.tasks - room[o.vm]
		if limit := j.Spec.MaxPerRack; limit > 0 {
			more = min(more, int64(limit)-int64(j.spread.racks[v.Rack])-racks[v.Rack])
		}
		if more <= 0 {
			continue
		}
		room[o.vm] += more
		racks[v.Rack] += more
		total += more
		if total >= tasks {
			return fewest(sample, room, tasks), time.Unix(0, o.at)
		}
	}
	return nil, time.Time{}
}

// fewest picks the VMs with the most room until the tasks have a place.
func fewest(sample []*vmState, room []int64, tasks int64) []part {
	var parts []part
	for i, v := range sample {
		if room[i] > 0 {
			parts = append(parts, part{vm: v, tasks: room[i]})
		}
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.tasks, a.tasks) })
	for i := range parts {
		parts[i].tasks = min(parts[i].tasks, tasks)
		tasks -= parts[i].tasks
		if tasks == 0 {
			return parts[:i+1]
		}
	}
	return parts
}

// holdSample returns VMs that j may use and that nobody holds.
func (c *cycle) holdSample(j *jobState, tasks int64) []*vmState {
	limit := max(holdSampleLeast, int(tasks)*holdSamplePerTask)
	var sample []*vmState
	visit := func(v *vmState) bool {
		if !j.Avoid[v.ID] && j.need().Fits(v.Capacity) {
			sample = append(sample, v)
		}
		return len(sample) < limit
	}
	var anything api.Resources
	for _, d := range c.dataCentres(j) {
		if j.need().Accelerators == 0 && !d.plain.walk(anything, 0, c.rand.Uint32(), visit) {
			break
		}
		if !d.accelerated.walk(anything, 0, c.rand.Uint32(), visit) {
			break
		}
	}
	return sample
}

// appendOpenings adds the times at which v has room for more tasks of j, as
// far as the expected ends of what runs there tell.
func (c *cycle) appendOpenings(openings []opening, i int, v *vmState, j *jobState) []opening {
	need := j.need()
	free := v.spare()
	limit := int64(j.Spec.Tasks)
	if j.Spec.MaxPerVM > 0 {
		limit = int64(j.Spec.MaxPerVM) - int64(j.spread.vms[v.ID])
	}
	had := min(fitCount(need, free), limit)
	if had > 0 {
		openings = append(openings, opening{at: c.now.UnixNano(), vm: i, tasks: had})
	}
	for _, h := range c.byEnd(v) {
		free = free.Add(h.resources)
		n := min(fitCount(need, free), limit)
		if n > had {
			openings = append(openings, opening{at: c.endOf(h), vm: i, tasks: n})
			had = n
		}
	}
	return openings
}

// byEnd returns the holdings of v that are expected to end, soonest first.
func (c *cycle) byEnd(v *vmState) []*holding {
	ending := make([]*holding, 0, len(v.holdings))
	for _, h := range v.holdings {
		if c.endOf(h) != 0 {
			ending = append(ending, h)
		}
	}
	slices.SortFunc(ending, func(a, b *holding) int {
		return cmp.Or(cmp.Compare(c.endOf(a), c.endOf(b)), cmp.Compare(a.slot, b.slot))
	})
	return ending
}

// endOf is when h is expected to end, in Unix nanoseconds; 0: never.
func (c *cycle) endOf(h *holding) int64 {
	switch {
	case h.end > c.now.UnixNano():
		return h.end
	case h.end != 0:
		return c.now.Add(overdueGrace).UnixNano()
	case h.class == api.ClassBatch || h.class == api.ClassGang:
		return max(h.started+int64(c.cfg.UnknownRunTime), c.now.Add(overdueGrace).UnixNano())
	}
	return 0
}

// sampleHeld adds held VMs that a task of j may use all the same.
func (c *cycle) sampleHeld(j *jobState, f *search) {
	need := j.need()
	for _, h := range c.world.holds {
		for _, p := range h.parts {
			v := p.vm
			if !v.open() || !j.mayUse(v.DataCentre) || !f.admit(j, v, need) {
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

// mayUseHeld reports whether a task of j leaves what h keeps: it is urgent,
// or its own, or ends in time, or fits beside the gang.
func (c *cycle) mayUseHeld(j *jobState, v *vmState, h *hold) bool {
	if h.job == j || j.isUrgent() {
		return true
	}
	if end := expectedEnd(c.now, j.runTime()); end != 0 && end <= h.at.UnixNano() {
		return true
	}
	left := v.Capacity.Sub(v.nominated).Sub(h.job.need().Times(v.holdTasks))
	for _, o := range v.holdings {
		if end := c.endOf(o); end == 0 || end > h.at.UnixNano() {
			left = left.Sub(o.resources)
		}
	}
	return j.need().Fits(left)
}
