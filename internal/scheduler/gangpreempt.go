package scheduler

// preemptForGang nominates capacity for each task of an urgent gang: free capacity
// first, then that of victims. It nominates for all tasks, or for none if that
// needs more victims than one cycle may preempt.
func (c *cycle) preemptForGang(j *jobState, tasks int64) preemptResult {
	limited := j.Spec.MaxPerVM > 0 || j.Spec.MaxPerRack > 0
	if !j.isUrgent() || limited || len(j.nominations) > 0 {
		return preemptNone
	}
	planned := len(c.plan.Preemptions)
	for range tasks {
		v, victims := c.gangCandidate(j)
		if v == nil {
			c.undoPreemptions(j, planned)
			return c.failedGangPreemption(planned)
		}
		c.nominate(j, v, victims)
	}
	return preemptNominated
}

// gangCandidate returns a VM that fits one more task of j, with the victims that
// must be preempted for it, if any. It returns nil if there is no such VM.
func (c *cycle) gangCandidate(j *jobState) (*vmState, []*allocation) {
	if v := c.score(j, c.filter(j).vms); v != nil {
		return v, nil
	}
	remaining := c.cfg.Policy.MaxPreemptions - len(c.plan.Preemptions)
	if remaining <= 0 || !c.state.evictable.anyBelow(c.victimPriorityLimit(j)) {
		return nil, nil
	}
	return c.cheapestVictims(j, remaining)
}

// undoPreemptions removes the nominations of j and the preemptions that were added
// since the plan contained the given number of them.
func (c *cycle) undoPreemptions(j *jobState, planned int) {
	for len(j.nominations) > 0 {
		c.state.undoNomination(j.nominations[0])
	}
	c.plan.Preemptions = c.plan.Preemptions[:planned]
}

// failedGangPreemption returns preemptRetry if this cycle had already used some of
// its preemptions, because the next cycle may then succeed.
func (c *cycle) failedGangPreemption(planned int) preemptResult {
	if planned > 0 {
		return preemptRetry
	}
	return preemptNone
}

// nominatedPlacements returns the placements nominated for the tasks of a gang if
// all victims have stopped, or nil.
func (j *jobState) nominatedPlacements(tasks int64) []placement {
	if int64(len(j.nominations)) < tasks {
		return nil
	}
	placements := make([]placement, 0, tasks)
	for _, n := range j.nominations[:tasks] {
		if !n.vm.acceptsWork() || n.vm.available().HasNegative() {
			return nil
		}
		placements = append(placements, placement{vm: n.vm, tasks: 1})
	}
	return placements
}
