package filter

import (
	"context"
	"errors"

	"github.com/skylarklock/skylarklock/api"
)

// answer converts the result of the chain to a final answer or refusal and
// counts it.
func (c *Chain) answer(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		answer, err := next(ctx, x)
		if err == nil && answer != nil {
			c.deps.Counters.Inc(GroupAnswered, CountRan)
			return answer, nil
		}
		refusal := asRefusal(err)
		group := GroupUnknown
		if refusal.Outcome == api.OutcomeNotRun {
			group = GroupRefused
		}
		c.deps.Counters.Inc(group, refusal.Reason)
		return nil, refusal
	}
}

// asRefusal returns err as a refusal. Any other error becomes a refusal with
// outcome unknown.
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
