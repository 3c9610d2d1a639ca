package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/startorder"
)

// latenessClass says whether a step's job can still end in time to be useful.
type latenessClass = startorder.Lateness

// Degrees of lateness, in the terms of this package.
const (
	inTime  = startorder.InTime
	late    = startorder.Late
	overdue = startorder.Overdue
)

// overdueFactor is how many times its latency objective a job may take and still be useful
// to its client. The users count a job up to three times its objective.
const overdueFactor = 3

// rank is the position of a step in the start order.
type rank struct {
	startorder.Rank
	step *step
}

// startPolicy returns how work in excess of weights and shares is ordered.
func (c *Cell) startPolicy() startorder.Policy {
	if c.cfg.Overload {
		return startorder.Delays
	}
	return startorder.Classes
}

// rankOf returns the position of a step.
func (c *Cell) rankOf(s *step, now time.Time) rank {
	c.queueOf(s.job) // refreshes the job's latency objective
	start := s.job.latencyStart(s.occ)
	remaining := s.remainingTime
	objective := s.job.latencyObjective
	r := rank{step: s, Rank: startorder.Rank{Policy: c.startPolicy(), Excess: s.job.excess, LatestStart: start.Add(objective - remaining)}}
	if w := s.job.workspace; w != nil {
		r.OverShare = w.overShare
	}
	switch {
	case now.Before(r.LatestStart) || s.spec.LongRunning:
		r.Lateness = inTime
	case now.Before(start.Add(overdueFactor*objective - remaining)):
		r.Lateness = late
	default:
		r.Lateness = overdue
	}
	return r
}

// compare returns a negative number if r comes before o in the start order.
func (r rank) compare(o rank) int { return r.Rank.Compare(o.Rank) }

// orderSteps updates the start order of the waiting steps.
func (c *Cell) orderSteps(now time.Time) {
	c.updateShares(now)
	c.orderedSteps = c.stepsInOrder(now)
	for i, s := range c.orderedSteps {
		s.position = i
	}
	c.orderStale = false
}

// stepsInOrder returns the waiting steps in the start order. Steps that are complete or not
// ready are dropped from the waiting steps.
func (c *Cell) stepsInOrder(now time.Time) []*step {
	ranks := make([]rank, 0, len(c.waitingSteps))
	remaining := c.waitingSteps[:0]
	for _, s := range c.waitingSteps {
		if !s.ready || s.complete() {
			s.waiting = false
			continue
		}
		remaining = append(remaining, s)
		ranks = append(ranks, c.rankOf(s, now))
	}
	clear(c.waitingSteps[len(remaining):])
	c.waitingSteps = remaining
	slices.SortStableFunc(ranks, rank.compare)
	steps := make([]*step, len(ranks))
	for i := range ranks {
		steps[i] = ranks[i].step
		steps[i].lateness, steps[i].latestStart = ranks[i].Lateness, ranks[i].LatestStart
	}
	return c.withLargestGangFirst(steps)
}

// withLargestGangFirst moves the largest waiting gang to the front of the start order and keeps it
// there until it has started or can't be of use any more. Capacity that becomes free in small parts
// would otherwise go to narrower steps for as long as these keep coming.
func (c *Cell) withLargestGangFirst(steps []*step) []*step {
	var largest *step
	for _, s := range steps {
		isLarger := largest == nil || s.requestedMilliCPU() > largest.requestedMilliCPU()
		if !s.spec.Gang || !isLarger && s != c.largestGang || !s.mayGoFirst() {
			continue
		}
		largest = s
		if s == c.largestGang {
			break
		}
	}
	c.largestGang = largest
	if largest == nil {
		return steps
	}
	i := slices.Index(steps, largest)
	copy(steps[1:i+1], steps[:i])
	steps[0] = largest
	return steps
}

// mayGoFirst reports whether the step is a gang that would be of use and that nothing but missing
// capacity keeps back.
func (s *step) mayGoFirst() bool {
	if !s.spec.Gang || s.lateness == overdue || s.job.excess {
		return false
	}
	tasks := s.countToPlace()
	return tasks > 0 && !s.heldByCap(tasks)
}

// requestedMilliCPU returns what all tasks of the step request together, in thousandths of a
// processor.
func (s *step) requestedMilliCPU() int64 {
	return int64(s.spec.TaskCount) * s.spec.TaskResources.MilliCPU
}
