package plan

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/account"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// HandleStartAnswer applies the answer to a start order.
func (c *Cell) HandleStartAnswer(st Start, err error, now time.Time) {
	v := c.currentVM(st.To, st.Token)
	if v == nil {
		return // the next incarnation's report settles the outcome of the start
	}
	alloc := v.allocations[st.Run]
	if alloc == nil || alloc.state != stateSent {
		return
	}
	c.failedStarts.count(err)
	var refused *platform.RefusedError
	switch {
	case err == nil:
		alloc.state = stateRunning
		alloc.runningSince = now
		alloc.task.timeline.Enter(account.Run, now)
		alloc.orderExpiry = now // the answer doesn't say which incarnation started the run
		alloc.task.step.consecutiveRefusals = 0
		c.markRunning(alloc.task.step.job, now)
	case errors.As(err, &refused):
		c.handleRefusal(alloc, refused.Reason, now)
	case errors.Is(err, platform.ErrNotReached):
		v.lastUnanswered = now
		c.endRun(alloc, platform.EndStopped, "")
	default:
		alloc.state = stateUnconfirmed
		v.lastUnanswered = now
		c.stopRun(alloc) // the answer to the stop settles the outcome of the start
	}
}

// handleRefusal handles a start that the executor refused without carrying it out.
func (c *Cell) handleRefusal(alloc *allocation, reason platform.Refusal, now time.Time) {
	c.logger.WithFields(logrus.Fields{"executor": alloc.vm.Ref.ID, "task": alloc.run.Task, "run": alloc.run.Number, "reason": reason}).Info("start was refused")
	switch reason {
	case platform.RefusedUnhealthy:
		alloc.vm.avoidUntil = now.Add(c.cfg.UnhealthyAvoidTime)
	case platform.RefusedTicket:
		alloc.task.step.advice.dropTicket(alloc.vm)
	case platform.RefusedNoCapacity, platform.RefusedLeaseExpired:
		alloc.vm.lastUnanswered = now // the leader's view of its capacity or clock is wrong until it reports again
	case platform.RefusedInvalidOrder, platform.RefusedOldRun:
		alloc.task.step.backOff(now)
	case platform.RefusedOtherIncarnation:
		c.HandleExecutorLoss(alloc.vm.Ref, OtherIncarnation, now)
		return
	}
	c.endRun(alloc, platform.EndStopped, "")
}

// Bounds of the pause after a start that no other executor would accept either.
const (
	minBackOff = 50 * time.Millisecond
	maxBackOff = time.Second
)

// backOff delays the step's starts after one was refused for the content of its order. The
// first refusal causes no delay; the second causes minBackOff, and each further one doubles
// it.
func (s *step) backOff(now time.Time) {
	if s.consecutiveRefusals > 0 {
		s.retryAt = now.Add(min(maxBackOff, minBackOff<<min(s.consecutiveRefusals-1, 10)))
	}
	s.consecutiveRefusals++
}

// HandleStopAnswer applies the answer to a stop order. Once an executor has accepted the
// stop, the run doesn't start there any more.
func (c *Cell) HandleStopAnswer(s Stop, err error, now time.Time) {
	v := c.currentVM(s.To, s.Token)
	if v == nil {
		return
	}
	alloc := v.allocations[s.Run]
	var refused *platform.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Reason == platform.RefusedOtherIncarnation:
		c.HandleExecutorLoss(s.To, OtherIncarnation, now)
	case err == nil && alloc != nil && alloc.state == stateUnconfirmed:
		alloc.state = stateStopping
		alloc.runningSince = now
	case err != nil && alloc != nil && alloc.stopRequested && !slices.Contains(c.failedStops, alloc):
		c.failedStops = append(c.failedStops, alloc)
	}
}
