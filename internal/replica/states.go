package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// StateParts is the number of parts in which the states of all jobs are passed between machines.
const StateParts = shardCount

// States returns the states of a part of the jobs and the offset up to which they are known. It returns
// false if this replica doesn't know the states of all jobs.
func (r *Replica) States(part int) (platform.Offset, []work.Summary, bool) {
	if !r.Synced() {
		return 0, nil, false
	}
	position := r.Position() // before the states, which may be newer
	var out []work.Summary
	r.shards[part].each(func(id work.ID, e *Entry) bool {
		if e.Submitted() { // a cancellation alone says nothing that clients may ask for
			out = append(out, e.summary(id))
		}
		return true
	})
	return position, out, true
}

// States is Replica.States.
func (f *Reader) States(part int) (platform.Offset, []work.Summary, bool) {
	return f.Replica.States(part)
}

// StateImport collects the states of all jobs as another machine knows them.
type StateImport struct {
	replica *Replica
	from    platform.Offset // up to which all parts are known
	parts   int
}

// NewStateImport returns an import that has received nothing.
func (r *Replica) NewStateImport() *StateImport { return &StateImport{replica: r} }

// Add adds the states of the next part, which are known up to a position.
func (s *StateImport) Add(position platform.Offset, jobs []work.Summary) {
	if s.parts == 0 || position < s.from {
		s.from = position
	}
	s.parts++
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if position == 0 {
		return // the partition is empty
	}
	now := time.Now()
	for _, j := range jobs {
		r.applySummary(j, position-1, now)
	}
}

// Complete makes the replica synced if it has received all parts and wasn't before, and reports whether it
// did. The content of records isn't kept then, until KeepContent has it read from the store.
func (s *StateImport) Complete(now time.Time) bool {
	r := s.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.parts < StateParts || r.Synced() {
		return false
	}
	r.content = contentState{drops: r.content.drops + 1}
	for i := range r.shards {
		r.shards[i].dropContent() // of a read of the store that was given up
	}
	r.next = max(r.next, s.from)
	r.lastContact = latest(r.lastContact, now)
	close(r.synced)
	return true
}
