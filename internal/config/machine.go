package config

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// StateMachine is the state of the config stream. Reads are safe from any
// goroutine and take one shard's read lock.
type StateMachine struct {
	tables     *tables
	revision   atomic.Uint64
	unreadable atomic.Int64 // keys whose newest record isn't understood

	mu         sync.Mutex // held by Apply, Restore, Snapshot and settle
	recent     recent
	tombstones []tombstone // oldest first

	subscribers subscribers
}

var _ journal.Machine = (*StateMachine)(nil)

// tombstone remembers a deletion.
type tombstone struct {
	_        struct{} `cbor:",toarray"`
	Key      Key
	Revision api.Revision
}

// NewStateMachine returns a machine without records.
func NewStateMachine() *StateMachine {
	return &StateMachine{tables: newTables(), recent: newRecent()}
}

// Types implements journal.Machine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypePublish}
}

// Apply implements journal.Machine. It fails with a *ConflictError or a
// *MalformedError. A repeat of an accepted publication changes nothing and
// isn't an error.
func (m *StateMachine) Apply(_ journal.Position, e journal.Entry) error {
	p, err := decodePublication(e)
	if err != nil {
		return err
	}
	change, err := m.apply(p)
	if err == nil && change.Revision > 0 {
		m.subscribers.notify(change)
	}
	return err
}

func (m *StateMachine) apply(p publication) (Change, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, repeated := m.recent.revision(p.ID); repeated {
		return Change{}, nil
	}
	if err := m.conflict(p); err != nil {
		return Change{}, err
	}
	return m.accept(p), nil
}

// conflict returns a *ConflictError unless p may be accepted.
func (m *StateMachine) conflict(p publication) error {
	k := p.key()
	current := m.tables.get(k)
	if current.revision() != p.BasedOn {
		return &ConflictError{Key: k, BasedOn: p.BasedOn, InForce: current.revision(), Deleted: current.deleted()}
	}
	if !isJob(k.Kind) || p.Deleted {
		return nil
	}
	for _, kind := range jobKinds {
		other := m.tables.get(Key{Kind: kind, Name: k.Name})
		if kind == k.Kind || other == nil || other.deleted() {
			continue
		}
		return &ConflictError{Key: k, BasedOn: p.BasedOn, InForce: other.revision(), HeldBy: other.key}
	}
	return nil
}

// jobKinds share one space of names: a job's id is unique in the cell. The
// list is part of the stored format.
var jobKinds = []api.Kind{api.KindService, api.KindBatchJob, api.KindGangJob}

func isJob(k api.Kind) bool { return slices.Contains(jobKinds, k) }

func (m *StateMachine) accept(p publication) Change {
	rev := api.Revision(m.revision.Load() + 1)
	current := m.tables.get(p.key())
	next := current.with(p.key(), stored{
		Revision:      rev,
		BasedOn:       p.BasedOn,
		SchemaVersion: p.SchemaVersion,
		Deleted:       p.Deleted,
		Spec:          p.Spec,
	})
	m.tables.put(next)
	m.unreadable.Add(int64(next.unreadable() - current.unreadable()))
	m.recent.add(p.ID, rev)
	if p.Deleted {
		m.bury(tombstone{Key: p.key(), Revision: rev})
	}
	m.revision.Store(uint64(rev))
	return changeOf(next)
}

// bury remembers a deletion and forgets the oldest beyond the bound.
func (m *StateMachine) bury(t tombstone) {
	m.tombstones = append(m.tombstones, t)
	if len(m.tombstones) <= keptTombstones {
		return
	}
	oldest := m.tombstones[0]
	m.tombstones = m.tombstones[1:]
	if m.tables.get(oldest.Key).revision() == oldest.Revision {
		m.tables.remove(oldest.Key)
	}
}

// settle says what is already certain of a publication: that it was accepted
// (its revision), or that it conflicts at any later place in the log (the
// error). It returns zero and nil when only the log can tell.
func (m *StateMachine) settle(p publication) (api.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev, ok := m.recent.revision(p.ID); ok {
		return rev, nil
	}
	current := m.tables.get(p.key())
	if current.revision() > p.BasedOn {
		return 0, &ConflictError{Key: p.key(), BasedOn: p.BasedOn, InForce: current.revision(), Deleted: current.deleted()}
	}
	return 0, nil
}

// UnreadableCount returns the number of keys that Unknown lists.
func (m *StateMachine) UnreadableCount() int {
	return int(m.unreadable.Load())
}

// Revision returns the number of records accepted so far. It never falls.
func (m *StateMachine) Revision() api.Revision {
	return api.Revision(m.revision.Load())
}
