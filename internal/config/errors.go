package config

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
)

// ConflictError rejects a record that is not based on the revision in force, or
// whose name is in use by a job of another kind. All readers of the log reject
// the same records.
type ConflictError struct {
	Key     Key
	BasedOn api.Revision
	InForce api.Revision // 0: the key does not exist
	Deleted bool         // the revision in force is a deletion
	HeldBy  Key          // the job of another kind that has the name; empty: the revision differs
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.HeldBy != (Key{}) {
		return fmt.Sprintf("config: %s: the name is held by %s at revision %d", e.Key, e.HeldBy, e.InForce)
	}
	return fmt.Sprintf("config: %s: based on revision %d, in force is %d", e.Key, e.BasedOn, e.InForce)
}

// MalformedError rejects a journal entry that is not a well-formed record.
type MalformedError struct {
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string { return "config: malformed entry: " + e.Detail }

// StaleSnapshotError rejects a snapshot that is older than the current state.
type StaleSnapshotError struct {
	Snapshot, State api.Revision
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("config: snapshot of revision %d would revert revision %d", e.Snapshot, e.State)
}
