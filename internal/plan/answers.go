package plan

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// HandleStartAnswer takes in the answer to a start order.
func (c *Cell) HandleStartAnswer(st Start, err error, now time.Time) {
	v := c.life(st.To, st.Token)
	if v == nil {
		return // its next life settles what became of the start
	}
	cl := v.claims[st.Run]
	if cl == nil || cl.state != sent {
		return
	}
	c.failures.count(err)
	var refused *platform.RefusedError
	switch {
	case err == nil:
		cl.state = atWork
		cl.since = now
		cl.openUntil = now // by which life isn't told
		cl.task.step.refusals = 0
		c.hasBegun(cl.task.step.job, now)
	case errors.As(err, &refused):
		c.refused(cl, refused.Reason, now)
	case errors.Is(err, platform.ErrNotReached):
		v.unanswered = now
		c.over(cl, platform.EndStopped, "")
	default:
		cl.state = unsure
		v.unanswered = now
		c.stop(cl) // a stop that is answered settles what became of the start
	}
}

// refused takes in that an executor refused a start and did nothing.
func (c *Cell) refused(cl *claim, reason platform.Refusal, now time.Time) {
	c.events.WithFields(logrus.Fields{"executor": cl.vm.Ref.ID, "task": cl.run.Task, "run": cl.run.Number, "reason": reason}).Info("start was refused")
	switch reason {
	case platform.RefusedSick:
		cl.vm.avoidUntil = now.Add(c.cfg.UnhealthyAvoidTime)
	case platform.RefusedTicket:
		delete(cl.task.step.advice.tickets, cl.vm)
	case platform.RefusedRoom, platform.RefusedLate:
		cl.vm.unanswered = now // what is known of its room or clock is wrong
	case platform.RefusedBad, platform.RefusedOld:
		cl.task.step.backOff(now)
	case platform.RefusedGone:
		c.HandleExecutorLoss(cl.vm.Ref, OtherIncarnation, now)
		return
	}
	c.over(cl, platform.EndStopped, "")
}

// Pauses after a start that no executor would take either.
const (
	firstBackOff = 50 * time.Millisecond
	mostBackOff  = time.Second
)

// backOff has a step pause after a start that was refused for what the order says: twice as
// long each time, but not the first time.
func (s *step) backOff(now time.Time) {
	if s.refusals > 0 {
		s.retryAt = now.Add(min(mostBackOff, firstBackOff<<min(s.refusals-1, 10)))
	}
	s.refusals++
}

// HandleStopAnswer takes in the answer to a stop order: once an executor has taken it,
// the run doesn't start there any more.
func (c *Cell) HandleStopAnswer(s Stop, err error, now time.Time) {
	v := c.life(s.To, s.Token)
	if v == nil {
		return
	}
	cl := v.claims[s.Run]
	var refused *platform.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == platform.RefusedGone:
		c.HandleExecutorLoss(s.To, OtherIncarnation, now)
	case err == nil && cl != nil && cl.state == unsure:
		cl.state = stopping
		cl.since = now
	case err != nil && cl != nil && cl.unwanted && !slices.Contains(c.unstopped, cl):
		c.unstopped = append(c.unstopped, cl)
	}
}
