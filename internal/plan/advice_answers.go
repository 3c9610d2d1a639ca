package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// HandleGrants applies the answer to an advice call, which arrived at now.
func (c *Cell) HandleGrants(call AdviceCall, grants []platform.Grant, validity time.Duration, now time.Time) {
	s := c.findStep(call.Step)
	if s == nil {
		return
	}
	s.advice.hasNewAnswer = true
	s.preemption.nextAttempt = time.Time{}
	if s.job.advisedAt.IsZero() {
		s.job.advisedAt = now
	}
	q := c.queueOf(s.job)
	c.learnGrantShare(q, len(call.Executors), len(grants))
	s.advice.applyGrants(c.vms, call.Executors, grants, now.Add(validity-c.cfg.TicketMargin))
	s.advice.endCall()
	c.learnAvailableShare(s, q, grants, now)
}

// HandleAdviceFailure records that an advice call failed and delays the step's next call.
func (c *Cell) HandleAdviceFailure(call AdviceCall, now time.Time) {
	s := c.findStep(call.Step)
	if s == nil {
		return
	}
	s.advice.endCall()
	c.clearTentative(s)
	s.advice.retryAfter = now.Add(adviceRetryDelay)
}

// adviceRetryDelay is the pause after an advice call that failed.
const adviceRetryDelay = 50 * time.Millisecond
