package filter

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// ForwardKind says what the receiver of a handover does.
type ForwardKind uint8

// Kinds of handover.
const (
	// ForwardHome: the receiver deduplicates, marks and controls the retries.
	ForwardHome ForwardKind = iota + 1
	// ForwardAttempt: the receiver makes one attempt on its own endpoints; the
	// sender holds the mark and controls the retries.
	ForwardAttempt
)

// ForwardRequest hands a request over to another entry VM.
type ForwardRequest struct {
	Kind      ForwardKind
	Request   api.Request
	Remaining time.Duration // time to the deadline when sent; no wall clock time is sent between VMs
	Age       time.Duration // since the request was received, when sent
	Hops      int           // including this one
	Mark      *reqkey.Mark  // of a non-idempotent ForwardAttempt
}

// ForwardReply is the receiver's final result; exactly one field is set.
type ForwardReply struct {
	Answer  *api.Answer
	Refusal *api.Refusal
}

// AnswerQuery asks the writer of a mark for the outcome of the request.
type AnswerQuery struct {
	Mark reqkey.Mark
	Wait time.Duration // maximum wait for a request in flight
}

// AnswerState is the state of a marked request at its writer.
type AnswerState uint8

// States of a marked request at its writer.
const (
	AnswerForgotten AnswerState = iota + 1 // marked by another incarnation, or no longer kept
	AnswerRunning                          // still in flight
	AnswerFinal                            // Answer or Refusal is set
	AnswerNotSent                          // not sent under this mark, and never will be
)

// AnswerReply is the writer's answer about a marked request.
type AnswerReply struct {
	State   AnswerState
	Answer  *api.Answer
	Refusal *api.Refusal
}
