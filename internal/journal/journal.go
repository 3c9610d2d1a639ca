// Package journal turns a stream of the platform's log into a sequence of
// typed entries that every entry VM applies in the same order.
//
// Where an entry stands in the log decides. A proposer learns what became of
// its entry by reading it back, never from the answer of the append.
package journal

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// EntryType selects the machine that applies an entry and the form of its
// body. The values are part of the stored format and never reused.
type EntryType uint8

// Ranges of entry types, one to a machine.
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

// Position is the place of an entry in its stream.
type Position struct {
	_      struct{} `cbor:",toarray"`
	Offset platform.Offset
	Index  uint32 // within the record at Offset
}

// StateMachine is a deterministic state machine fed by a stream. Every entry VM
// that applies the same entries holds the same state. A machine guards its
// own state; Apply is called from one goroutine, reads from any.
type StateMachine interface {
	// Types returns the entry types that the machine applies.
	Types() []EntryType
	// Apply applies one entry. An error means that the entry was rejected
	// and changed nothing; it is the same on every reader and is returned
	// to the proposer.
	Apply(pos Position, e Entry) error
	// Snapshot returns the whole state in a form that Restore takes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Origin identifies a writer; it and a sequence number tell a repeated
// append from a new one.
type Origin struct {
	_           struct{} `cbor:",toarray"`
	Node        api.NodeID
	Incarnation api.Incarnation
}

// Errors of Propose.
var (
	// ErrNotWritten: the entry certainly is not and will not be in the log.
	ErrNotWritten = errors.New("journal: entry not written")
	// ErrUnsettled: the entry may be, or come to be, in the log.
	ErrUnsettled = errors.New("journal: entry neither read back nor ruled out")
)

// Proposer appends entries.
type Proposer interface {
	// Propose appends e and waits until the local machines have applied it.
	// It returns what Apply returned for it, ErrNotWritten (backlog full,
	// or withdrawn before it was sent) or ErrUnsettled (the context ended
	// after it may have been sent).
	Propose(ctx context.Context, e Entry) error
}

// Follower tells how far the local machines have come.
type Follower interface {
	// Applied is the position after the last applied record.
	Applied() platform.Offset
	// ConfirmedAt is the local time at which the latest read that reached the
	// end of the stream was sent: every entry that completed before it has
	// been applied. It is zero before the first such read.
	ConfirmedAt() time.Time
}
