package plan

import "time"

// Bounds of what is learned of an executor's speed.
const (
	// speedShare is the weight of a new run in the moving means. Estimates
	// are off by up to nine tenths either way, so one run says little.
	speedShare = 0.25
	// leastRun is the shortest run, and the shortest estimate, that says
	// something: start-up and the way of the report weigh too much in others.
	leastRun = 150 * time.Millisecond
	// slowFrom is the ratio to the fleet from which an executor counts as
	// slow; below it differences are noise or a faster kind of machine.
	slowFrom = 2.0
	// slowFor is how long the latest sign of slowness counts. After that the
	// executor gets work again, which tells more.
	slowFor = 4 * time.Second
)

// learnSpeed takes in how long a run took on an executor against its
// estimate. The fleet's own mean takes out what all estimates have in common.
func (c *Cell) learnSpeed(cl *claim, now time.Time) {
	if cl.task == nil || cl.since.IsZero() || cl.task.step.spec.LongRunning || cl.resumed {
		return
	}
	took, estimate := now.Sub(cl.since), cl.task.step.spec.Estimate
	if took < leastRun || estimate < leastRun {
		return
	}
	ratio := took.Seconds() / estimate.Seconds()
	c.usual = mix(c.usual, ratio)
	cl.vm.ratio = mix(cl.vm.ratio, ratio)
	cl.vm.slowness = 1
	cl.vm.noteSlow(cl.vm.ratio/c.usual, now)
}

// learnFromRunning takes in how long a run has taken by now: one that is far
// over its estimate shows a slow executor before it ends.
func (c *Cell) learnFromRunning(cl *claim, now time.Time) {
	if cl.task == nil || cl.since.IsZero() || cl.task.step.spec.LongRunning || c.usual == 0 {
		return
	}
	estimate := cl.task.step.spec.Estimate
	if estimate < leastRun {
		return
	}
	ratio := now.Sub(cl.since).Seconds() / estimate.Seconds() / c.usual
	if ratio > cl.vm.slowness {
		cl.vm.noteSlow(ratio, now)
	}
}

// noteSlow takes in a sign of how many times as long as the fleet the
// executor takes.
func (v *vm) noteSlow(ratio float64, now time.Time) {
	if ratio >= slowFrom {
		v.slowness = ratio
		v.slowAt = now
	}
}

// slow returns how many times as long as the fleet the executor takes, by
// signs that still count; 1 if it isn't slow.
func (v *vm) slow(now time.Time) float64 {
	if now.Sub(v.slowAt) > slowFor {
		return 1
	}
	return v.slowness
}

// mix returns a moving mean; 0 stands for none yet.
func mix(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + speedShare*(sample-mean)
}
