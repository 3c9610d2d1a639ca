// Package retry decides whether a failed attempt is retried, and holds the budgets that
// limit the number of retries. It uses no clock and does no I/O.
package retry

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// MinRemaining is the minimum time before the deadline for a retry to be worthwhile.
const MinRemaining = 2 * time.Millisecond

// Policy limits the attempts of one request.
type Policy struct {
	MaxAttempts int  // including the first attempt
	Budgeted    bool // retries are taken from the caller's budget
}

// State describes a request of which an attempt has failed.
type State struct {
	Idempotent bool
	Attempts   int           // number of attempts so far, at least 1
	Remaining  time.Duration // time before the deadline
	CallerGone bool          // the caller no longer waits for the answer
	Forwarded  bool          // retries are up to another entry VM
}

// Decision says whether to retry. Reason is the reason not to, or the reason of the
// failure that is retried.
type Decision struct {
	Retry  bool
	Reason api.Reason
}

// Decide decides whether a failed attempt is retried. withdraw takes one retry from the
// caller's budget. It is called last, so that no budget is spent on a retry that is not
// made.
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
