package api

import (
	"fmt"
	"time"
)

// Outcome says whether a request was run. Every final answer carries exactly
// one outcome.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeRan means that an endpoint ran the request and that this is its
	// complete answer.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that certainly no endpoint ran the request or will
	// run it. For a non-idempotent request this holds for the request ID: no
	// copy sent through any entry VM has run or ever will. For an idempotent
	// request it holds for this copy only; other copies with the same ID may
	// have run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request, or a copy of it, may have run or
	// may still run, and that no complete answer is known. Retrying with the
	// same ID is safe.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a refusal, retry or wait. Each
// reason has an expvar counter of the same name.
type Reason string

// Reasons for refusing, retrying or delaying requests.
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

// Refusal is the error for a request, job or record that was rejected or
// abandoned.
type Refusal struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // zero: a retry would not succeed
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NotRun returns a Refusal for a request that certainly did not run.
func NotRun(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}

// Unknown returns a Refusal for a request that may have run, without a retry
// delay.
func Unknown(reason Reason, detail string) *Refusal {
	return UnknownWithRetry(reason, 0, detail)
}

// UnknownWithRetry returns a Refusal for a request of which a copy may have run
// or may still run. Retrying with the same ID after retryAfter is safe and may
// give a definite outcome.
func UnknownWithRetry(reason Reason, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Outcome: OutcomeUnknown, Reason: reason, RetryAfter: retryAfter, Detail: detail}
}
