package filter

import (
	"context"
	"errors"

	"github.com/skylarklock/skylarklock/api"
)

// answer turns whatever the chain returned into a final answer and counts it.
func (c *Chain) answer(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		answer, err := next(ctx, x)
		if err == nil && answer != nil {
			c.deps.Counters.Inc(GroupAnswered, CountRan)
			return answer, nil
		}
		refusal := c.truthful(x, asRefusal(err))
		group := GroupUnknown
		if refusal.Outcome == api.OutcomeNotRun {
			group = GroupRefused
		}
		c.deps.Counters.Inc(group, refusal.Reason)
		return nil, refusal
	}
}

// truthful makes a refusal say unknown where this entry VM can't exclude that
// the id ran through another request: it is marked by someone who may have
// sent it, or this VM has not read the marks.
func (c *Chain) truthful(x *Exchange, refusal *api.Refusal) *api.Refusal {
	id := x.requestID()
	if refusal.Outcome != api.OutcomeNotRun || id == "" || x.Single || x.isIdempotent() {
		return refusal
	}
	if refusal.Reason != api.ReasonNotReady && !c.mayHaveRun(id, x.Digest) {
		return refusal
	}
	open := *refusal // others may share the refusal
	open.Outcome = api.OutcomeUnknown
	return &open
}

// mayHaveRun reports whether a request id with digest is marked, other than
// by an unused mark of this VM. A zero digest stands for any.
func (c *Chain) mayHaveRun(id string, digest uint64) bool {
	state, marked := c.deps.Keys.Lookup(id)
	if !marked || digest != 0 && digest != state.Mark.Digest {
		return false
	}
	own := state.Mark.Writer == c.deps.Keys.Self()
	return !own || !c.runs.isWithdrawn(id, state.Mark.Serial)
}

// requestID returns the id, also before identify has read it.
func (x *Exchange) requestID() string {
	if x.Request.ID != "" {
		return x.Request.ID
	}
	return x.Header.Get(api.HeaderRequestID)
}

func (x *Exchange) isIdempotent() bool {
	return x.Request.Idempotent || x.Header.Get(api.HeaderIdempotent) == "true"
}

// asRefusal returns err as a refusal; what is not one leaves the request open.
func asRefusal(err error) *api.Refusal {
	var refusal *api.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	detail := "no answer"
	if err != nil {
		detail = err.Error()
	}
	return api.Unknown(api.ReasonInternal, detail)
}
