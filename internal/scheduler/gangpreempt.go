package scheduler

// preemptForGang nominates room for each task of an urgent gang: free room
// first, then that of victims. It nominates for all of them or, when that
// takes more victims than one cycle may stop, for none.
func (c *cycle) preemptForGang(j *jobState, tasks int64) preemption {
	limited := j.Spec.MaxPerVM > 0 || j.Spec.MaxPerRack > 0
	if !j.isUrgent() || limited || len(j.nominations) > 0 {
		return preemptNone
	}
	had := len(c.plan.Preemptions)
	for range tasks {
		v, victims := c.gangBid(j)
		if v == nil {
			c.undoPreemptions(j, had)
			return c.retryAfter(had)
		}
		c.nominate(j, v, victims)
	}
	return preempting
}

// gangBid returns a VM with room for one more task of j, or with victims
// that make it; nil if there is none.
func (c *cycle) gangBid(j *jobState) (*vmState, []*holding) {
	if v := c.score(j, c.filter(j).vms); v != nil {
		return v, nil
	}
	left := c.cfg.Policy.MaxPreemptions - len(c.plan.Preemptions)
	if left <= 0 || !c.world.evictable.anyBelow(c.victimsBelow(j)) {
		return nil, nil
	}
	return c.cheapestVictims(j, left)
}

// undoPreemptions takes back the nominations of j and the victims planned
// since the plan had so many.
func (c *cycle) undoPreemptions(j *jobState, had int) {
	for len(j.nominations) > 0 {
		c.world.undoNomination(j.nominations[0])
	}
	c.plan.Preemptions = c.plan.Preemptions[:had]
}

// retryAfter says whether the next cycle may do better: only if this one had
// already used some of its preemptions.
func (c *cycle) retryAfter(had int) preemption {
	if had > 0 {
		return preemptLater
	}
	return preemptNone
}

// nominatedParts returns the room nominated for the tasks of a gang once all
// victims have gone, or nil.
func (j *jobState) nominatedParts(tasks int64) []part {
	if int64(len(j.nominations)) < tasks {
		return nil
	}
	parts := make([]part, 0, tasks)
	for _, n := range j.nominations[:tasks] {
		if !n.vm.open() || n.vm.spare().Negative() {
			return nil
		}
		parts = append(parts, part{vm: n.vm, tasks: 1})
	}
	return parts
}
