package api

import (
	"fmt"
	"time"
)

// Outcome says what became of a request. Exactly one is given with every
// final answer.
type Outcome string

// The three outcomes.
const (
	// OutcomeRan: an endpoint ran the request and this is its whole answer.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun: it is certain that no endpoint ran the request or will
	// run it. Of a non-idempotent request it speaks of the request id: no
	// copy, through any entry VM, ran or ever will. Of an idempotent request
	// it speaks of this copy only; others of the same id may have run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the request, or a copy of it, may have run or come to
	// run; no whole answer is known. Asking again with the same id is safe.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal, retry or wait. Each has
// an expvar counter of the same name.
type Reason string

// Reasons of the request plane.
const (
	ReasonMalformed          Reason = "malformed"
	ReasonTooLarge           Reason = "too_large"
	ReasonUnknownService     Reason = "unknown_service"
	ReasonDeadlinePassed     Reason = "deadline_passed"
	ReasonDeadlineUnmeetable Reason = "deadline_unmeetable"
	ReasonIDReused           Reason = "request_id_reused"
	ReasonIDMissing          Reason = "request_id_missing"
	ReasonStillRunning       Reason = "still_running"
	ReasonAnswerLost         Reason = "answer_lost"
	ReasonHolderLost         Reason = "holder_lost"
	ReasonCallerLimit        Reason = "caller_limit"
	ReasonClassLimit         Reason = "class_limit"
	ReasonQueueFull          Reason = "queue_full"
	ReasonNoEndpoint         Reason = "no_endpoint"
	ReasonNoSlot             Reason = "no_slot"
	ReasonHoldUnconfirmed    Reason = "hold_unconfirmed"
	ReasonHomeUnreachable    Reason = "home_unreachable"
	ReasonPeerUnreachable    Reason = "peer_unreachable"
	ReasonJournalUnavailable Reason = "journal_unavailable"
	ReasonJournalUnsettled   Reason = "journal_unsettled"
	ReasonNotReady           Reason = "not_ready"
	ReasonDraining           Reason = "draining"
	ReasonEndpointRefused    Reason = "endpoint_refused"
	ReasonEndpointFailed     Reason = "endpoint_failed"
	ReasonConnectFailed      Reason = "connect_failed"
	ReasonAnswerBroken       Reason = "answer_broken"
	ReasonAnswerTooLarge     Reason = "answer_too_large"
	ReasonAnswerTimeout      Reason = "answer_timeout"
	ReasonCallerGone         Reason = "caller_gone"
	ReasonRetryBudget        Reason = "retry_budget"
	ReasonRetryNotIdempotent Reason = "retry_not_idempotent"
	ReasonInternal           Reason = "internal"
)

// Refusal is the typed error of a request, job or record that was turned
// away or given up.
type Refusal struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // zero: asking again won't help
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NotRun returns a refusal of a request that certainly did not run.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns the answer for a request that may have run.
func Unknown(reason Reason, detail string) *Refusal {
	return UnknownWithRetry(reason, 0, detail)
}

// UnknownWithRetry returns the answer for a request of which a copy may have run
// or may yet run. Asking again with the same id after retryAfter is safe and
// may bring another word.
func UnknownWithRetry(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}
