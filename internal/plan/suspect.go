package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A crash takes down everything on its executor, so a lost run puts suspicion on all tasks
// that ran there. They start again apart from each other. One under which a second executor crashes
// is suspected and starts alone on an executor. If that executor crashes too, the task is
// to blame.

const (
	// correlatedWithin is the time within which correlatedOthers other executors have to
	// become unresponsive for a common cause other than a task to be assumed: a rack, a
	// data centre or an operator.
	correlatedWithin = 500 * time.Millisecond
	correlatedOthers = 2
	// isolationWait is how long an executor is kept from other work until a suspected task
	// can start alone there. After that the task starts beside the runs that are left.
	isolationWait = 2 * time.Second
	// isolationTime is how long a suspected run keeps others off its executor at most. It ends
	// isolationMargin after twice the longest time that the task took to crash one.
	isolationTime   = 10 * time.Second
	isolationMargin = time.Second
	// isolationShare bounds the executors that are kept for suspected tasks at a time: one
	// in this many usable executors.
	isolationShare = 8
)

// suspected reports whether a task may be what crashes its executors.
func (t *task) suspected() bool { return t.losses.IsSuspected() || t.step.inCanary() }

// describeLoss returns what is known of the end of an executor incarnation.
func (c *Cell) describeLoss(v *vm, e Evidence, now time.Time) executorLoss {
	_, leaving := v.isLeaving(now)
	l := executorLoss{
		executor: v.Ref.Incarnation(), address: v.Ref.Address, unresponsiveSince: v.lostSince(),
		evidence: e, leaving: leaving, correlated: c.correlatedLoss(v), unresponsive: e == Unregistered,
	}
	if !v.reportedAt.IsZero() { // otherwise it isn't known what ran there
		l.soleJob = v.findSoleJob()
	}
	return l
}

// findSoleJob returns the job to which all runs on the executor belong that may have
// started, or nil if there are several or none.
func (v *vm) findSoleJob() *job {
	var sole *job
	for _, alloc := range v.allocations {
		switch {
		case alloc.state == statePlanned:
		case alloc.task == nil, sole != nil && sole != alloc.task.step.job:
			return nil
		default:
			sole = alloc.task.step.job
		}
	}
	return sole
}

// recordLossTime records when a lost executor became unresponsive.
func (c *Cell) recordLossTime(v *vm) { c.lossTimes[v.Ref.Incarnation()] = v.lostSince() }

// pruneLossTimes drops the times of losses that are too old to matter.
func (c *Cell) pruneLossTimes(now time.Time) {
	maps.DeleteFunc(c.lossTimes, func(_ work.ExecutorIncarnation, at time.Time) bool { return now.Sub(at) > maxAge })
}

// correlatedLoss reports whether other executors became unresponsive at about the same
// time.
func (c *Cell) correlatedLoss(v *vm) bool {
	return c.correlatedLossAt(v.Ref.Incarnation(), v.lostSince())
}

// correlatedLossAt reports whether others than an executor that became unresponsive at a time
// did so at about the same time.
func (c *Cell) correlatedLossAt(lost work.ExecutorIncarnation, at time.Time) bool {
	others := 0
	for executor, other := range c.lossTimes {
		if executor != lost && at.Sub(other).Abs() <= correlatedWithin {
			if others++; others >= correlatedOthers {
				return true
			}
		}
	}
	for _, other := range c.calledVMs {
		if !other.unresponsiveSince.After(other.reportedAt) || at.Sub(other.unresponsiveSince).Abs() > correlatedWithin {
			continue
		}
		if _, counted := c.lossTimes[other.Ref.Incarnation()]; counted || other.Ref.Incarnation() == lost {
			continue
		}
		if others++; others >= correlatedOthers {
			return true
		}
	}
	return false
}

// isolation is an executor that is kept from other work for a suspected task.
type isolation struct {
	vm    *vm
	until time.Time // from then on the suspected task may start beside other runs
}

