package filter

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// RefuseUnmarked returns what to tell the caller of a request that is turned away
// before its mark stands. Of a non-idempotent request another copy may be
// under way at another entry VM, so that only the writer of the first mark can
// rule out that it runs: it is told unknown and when to ask again with the
// same id, after retryAfter unless the refusal names a time.
func RefuseUnmarked(refusal *api.Refusal, idempotent bool, retryAfter time.Duration) *api.Refusal {
	if idempotent || refusal.Outcome != api.OutcomeNotRun {
		return refusal
	}
	if refusal.RetryAfter > 0 {
		retryAfter = refusal.RetryAfter
	}
	return api.UnknownWithRetry(refusal.Reason, retryAfter, refusal.Detail)
}

// turnedAway is TurnedAway for x. A single attempt is refused to the entry VM
// that holds the mark, which judges for itself.
func (c *Chain) turnedAway(x *Exchange, refusal *api.Refusal) *api.Refusal {
	return RefuseUnmarked(refusal, x.SingleAttempt || x.isIdempotent(), c.settings.RetryAfter)
}

// isIdempotent works before identify has read the headers, too.
func (x *Exchange) isIdempotent() bool {
	return x.Request.Idempotent || x.Header.Get(api.HeaderIdempotent) == "true"
}
