package scheduler

const (
	// probesTried bounds the quarantined VMs looked at for one task.
	probesTried = 4
	// probesOffered bounds those looked at in each cycle for being due.
	probesOffered = 16
)

// probeTarget returns a quarantined VM that is due for a probe and may take
// a task of j, or nil. Probes are ordinary batch tasks that may be started
// again when they fail.
func (c *cycle) probeTarget(j *jobState) *vmState {
	list := c.world.quarantine.list
	if len(list) == 0 || !j.isBatch() || j.isUrgent() || j.Spec.MaxAttempts == 1 {
		return nil
	}
	for range min(probesTried, len(list)) {
		c.world.probeCursor++
		v := list[c.world.probeCursor%len(list)]
		if c.probeDue(v) && c.admitsProbe(j, v) {
			return v
		}
	}
	return nil
}

// offerProbes wakes work that waits for VMs which are due for a probe, as
// nothing else may. It looks at a few VMs in each cycle.
func (c *cycle) offerProbes() {
	list := c.world.quarantine.list
	for i := range min(probesOffered, len(list)) {
		v := list[(c.world.offerCursor+i)%len(list)]
		if c.probeDue(v) && c.now.Sub(v.offered) >= c.cfg.ProbeInterval {
			v.offered = c.now
			c.world.markFreed(v)
		}
	}
	c.world.offerCursor += probesOffered
}

// startProbe starts the next task of j as the one probe on v.
func (c *cycle) startProbe(j *jobState, v *vmState) {
	c.start(j, v).probe = true
	v.lastProbe = c.now
}

func (c *cycle) probeDue(v *vmState) bool {
	return !v.probing() && c.now.Sub(v.lastProbe) >= c.cfg.ProbeInterval
}

func (c *cycle) admitsProbe(j *jobState, v *vmState) bool {
	f := search{perAccelerator: c.world.keepsHeadroom(j)}
	return j.mayUse(v.DataCentre) && f.admit(j, v, j.need())
}

// probing reports whether a probe runs on v.
func (v *vmState) probing() bool {
	for _, h := range v.holdings {
		if h.probe {
			return true
		}
	}
	return false
}

// quarantineFits reports whether a quarantined VM would have room for j.
func (w *State) quarantineFits(j *jobState) bool {
	for _, v := range w.quarantine.list {
		if j.mayUse(v.DataCentre) && j.need().Fits(v.spare()) {
			return true
		}
	}
	return false
}