// closedTo reports whether an executor is kept for a suspected task of another step, or has
// one that should run alone.
func (v *vm) closedTo(s *step, now time.Time) bool {
	if v.suspectedRun != nil && v.suspectedRun.needsIsolation(now) {
		return true
	}
	// The time limit is needed since the step may never start, for example if its queue is
	// removed.
	return v.isolatedFor != nil && v.isolatedFor != s && now.Before(v.isolatedFor.isolation.until.Add(isolationWait))
}

// needsIsolation reports whether a suspected run, or one that is about to start, keeps
// others off its executor.
func (alloc *allocation) needsIsolation(now time.Time) bool {
	started := alloc.orderedAt
	if started.IsZero() {
		started = alloc.runningSince // ordered by a former leader
	}
	limit := isolationTime
	if crashTime := alloc.task.losses.MaxCrashTime(); crashTime > 0 {
		limit = min(limit, 2*crashTime+isolationMargin)
	}
	return started.IsZero() || now.Sub(started) < limit
}

// firstSuspect returns the first suspected task, or nil if there is none.
func firstSuspect(tasks []*task) *task {
	for _, t := range tasks {
		if t.suspected() {
			return t
		}
	}
	return nil
}

// isolate keeps an executor for a suspected task of a waiting step: of those that may run
// it, the one with the fewest runs expected to be left at the end of the wait.
func (c *Cell) isolate(s *step, q *queue.Queue, now time.Time) {
	if s.isolation.vm != nil || !s.isolation.until.IsZero() {
		return
	}
	s.isolation.until = now.Add(isolationWait)
	isolated, usable := 0, 0
	for _, v := range c.calledVMs {
		if v.isolatedFor != nil || v.suspectedRun != nil {
			isolated++
		}
		if v.usable(now, &c.cfg) {
			usable++
		}
	}
	if isolated >= max(1, usable/isolationShare) {
		return
	}
	fewest := 0
	for _, v := range c.permittedVMs(s, q) {
		if v.isolatedFor != nil || !c.suitable(s, q, v, now) || gather.FitCount(v.Capacity, s.spec.TaskResources) == 0 {
			continue
		}
		remaining := 0
		for _, alloc := range v.allocations {
			if alloc.expectedEndAt(now).After(s.isolation.until) {
				remaining++
			}
		}
		if s.isolation.vm == nil || remaining < fewest {
			s.isolation.vm, fewest = v, remaining
		}
	}
	if v := s.isolation.vm; v != nil {
		v.isolatedFor = s
		c.logger.WithFields(logrus.Fields{"step": s.key(), "executor": v.Ref.ID, "runs": len(v.allocations), "stay": fewest}).Info("executor is kept for a task that may crash it")
	}
}

// endIsolation releases the executor that is kept for a step.
func (s *step) endIsolation() {
	if v := s.isolation.vm; v != nil {
		v.isolatedFor = nil
	}
	s.isolation = isolation{}
}

// maySuspectStartOn reports whether an executor runs nothing, or the step's suspected tasks
// have waited long enough for that.
func (s *step) maySuspectStartOn(v *vm, usage *placementUsage, now time.Time) bool {
	return len(v.allocations) == 0 && usage.runs[v] == 0 || !now.Before(s.isolation.until)
}

// runsLostWith returns how many runs on the executor belong to tasks that were last lost
// together with t.
func (v *vm) runsLostWith(t *task) int {
	if t.lastLostOn == (work.ExecutorIncarnation{}) {
		return 0
	}
	n := 0
	for _, alloc := range v.allocations {
		if alloc.task != nil && alloc.task.lastLostOn == t.lastLostOn {
			n++
		}
	}
	return n
}

// suspectsFirst returns the tasks of a step in the order in which they are placed.
// Suspected tasks come first, since they have the least choice.
func suspectsFirst(tasks []*task) []*task {
	if firstSuspect(tasks) == nil {
		return tasks
	}
	sorted := slices.Clone(tasks)
	slices.SortStableFunc(sorted, func(a, b *task) int {
		switch {
		case a.suspected() == b.suspected():
			return 0
		case a.suspected():
			return -1
		default:
			return 1
		}
	})
	return sorted
}
