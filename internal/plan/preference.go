package plan

import "time"

// speedPreference says on which executors of a fleet of unlike speed a task should start.
type speedPreference uint8

const (
	anySpeed    speedPreference = iota // speeds make no difference
	preferFast                         // slow executors only if no other has capacity
	requireFast                        // no slow executors for now
	preferSlow                         // slow executors first, so that fast ones stay free for work with little slack
)

// speedDemand is what the preference of a step depends on.
type speedDemand struct {
	gang        bool
	dataBound   bool // its data is on one rack, which matters more than speed
	longRunning bool
	slack       time.Duration // until its latest start on a typical executor with which its job meets its objective
	estimate    time.Duration // run time on a typical executor
	slowdown    float64       // how many times as long it takes on the slow executor
}

// longSlackFactor is how many times the additional time on a slow executor the slack has to
// be for a task to prefer one. Run times exceed their estimates by up to nine tenths, and the
// task may have to wait.
const longSlackFactor = 3

// preference returns which executors the step should start on. Once the slack has passed,
// slow executors are admitted, since a late job is of more use than one that never starts.
func (d speedDemand) preference() speedPreference {
	additional := time.Duration(float64(d.estimate) * (d.slowdown - 1))
	switch {
	case d.longRunning || additional <= 0:
		return anySpeed
	case d.slack <= 0:
		return preferFast
	case additional > d.slack:
		return requireFast
	case d.dataBound:
		return anySpeed
	case d.gang:
		return preferFast // the slowest member determines when the gang ends
	case d.slack >= longSlackFactor*additional:
		return preferSlow
	default:
		return preferFast
	}
}

// speedWeight is added to the score of an executor that the step doesn't prefer. It is the
// range of the part of the score for the capacity left over, so that an executor that the
// step prefers comes first however much it leaves over. With a smaller weight, gangs would
// mix in slow executors.
const speedWeight = 2.0

// preferenceOn returns the preference of a step that an executor of a slowdown leads to.
func (s *step) preferenceOn(slowdown float64, now time.Time) speedPreference {
	return s.speedDemandOn(slowdown, now).preference()
}

// speedDemandOn returns what the preference of a step on an executor of a slowdown depends on.
func (s *step) speedDemandOn(slowdown float64, now time.Time) speedDemand {
	return speedDemand{
		gang:        s.spec.Gang,
		dataBound:   s.spec.DataRack != "" || s.spec.SameRack,
		longRunning: s.spec.LongRunning,
		slack:       s.latestStart.Sub(now),
		estimate:    s.spec.Estimate,
		slowdown:    slowdown,
	}
}

// tooSlowFor reports whether the step should wait for a faster executor.
func (v *vm) tooSlowFor(s *step, now time.Time) bool {
	return v.certainlySlow && s.preferenceOn(v.timeFactor, now) == requireFast
}

// prefersFast reports whether a task should start on certainly fast executors, on which it takes a
// factor of its time on a typical one: where that saves much of its slack. Gangs leave them to others,
// since their slowest member counts; on one of these a member occupies capacity that is worth more.
func (d speedDemand) prefersFast(timeFactor float64) bool {
	saving := time.Duration(float64(d.estimate) * (1 - timeFactor))
	return !d.gang && !d.longRunning && !d.dataBound && d.slack < longSlackFactor*saving
}

// speedRank orders executors for the members of a gang, which should be of like speed: typical ones
// first, then those whose speed would be of no use, then slow ones.
func (v *vm) speedRank() int {
	switch {
	case v.certainlySlow:
		return 2
	case v.certainlyFast:
		return 1
	default:
		return 0
	}
}

// speedPenalty returns what the speed of an executor adds to its score for a step.
func (c *Cell) speedPenalty(s *step, v *vm) float64 {
	return c.slownessPenalty(s, v) + c.fastnessPenalty(s, v)
}

// fastnessPenalty returns what a step's preference for or against fast executors adds to the score.
func (c *Cell) fastnessPenalty(s *step, v *vm) float64 {
	if c.fastTimeFactor == 0 {
		return 0
	}
	fast := v.certainlyFast
	if s.spec.Gang && fast || !fast && s.speedDemandOn(1, c.now).prefersFast(c.fastTimeFactor) {
		return speedWeight
	}
	return 0
}

// slownessPenalty returns what a step's preference for or against slow executors adds to the score.
func (c *Cell) slownessPenalty(s *step, v *vm) float64 {
	switch {
	case c.slowTimeFactor == 0:
		return 0
	case v.certainlySlow:
		if p := s.preferenceOn(v.timeFactor, c.now); p == preferFast || p == requireFast {
			return speedWeight
		}
	case s.preferenceOn(c.slowTimeFactor, c.now) == preferSlow:
		return speedWeight
	}
	return 0
}
