package config

import (
	"fmt"

	"github.com/skylarklock/skylarklock/api"
)

// ConflictError rejects a record that is based on another revision than the
// one in force, or whose name another kind of job holds. Every reader rejects
// it alike.
type ConflictError struct {
	Key     Key
	BasedOn api.Revision
	InForce api.Revision // 0: the key doesn't exist
	Deleted bool         // the revision in force is a deletion
	HeldBy  Key          // the key that holds the job's name; empty: the key itself
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.HeldBy != (Key{}) {
		return fmt.Sprintf("config: %s: the name is held by %s at revision %d", e.Key, e.HeldBy, e.InForce)
	}
	return fmt.Sprintf("config: %s: based on revision %d, in force is %d", e.Key, e.BasedOn, e.InForce)
}

// MalformedError rejects an entry that is no record at all.
type MalformedError struct {
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string { return "config: malformed entry: " + e.Detail }

// StaleSnapshotError refuses a snapshot that is older than the state.
type StaleSnapshotError struct {
	Snapshot, State api.Revision
}

// Error implements error.
func (e *StaleSnapshotError) Error() string {
	return fmt.Sprintf("config: snapshot of revision %d would revert revision %d", e.Snapshot, e.State)
}
