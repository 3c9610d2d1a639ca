package filter

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// ForwardKind says what the receiver of a hand-over does.
type ForwardKind uint8

// Kinds of hand-over.
const (
	// ForwardHome: the receiver deduplicates, marks and owns the retries.
	ForwardHome ForwardKind = iota + 1
	// ForwardAttempt: the receiver makes one attempt on its own endpoints;
	// the sender holds the mark and owns the retries.
	ForwardAttempt
)

// ForwardRequest hands a request over to another entry VM.
type ForwardRequest struct {
	Kind      ForwardKind
	Request   api.Request
	Remaining time.Duration // before the deadline, when sent; no wall clock crosses VMs
	Age       time.Duration // since the request was received, when sent
	Hops      int           // including this one
	Mark      *reqkey.Mark  // of a non-idempotent ForwardAttempt
}

// ForwardReply is the receiver's final word: one of both is set.
type ForwardReply struct {
	Answer  *api.Answer
	Refusal *api.Refusal
}

// AnswerQuery asks the writer of a mark what became of the request.
type AnswerQuery struct {
	Mark reqkey.Mark
	Wait time.Duration // longest wait for a request in flight
}

// AnswerState is what a mark's writer knows.
type AnswerState uint8

// States of a marked request at its writer.
const (
	AnswerForgotten AnswerState = iota + 1 // another incarnation, or no longer kept
	AnswerRunning                          // still in flight
	AnswerFinal                            // Answer or Refusal is set
	AnswerNotSent                          // not sent under this mark, nor will be
)

// AnswerReply is the writer's word on a marked request.
type AnswerReply struct {
	State   AnswerState
	Answer  *api.Answer
	Refusal *api.Refusal
}
