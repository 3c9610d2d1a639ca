package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The tasks of a step run the same program. If all of them crash their executors, a wide
// step takes many executors down before the first crash is known, and again with each
// restart. A step under which several executors were lost therefore starts with a canary: one
// task alone, until one has ended as done or has run for longer than the lost ones. So does a
// new step with an image for which a job was failed because it crashed its executors.

const (
	// canaryMinLosses is how many executors have to be lost under a step's tasks for it to
	// start with a canary.
	canaryMinLosses = 3
	// canaryRunMargin is added to twice the longest lost run of the step. A canary that
	// runs for longer than that has succeeded.
	canaryRunMargin = time.Second
	// lastingCanaryTime bounds that time in a step of long-running tasks, which may not be
	// kept down for as long as its runs have lasted.
	lastingCanaryTime = 3 * time.Second
	// failedImageRetention is how long new steps start with a canary after a job with their
	// image was failed because it crashed its executors.
	failedImageRetention = 10 * time.Minute
)

// canary holds what the tasks of a step have lost since one of them last succeeded.
type canary struct {
	lostExecutors map[work.ExecutorIncarnation]struct{}
	longestRun    time.Duration // longest time from the order of a lost run to the loss of its executor
	active        bool          // the step starts one task at a time
}

// inCanary reports whether the step starts one task at a time. A gang never does, since its
// members only work together.
func (s *step) inCanary() bool {
	k := s.job.canaries[s.index]
	return k != nil && k.active && !s.spec.Gang
}

// canaryOf returns the canary state of a step of the job.
func (j *job) canaryOf(step int) *canary {
	if j.canaries == nil {
		j.canaries = make(map[int]*canary)
	}
	k := j.canaries[step]
	if k == nil {
		k = &canary{lostExecutors: make(map[work.ExecutorIncarnation]struct{})}
		j.canaries[step] = k
	}
	return k
}

// countStepLoss counts a lost executor for the step of a lost run, and starts a canary once
// enough executors were lost.
func (c *Cell) countStepLoss(alloc *allocation, l executorLoss) {
	if l.evidence == Unregistered || !l.countsFor(alloc) {
		return
	}
	s := alloc.task.step
	k := s.job.canaryOf(s.index)
	k.lostExecutors[l.executor] = struct{}{}
	if !alloc.orderedAt.IsZero() {
		k.longestRun = max(k.longestRun, l.unresponsiveSince.Sub(alloc.orderedAt))
	}
	if !k.active && len(k.lostExecutors) >= canaryMinLosses {
		k.active = true
		if s.inCanary() {
			c.logger.WithFields(logrus.Fields{"step": s.key(), "executors": len(k.lostExecutors)}).Info("step starts one task at a time: several executors were lost under its tasks")
		}
	}
}

// endCanary lets all tasks of a step start again after one of them has succeeded.
func (c *Cell) endCanary(s *step) {
	if s.inCanary() {
		c.logger.WithField("step", s.key()).Info("step starts all its tasks again: one of them did well")
	}
	delete(s.job.canaries, s.index)
	delete(c.failedImages, s.spec.Image)
	c.requeue(s)
}

// enableCanaries has steps of a new job start with a canary if a job with their image was
// recently failed because it crashed its executors.
func (c *Cell) enableCanaries(j *job, now time.Time) {
	for i := range j.spec.Steps {
		failedAt, known := c.failedImages[j.spec.Steps[i].Image]
		if known && now.Sub(failedAt) < failedImageRetention {
			j.canaryOf(i).active = true
		}
	}
}

// checkRunningCanary ends the canary of a step once a run of it has been running for longer
// than those that were lost.
func (c *Cell) checkRunningCanary(alloc *allocation, now time.Time) {
	s := alloc.task.step
	k := s.job.canaries[s.index]
	if k == nil {
		return
	}
	successTime := 2*k.longestRun + canaryRunMargin
	if s.spec.LongRunning {
		successTime = min(successTime, lastingCanaryTime)
	}
	if now.Sub(alloc.runningSince) > successTime {
		c.endCanary(s)
	}
}

// checkEndedCanary ends the canary of a step if a run of it has ended as done.
func (c *Cell) checkEndedCanary(alloc *allocation, reason platform.EndReason) {
	if alloc.task != nil && reason == platform.EndDone && alloc.task.step.job.canaries[alloc.task.step.index] != nil {
		c.endCanary(alloc.task.step)
	}
}

// nextCanary returns which of the pending tasks a step that starts one at a time may start
// now: the one with the most losses, or none while any run of the step may exist.
func (s *step) nextCanary(pending []*task) []*task {
	if len(pending) == 0 {
		return nil
	}
	for _, o := range s.job.activeOccurrences {
		if slices.ContainsFunc(o.steps[s.index].tasks, func(t *task) bool { return t.allocations > 0 }) {
			return nil
		}
	}
	worst := slices.MaxFunc(pending, func(a, b *task) int { return a.losses.Weight() - b.losses.Weight() })
	return []*task{worst}
}
