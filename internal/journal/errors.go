package journal

import (
	"errors"
	"fmt"
)

// Causes of ErrNotWritten. Each wraps it.
var (
	// ErrNotReady means that the replica's state is not complete, see Replica.Ready.
	ErrNotReady = fmt.Errorf("%w: replica not ready", ErrNotWritten)
	// ErrBacklogFull means that the entries waiting to be written or read back
	// are too large in total.
	ErrBacklogFull = fmt.Errorf("%w: backlog full", ErrNotWritten)
	// ErrEntryTooLarge means that the entry does not fit into one record.
	ErrEntryTooLarge = fmt.Errorf("%w: entry too large", ErrNotWritten)
	// ErrUnknownType means that no local state machine applies the entry's type.
	ErrUnknownType = fmt.Errorf("%w: no machine for the entry type", ErrNotWritten)
	// ErrStopped means that Run has returned.
	ErrStopped = fmt.Errorf("%w: replica stopped", ErrNotWritten)
)

// Errors of Export and Import.
var (
	// ErrIncompleteState means that the local state is incomplete and can't be
	// exported.
	ErrIncompleteState = errors.New("journal: state incomplete")
	// ErrStaleState means that the state is from an earlier position than the
	// local one.
	ErrStaleState = errors.New("journal: state is older than the local state")
	// ErrInvalidState means that the state is corrupted or belongs to another
	// stream.
	ErrInvalidState = errors.New("journal: state is corrupted or from another stream")
)

// Errors of decodeRecord.
var (
	errTorn        = errors.New("journal: record torn or corrupted")
	errNewerFormat = errors.New("journal: record has a newer format")
)
