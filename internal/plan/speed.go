package plan

import "time"

// Parameters of the estimates of executors' speeds.
const (
	// runMeanWeight is the weight of a new run in the moving means. Estimates are off by up
	// to nine tenths either way, so one run says little.
	runMeanWeight = 0.25
	// minRunTime is the shortest run, and the shortest estimate, that is evaluated. In
	// shorter ones the start-up and the delay of the report weigh too much.
	minRunTime = 150 * time.Millisecond
	// minSlowRatio is the ratio to the fleet from which an executor counts as slow. Smaller
	// differences are noise or come from a faster kind of machine.
	minSlowRatio = 2.0
	// slownessDuration is how long the latest sign of slowness counts. After that the
	// executor gets work again, which shows more.
	slownessDuration = 4 * time.Second
)

// learnSpeed updates the speed of an executor with the time that a run took in relation to
// its estimate. Dividing by the fleet's mean removes what all estimates have in common.
func (c *Cell) learnSpeed(alloc *allocation, now time.Time) {
	if alloc.task == nil || alloc.runningSince.IsZero() || alloc.task.step.spec.LongRunning || alloc.resumed || !alloc.hasKnownRunTime() {
		return
	}
	elapsed, estimate := now.Sub(alloc.runningSince), alloc.task.step.spec.Estimate
	if elapsed < minRunTime || estimate < minRunTime {
		return
	}
	ratio := elapsed.Seconds() / estimate.Seconds()
	c.fleetRunRatio = movingMean(c.fleetRunRatio, ratio)
	alloc.vm.runRatio = movingMean(alloc.vm.runRatio, ratio)
	alloc.vm.slowness = 1
	c.observeSpeed(alloc, ratio, now)
	alloc.vm.markSlow(alloc.vm.runRatio/c.fleetRunRatio, now)
}

// hasKnownRunTime reports whether it is known when a run began whose end has just been listed, and that it ended
// at about this time. When a run of a former leader began isn't known. During an executor's silence a run may have
// ended at any moment.
func (alloc *allocation) hasKnownRunTime() bool {
	return !alloc.orderedAt.IsZero() && !alloc.vm.unresponsiveSince.After(alloc.lastAlive.ArrivedAt)
}

// learnFromRunning marks an executor as slow if a run has already taken far longer than its
// estimate, before the run ends.
func (c *Cell) learnFromRunning(alloc *allocation, now time.Time) {
	if alloc.task == nil || alloc.runningSince.IsZero() || alloc.task.step.spec.LongRunning {
		return
	}
	estimate := alloc.task.step.spec.Estimate
	if estimate < minRunTime {
		return
	}
	c.observePace(alloc, now)
	if c.fleetRunRatio == 0 {
		return
	}
	ratio := now.Sub(alloc.runningSince).Seconds() / estimate.Seconds() / c.fleetRunRatio
	if ratio > alloc.vm.slowness {
		alloc.vm.markSlow(ratio, now)
	}
}

// markSlow records by how many times the executor is slower than the fleet, if it counts as
// slow.
func (v *vm) markSlow(ratio float64, now time.Time) {
	if ratio >= minSlowRatio {
		v.slowness = ratio
		v.lastSlow = now
	}
}

// slowdown returns how many times as long as the fleet the executor takes, by recent signs;
// 1 if it isn't slow.
func (v *vm) slowdown(now time.Time) float64 {
	if now.Sub(v.lastSlow) > slownessDuration {
		return 1
	}
	return v.slowness
}

// movingMean returns a moving mean with a new sample; a mean of 0 stands for none yet.
func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + runMeanWeight*(sample-mean)
}
