package filter

import (
	"context"
	"errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// maxMarkAttempts bounds the marks proposed for one request, each after an
// unused one was released.
const maxMarkAttempts = 3

// mark writes a non-idempotent request's mark to the log before anything is
// sent, and the outcome afterwards.
func (c *Chain) mark(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.Idempotent {
			return next(ctx, x)
		}
		if refusal := c.refuseIfFull(ctx, x); refusal != nil {
			return nil, refusal
		}
		for attempt := 1; ; attempt++ {
			answer, err := c.tryMark(ctx, x)
			if x.Mark != nil {
				break
			}
			if !errors.Is(err, errNotSent) {
				return answer, err
			}
			if attempt == maxMarkAttempts {
				return nil, c.markFailedRefusal(api.ReasonJournalUnsettled, "an unused mark of the id is still in the log")
			}
		}
		answer, err := next(ctx, x)
		return c.conclude(x, answer, err)
	}
}

// refuseIfFull refuses x, before an append is spent on its mark, when there is
// neither a slot nor space in the queue here, nor a peer with free slots.
func (c *Chain) refuseIfFull(ctx context.Context, x *Exchange) *api.Refusal {
	r := x.Request
	refusal := c.deps.Router.Check(ctx, r.Service, r.Class, r.Caller)
	if refusal == nil {
		return nil
	}
	for _, peer := range c.deps.Peers.Candidates(r.Service) {
		if peer.FreeSlots > 0 {
			return nil
		}
	}
	return c.refuseUnmarked(x, refusal)
}

// tryMark sets x.Mark when this VM's mark is the first. Otherwise it returns
// the answer or refusal for the caller, or errNotSent when another attempt may
// succeed.
func (c *Chain) tryMark(ctx context.Context, x *Exchange) (*api.Answer, error) {
	mark, err := c.deps.Keys.Mark(ctx, x.Request.ID, x.Digest)
	if err == nil {
		x.Mark = &mark
		return nil, nil
	}
	var marked *reqkey.AlreadyMarkedError
	var reused *reqkey.IDReusedError
	var full *reqkey.TooManyMarksError
	switch {
	case errors.As(err, &marked):
		return c.handleExistingMark(ctx, x, mark, marked.Mark)
	case errors.As(err, &reused):
		return nil, c.refuseReusedID(x)
	case errors.As(err, &full):
		return nil, c.markFailedRefusal(api.ReasonJournalUnavailable, full.Error())
	case errors.Is(err, journal.ErrNotWritten):
		return nil, c.markFailedRefusal(api.ReasonJournalUnavailable, "the request can't be marked in the log")
	}
	// The mark may still be accepted; nothing was or will be sent under it.
	c.withdraw(mark)
	return nil, c.markFailedRefusal(api.ReasonJournalUnsettled, "the mark in the log was not confirmed in time")
}

// handleExistingMark handles the rejection of own because of the existing mark
// before.
func (c *Chain) handleExistingMark(ctx context.Context, x *Exchange, own, before reqkey.Mark) (*api.Answer, error) {
	if before.Writer == own.Writer && before.Serial == own.Serial {
		x.Mark = &own // a second copy of the same append was rejected
		return nil, nil
	}
	state, ok := c.deps.Keys.Lookup(x.Request.ID)
	if !ok {
		return nil, errNotSent // released in the meantime
	}
	answer, err := c.answerRepeat(ctx, x, state)
	if errors.Is(err, errNotSent) && state.Mark.Writer == own.Writer {
		c.release(ctx, state.Mark)
	}
	return answer, err
}

func (c *Chain) markFailedRefusal(reason api.Reason, detail string) *api.Refusal {
	return api.UnknownWithRetry(reason, c.settings.RetryAfter, detail)
}
