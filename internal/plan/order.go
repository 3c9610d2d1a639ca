package plan

import (
	"sort"
	"time"
)

// standing says how much a step's job can still earn its client.
type standing int

const (
	inTime  standing = iota // it can end within its latency objective
	late                    // it can end within lateFactor times that
	overdue                 // it can't
)

// lateFactor bounds how late the end of a job is still of use to its client.
// The users count a job up to three times its objective.
const lateFactor = 3

// turn is the place of a step in the order of starts.
type turn struct {
	step   *step
	stands standing
	latest time.Time // start by which the job's objective can be met
}

// turnOf works out the place of a step. Steps that can be in time come first,
// by the latest start that keeps the objective: short work with a tight
// objective thereby passes long work that can wait, and each job moves up as
// it waits. A job that is late yields to those that are not.
func (c *Cell) turnOf(s *step, now time.Time) turn {
	c.queue(s.job) // brings the objective up to date
	from := s.job.from(s.occ)
	left := s.left
	objective := s.job.within
	t := turn{step: s, latest: from.Add(objective - left)}
	switch {
	case now.Before(t.latest) || s.spec.LongRunning:
		t.stands = inTime
	case now.Before(from.Add(lateFactor*objective - left)):
		t.stands = late
	default:
		t.stands = overdue
	}
	return t
}

// order works out in which order steps are to start now.
func (c *Cell) order(now time.Time) {
	c.inTurn = c.ordered(now)
	c.unordered = false
}

// ordered returns the steps with tasks to place, in the order in which they
// are to start.
func (c *Cell) ordered(now time.Time) []*step {
	turns := make([]turn, 0, len(c.waiting))
	kept := c.waiting[:0]
	for _, s := range c.waiting {
		if !s.ready || s.complete() {
			s.waiting = false
			continue
		}
		kept = append(kept, s)
		turns = append(turns, c.turnOf(s, now))
	}
	clear(c.waiting[len(kept):])
	c.waiting = kept
	sort.SliceStable(turns, func(a, b int) bool {
		if turns[a].stands != turns[b].stands {
			return turns[a].stands < turns[b].stands
		}
		return turns[a].latest.Before(turns[b].latest)
	})
	steps := make([]*step, len(turns))
	for i := range turns {
		steps[i] = turns[i].step
		steps[i].stands = turns[i].stands
	}
	return steps
}
