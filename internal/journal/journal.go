// Package journal turns a stream of the platform's log into a sequence of
// typed entries that every entry VM applies in the same order.
//
// The position of an entry in the log is authoritative. A proposer learns the
// outcome of its entry by reading it back, never from the append's answer.
package journal

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// EntryType selects the state machine that applies an entry and the encoding
// of its body. The values are part of the stored format and never reused.
type EntryType uint8

// First entry types of the ranges, one range for each state machine.
const (
	TypeConfigFirst    EntryType = 10 // internal/config
	TypeOwnershipFirst EntryType = 30 // internal/ownership
	TypeRequestFirst   EntryType = 50 // internal/reqkey
	TypeCellFirst      EntryType = 70 // internal/cell
	TypeSnapshotFirst  EntryType = 90 // internal/journal
)

// Entry is one typed entry of a stream. Body is CBOR.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Type EntryType
	Body []byte
}

// Position is the position of an entry in its stream.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Offset platform.Offset
	Index  uint32 // within the record at Offset
}

// StateMachine is a deterministic state machine fed by a stream. Every entry VM
// that applies the same entries holds the same state. Implementations guard
// their state: Apply is called from one goroutine, reads come from any.
type StateMachine interface {
	// Types returns the entry types that the state machine applies.
	Types() []EntryType
	// Apply applies one entry. An error means that the entry was rejected
	// and changed nothing. The error is the same on every reader and is
	// returned to the proposer.
	Apply(pos Position, e Entry) error
	// Snapshot returns the whole state, encoded for Restore.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(data []byte) error
}

// Origin identifies a writer. Together with a sequence number it
// distinguishes a repeated append from a new one.
type Origin struct {
	_           struct{} `cbor:",toarray"`
	Node        api.NodeID
	Incarnation api.Incarnation
}

// Errors of Propose.
var (
	// ErrNotWritten means that the entry certainly is not in the log and
	// never will be.
	ErrNotWritten = errors.New("journal: entry not written")
	// ErrUnsettled means that the entry may be in the log, or may still get there.
	ErrUnsettled = errors.New("journal: entry neither read back nor ruled out")
)

// Proposer appends entries.
type Proposer interface {
	// Propose appends e and waits until the local state machines have applied
	// it. It returns what Apply returned for it, ErrNotWritten (the backlog
	// was full, or e was withdrawn before it was sent) or ErrUnsettled (the
	// context ended after e may have been sent).
	Propose(ctx context.Context, e Entry) error
}

// Follower reports the progress of the local state machines.
type Follower interface {
	// Applied returns the offset after the last applied record.
	Applied() platform.Offset
	// ConfirmedAt returns the local time at which the latest read that reached
	// the end of the stream was sent. Every entry whose append completed before
	// that time has been applied. It is zero before the first such read.
	ConfirmedAt() time.Time
}
