package journal

import (
	"errors"
	"fmt"
)

// Causes of ErrNotWritten. Each wraps it.
var (
	// ErrNotReady: the replica's state is not complete, see Replica.Ready.
	ErrNotReady = fmt.Errorf("%w: replica not ready", ErrNotWritten)
	// ErrBacklogFull: too many bytes wait to be written or read back.
	ErrBacklogFull = fmt.Errorf("%w: backlog full", ErrNotWritten)
	// ErrEntryTooLarge: the entry does not fit into one record.
	ErrEntryTooLarge = fmt.Errorf("%w: entry too large", ErrNotWritten)
	// ErrUnknownType: no local machine applies the entry's type.
	ErrUnknownType = fmt.Errorf("%w: no machine for the entry type", ErrNotWritten)
	// ErrStopped: Run has ended.
	ErrStopped = fmt.Errorf("%w: replica stopped", ErrNotWritten)
)

// Errors of Export and Import.
var (
	// ErrIncompleteState: the local state is not complete and can't be exported.
	ErrIncompleteState = errors.New("journal: state not complete")
	// ErrStaleState: the state stands for an earlier position than the local one.
	ErrStaleState = errors.New("journal: state is older than the local one")
	// ErrInvalidState: the state is damaged or belongs to another stream.
	ErrInvalidState = errors.New("journal: state damaged or of another stream")
)

// Errors of decoding a record.
var (
	errTorn        = errors.New("journal: record torn or damaged")
	errNewerFormat = errors.New("journal: record of a newer format")
)
