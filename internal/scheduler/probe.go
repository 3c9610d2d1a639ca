package scheduler

const (
	// maxProbeCandidates bounds the quarantined VMs examined for one task.
	maxProbeCandidates = 4
	// maxProbeWakes bounds the quarantined VMs checked per cycle for a due probe.
	maxProbeWakes = 16
)

// probeTarget returns a quarantined VM that is due for a probe and may run a task
// of j, or nil. Probes are ordinary batch tasks that may be restarted if they fail.
func (c *cycle) probeTarget(j *jobState) *vmState {
	list := c.state.quarantined.list
	if len(list) == 0 || !j.isBatch() || j.isUrgent() || j.Spec.MaxAttempts == 1 {
		return nil
	}
	for range min(maxProbeCandidates, len(list)) {
		c.state.probeCursor++
		v := list[c.state.probeCursor%len(list)]
		if c.isProbeDue(v) && c.canProbe(j, v) {
			return v
		}
	}
	return nil
}

// wakeForProbes wakes waiting work that fits VMs due for a probe, because no other
// event may wake it. It checks at most maxProbeWakes VMs per cycle.
func (c *cycle) wakeForProbes() {
	list := c.state.quarantined.list
	for i := range min(maxProbeWakes, len(list)) {
		v := list[(c.state.probeWakeCursor+i)%len(list)]
		if c.isProbeDue(v) && c.now.Sub(v.lastProbeWake) >= c.cfg.ProbeInterval {
			v.lastProbeWake = c.now
			c.state.markFreed(v)
		}
	}
	c.state.probeWakeCursor += maxProbeWakes
}

// startProbe starts the next task of j as the only probe on v.
func (c *cycle) startProbe(j *jobState, v *vmState) {
	c.start(j, v).probe = true
	v.lastProbe = c.now
}

func (c *cycle) isProbeDue(v *vmState) bool {
	return !v.hasProbe() && c.now.Sub(v.lastProbe) >= c.cfg.ProbeInterval
}

func (c *cycle) canProbe(j *jobState, v *vmState) bool {
	f := search{averagePerAccelerator: c.state.acceleratorHeadroom(j)}
	return j.mayUse(v.DataCentre) && f.admits(j, v, j.need())
}

// hasProbe reports whether a probe has an allocation on v.
func (v *vmState) hasProbe() bool {
	for _, alloc := range v.allocations {
		if alloc.probe {
			return true
		}
	}
	return false
}

// fitsQuarantinedVM reports whether a task of j fits a quarantined VM.
func (st *State) fitsQuarantinedVM(j *jobState) bool {
	for _, v := range st.quarantined.list {
		if j.mayUse(v.DataCentre) && j.need().Fits(v.available()) {
			return true
		}
	}
	return false
}
