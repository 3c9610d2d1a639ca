package plan

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/speed"
)

// Parameters of the use of estimated speeds (package speed).
const (
	// slowFactor is the factor by which an executor has to be slower or faster than the typical
	// one to be treated differently. Zones differ by up to 1.3.
	slowFactor = 1.35
	// minPacePercent is the progress from which a run's pace tells its executor's speed.
	minPacePercent = 20
	// speedRefreshInterval is the time between two comparisons of all executors.
	speedRefreshInterval = 250 * time.Millisecond
	// speedLogInterval and minSpeedLogInterval are the times between two log lines without
	// and with a change of the number of slow executors.
	speedLogInterval    = 30 * time.Second
	minSpeedLogInterval = 5 * time.Second
)

// observeSpeed updates the estimated speed of an executor with a run: its time divided by its
// estimate. The members of a gang wait for each other, runs of a former leader have an unknown
// start, and runs away from their data are slow for that reason.
func (c *Cell) observeSpeed(alloc *allocation, timeRatio float64, now time.Time) {
	s := alloc.task.step
	if c.speeds == nil || alloc.speedObserved || alloc.orderedAt.IsZero() || alloc.resumed || s.spec.Gang || s.spec.SameRack || timeRatio <= 0 {
		return
	}
	if s.spec.DataRack != "" && alloc.vm.Rack() != s.spec.DataRack {
		return
	}
	alloc.speedObserved = true
	c.speeds.Observe(&alloc.vm.speed, s.job.spec.Queue, &s.runTimes, len(s.tasks), timeRatio, now)
}

// observePace updates the estimated speed of an executor with the progress of a run.
func (c *Cell) observePace(alloc *allocation, now time.Time) {
	p := &alloc.progress
	done, elapsed := p.last.percent-p.first.percent, p.last.at.Sub(p.first.at)
	if done < minPacePercent || elapsed < minRunTime {
		return
	}
	c.observeSpeed(alloc, elapsed.Seconds()*100/float64(done)/alloc.task.step.spec.Estimate.Seconds(), now)
}

// refreshSpeeds compares the executors at intervals.
func (c *Cell) refreshSpeeds(now time.Time) {
	if c.speeds == nil || now.Sub(c.speedsRefreshedAt) < speedRefreshInterval {
		return
	}
	c.speedsRefreshedAt = now
	summary := c.speeds.Refresh(func(yield func(*speed.Executor) bool) {
		for _, v := range c.calledVMs {
			if !yield(&v.speed) {
				return
			}
		}
	}, slowFactor, now)
	logSum, fastLogSum, fast := 0.0, 0.0, 0
	for _, v := range c.calledVMs {
		v.timeFactor = c.speeds.TimeFactor(&v.speed, now)
		v.certainlySlow = c.speeds.SlowerBy(&v.speed, slowFactor, now)
		if v.certainlySlow {
			logSum += math.Log(v.timeFactor)
		}
		v.certainlyFast = c.speeds.FasterBy(&v.speed, slowFactor, now)
		if v.certainlyFast {
			fastLogSum += math.Log(v.timeFactor)
			fast++
		}
	}
	c.fastTimeFactor = 0
	if fast > 0 {
		c.fastTimeFactor = math.Exp(fastLogSum / float64(fast))
	}
	summary.Fast = fast
	c.slowTimeFactor = 0
	if summary.Slow > 0 {
		c.slowTimeFactor = math.Exp(logSum / float64(summary.Slow))
	}
	c.logSpeeds(summary, now)
}

// logSpeeds logs the speeds of the executors at intervals, and when the number of slow ones
// has changed.
func (c *Cell) logSpeeds(s speed.Summary, now time.Time) {
	since := now.Sub(c.speedsLoggedAt)
	if since < minSpeedLogInterval || since < speedLogInterval && s.Slow == c.loggedSlow && s.Fast == c.loggedFast {
		return
	}
	c.speedsLoggedAt, c.loggedSlow, c.loggedFast = now, s.Slow, s.Fast
	c.logger.WithFields(logrus.Fields{
		"executors": len(c.calledVMs), "known": s.Known, "slow": s.Slow, "fast": s.Fast, "slow_factor": round2(c.slowTimeFactor), "spread": round2(s.Spread),
	}).Info("speeds of executors")
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }

// expectedTime returns how long a run of the step should take on an executor, by its estimate.
func (v *vm) expectedTime(s *step, now time.Time) time.Duration {
	factor := v.timeFactor
	if recent := v.slowdown(now); recent > 1 {
		factor = max(recent, factor)
	}
	return time.Duration(float64(s.spec.Estimate) * factor)
}
