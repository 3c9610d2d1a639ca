package filter

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// RefuseUnmarked returns the refusal for a request that is refused before its
// mark is accepted. Another copy of a non-idempotent request may be in
// progress at another entry VM, so only the writer of the first mark can rule
// out that the request runs. Such a request is therefore refused with outcome
// unknown and a time to retry with the same ID: that of the refusal, or else
// retryAfter.
func RefuseUnmarked(refusal *api.Refusal, idempotent bool, retryAfter time.Duration) *api.Refusal {
	if idempotent || refusal.Outcome != api.OutcomeNotRun {
		return refusal
	}
	if refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter
	}
	return api.UnknownWithRetry(refusal.Reason, retryAfter, refusal.Detail)
}

// refuseUnmarked calls RefuseUnmarked for x. A single attempt is refused with
// the original outcome, because the entry VM that holds the mark decides what
// to answer.
func (c *Chain) refuseUnmarked(x *Exchange, refusal *api.Refusal) *api.Refusal {
	return RefuseUnmarked(refusal, x.SingleAttempt || x.isIdempotent(), c.settings.RetryAfter)
}

// isIdempotent also works before identify has read the headers.
func (x *Exchange) isIdempotent() bool {
	return x.Request.Idempotent || x.Header.Get(api.HeaderIdempotent) == "true"
}
