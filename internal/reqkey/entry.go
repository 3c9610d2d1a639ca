// Package reqkey records which non-idempotent requests an entry VM may have
// sent, so that no request runs twice.
//
// The first mark of a request ID in log order is accepted; only its writer may
// send the request. The writer later journals the outcome, or releases a mark
// that it never used. See docs/design/requests.md.
package reqkey

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Types of the entries that StateMachine applies.
const (
	TypeMark       = journal.TypeRequestFirst     // Mark
	TypeOutcome    = journal.TypeRequestFirst + 1 // Outcome
	TypeRelease    = journal.TypeRequestFirst + 2 // Release
	TypeGeneration = journal.TypeRequestFirst + 3 // Generation
)

// Mark claims the right to send one request.
type Mark struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Digest uint64 // of the request, see Digest
	Writer journal.Origin
	Serial uint32 // distinguishes this writer's marks of one ID
}

// Outcome is the outcome of a marked request.
type Outcome struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Writer  journal.Origin
	Serial  uint32
	Outcome api.Outcome // OutcomeNotRun: nothing was or will be sent for the ID
	Reason  api.Reason  // empty for OutcomeRan
	Answer  *api.Answer // complete, or nil when it was not kept
}

// Release withdraws a mark under which nothing was or will be sent.
type Release struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Writer journal.Origin
	Serial uint32
}

// Generation starts generation Number, drops the marks that are
// Limits.Generations generations old and puts Limits in force.
type Generation struct {
	_      struct{} `cbor:",toarray"`
	Number uint32
	Limits Limits
}

// Limits bounds what a StateMachine keeps. The limits are part of the log, so
// that every reader applies the same ones.
type Limits struct {
	_           struct{} `cbor:",toarray"`
	Marks       uint32   // maximum number kept; further marks are rejected
	AnswerBytes uint64   // maximum size of journaled answers; the oldest are dropped
	Generations uint32   // number of generations for which a mark is kept
}

// DefaultLimits are in force before the first generation entry.
var DefaultLimits = Limits{Marks: 1 << 20, AnswerBytes: 32 << 20, Generations: 4}

// AlreadyMarkedError rejects a second mark of an ID.
type AlreadyMarkedError struct{ Mark Mark }

// Error implements error.
func (e *AlreadyMarkedError) Error() string {
	return fmt.Sprintf("request %q is marked by %s/%x", e.Mark.ID, e.Mark.Writer.Node, e.Mark.Writer.Incarnation)
}

// IDReusedError rejects a mark whose ID was used for another request.
type IDReusedError struct{ ID string }

// Error implements error.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("request id %q was used for another request", e.ID)
}

// TooManyMarksError rejects a mark because Limits.Marks are kept already.
// Refusing a request is preferred to dropping the mark of one that may have
// run.
type TooManyMarksError struct{ Marks uint32 }

// Error implements error.
func (e *TooManyMarksError) Error() string {
	return fmt.Sprintf("%d request marks are remembered, no room for another", e.Marks)
}

// NoMarkError rejects an outcome or release without a matching open mark.
type NoMarkError struct{ ID string }

// Error implements error.
func (e *NoMarkError) Error() string {
	return fmt.Sprintf("request %q has no such open mark", e.ID)
}

// GenerationError rejects a generation entry that does not follow the current
// generation.
type GenerationError struct{ Found, Current uint32 }

// Error implements error.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("generation %d does not follow %d", e.Found, e.Current)
}
