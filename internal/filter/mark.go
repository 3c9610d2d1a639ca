package filter

import (
	"context"
	"errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// maxMarkTries bounds the marks proposed for one request, each after an
// unused one was released.
const maxMarkTries = 3

// mark puts a non-idempotent request's mark in the log before anything is
// sent, and says in the log afterwards what became of it.
func (c *Chain) mark(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.Idempotent {
			return next(ctx, x)
		}
		if refusal := c.hopeless(ctx, x); refusal != nil {
			return nil, refusal
		}
		for try := 1; ; try++ {
			answer, err := c.markOnce(ctx, x)
			if x.Mark != nil {
				break
			}
			if !errors.Is(err, errNotSent) {
				return answer, err
			}
			if try == maxMarkTries {
				return nil, c.notMarked(api.ReasonJournalUnsettled, "an unused mark of the id is still in the log")
			}
		}
		answer, err := next(ctx, x)
		return c.conclude(x, answer, err)
	}
}

// hopeless refuses x, before an append is spent on its mark, when it would find
// neither a slot nor room to wait here, nor a peer with room.
func (c *Chain) hopeless(ctx context.Context, x *Exchange) *api.Refusal {
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
	return c.turnedAway(x, refusal)
}

// markOnce sets x.Mark when this VM's mark is the first. Else it returns what
// to tell the caller, or errNotSent when another try may succeed.
func (c *Chain) markOnce(ctx context.Context, x *Exchange) (*api.Answer, error) {
	mark, err := c.deps.Keys.Mark(ctx, x.Request.ID, x.Digest)
	if err == nil {
		x.Mark = &mark
		return nil, nil
	}
	var marked *reqkey.AlreadyMarkedError
	var other *reqkey.IDReusedError
	var full *reqkey.TooManyMarksError
	switch {
	case errors.As(err, &marked):
		return c.markedBefore(ctx, x, mark, marked.Mark)
	case errors.As(err, &other):
		return nil, c.reused(x)
	case errors.As(err, &full):
		return nil, c.notMarked(api.ReasonJournalUnavailable, full.Error())
	case errors.Is(err, journal.ErrNotWritten):
		return nil, c.notMarked(api.ReasonJournalUnavailable, "the request can't be marked in the log")
	}
	// The mark may come to stand; nothing was or will be sent under it.
	c.withdraw(mark)
	return nil, c.notMarked(api.ReasonJournalUnsettled, "the mark in the log was not confirmed in time")
}

// markedBefore handles the rejection of own because before stands.
func (c *Chain) markedBefore(ctx context.Context, x *Exchange, own, before reqkey.Mark) (*api.Answer, error) {
	if before.Writer == own.Writer && before.Serial == own.Serial {
		x.Mark = &own // a second copy of the same append was rejected
		return nil, nil
	}
	state, ok := c.deps.Keys.Lookup(x.Request.ID)
	if !ok {
		return nil, errNotSent // released since
	}
	answer, err := c.repeat(ctx, x, state)
	if errors.Is(err, errNotSent) && state.Mark.Writer == own.Writer {
		c.release(ctx, state.Mark)
	}
	return answer, err
}

func (c *Chain) notMarked(reason api.Reason, detail string) *api.Refusal {
	return api.UnknownWithRetry(reason, c.settings.RetryAfter, detail)
}
