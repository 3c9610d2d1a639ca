// Package retry decides whether a failed attempt is tried again, and keeps
// the budget that bounds retries. It holds no clock and no sockets.
package retry

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// MinRemaining is the least time before the deadline that is worth a retry.
const MinRemaining = 2 * time.Millisecond

// Policy bounds the attempts of one request.
type Policy struct {
	MaxAttempts int  // including the first
	Budgeted    bool // retries draw on the caller's budget
}

// State is what is known of a request when an attempt has failed.
type State struct {
	Idempotent bool
	Attempts   int           // made so far, at least 1
	Remaining  time.Duration // before the deadline
	CallerGone bool          // nobody waits for the answer
	Forwarded  bool          // another entry VM owns the retries
}

// Decision says whether to try again. Reason tells why not, or names the
// failure that is retried.
type Decision struct {
	Retry  bool
	Reason api.Reason
}

// Decide says whether the failure of an attempt may be followed by another.
// withdraw takes one retry from the caller's budget; it is asked last, so
// that no budget is spent on a retry that is not made.
func Decide(p Policy, s State, certainty platform.Certainty, reason api.Reason, withdraw func() bool) Decision {
	switch {
	case s.Forwarded:
		return Decision{Reason: reason}
	case certainty != platform.CertainNotRun && !s.Idempotent:
		return Decision{Reason: api.ReasonRetryNotIdempotent}
	case s.CallerGone:
		return Decision{Reason: api.ReasonCallerGone}
	case s.Attempts >= p.MaxAttempts:
		return Decision{Reason: reason}
	case s.Remaining < MinRemaining:
		return Decision{Reason: api.ReasonDeadlinePassed}
	case p.Budgeted && !withdraw():
		return Decision{Reason: api.ReasonRetryBudget}
	}
	return Decision{Retry: true, Reason: reason}
}
