package config

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// StateMachine is the state of the config stream, to which journal entries are
// applied in log order. Reads are safe for concurrent use; a read of one
// key takes the read lock of one table shard.
type StateMachine struct {
	tables          *tables
	revision        atomic.Uint64
	unreadableCount atomic.Int64 // number of keys whose newest record cannot be decoded

	mu                 sync.Mutex // held by Apply, Restore, Snapshot and knownOutcome
	recentPublications recentPublications
	tombstones         []tombstone // oldest first

	subscribers subscribers
}

var _ journal.StateMachine = (*StateMachine)(nil)

// tombstone records the deletion of a key.
type tombstone struct {
	_        struct{} `cbor:",toarray"`
	Key      Key
	Revision api.Revision
}

// NewStateMachine returns a StateMachine without records.
func NewStateMachine() *StateMachine {
	return &StateMachine{tables: newTables(), recentPublications: newRecentPublications()}
}

// Types implements journal.StateMachine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypePublish}
}

// Apply implements journal.StateMachine. Its errors are of type *ConflictError or
// *MalformedError. Applying an accepted publication again has no effect and
// returns no error.
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
	if _, repeated := m.recentPublications.revision(p.ID); repeated {
		return Change{}, nil
	}
	if err := m.checkConflict(p); err != nil {
		return Change{}, err
	}
	return m.accept(p), nil
}

// checkConflict returns a *ConflictError if p cannot be accepted, else nil.
func (m *StateMachine) checkConflict(p publication) error {
	k := p.key()
	current := m.tables.get(k)
	if current.revision() != p.BasedOn {
		return &ConflictError{Key: k, BasedOn: p.BasedOn, InForce: current.revision(), Deleted: current.deleted()}
	}
	if !isJobKind(k.Kind) || p.Deleted {
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

// jobKinds are the kinds that share one namespace, since a job's ID is unique in
// the cell. The list is part of the stored format.
var jobKinds = []api.Kind{api.KindService, api.KindBatchJob, api.KindGangJob}

func isJobKind(k api.Kind) bool { return slices.Contains(jobKinds, k) }

func (m *StateMachine) accept(p publication) Change {
	rev := api.Revision(m.revision.Load() + 1)
	current := m.tables.get(p.key())
	next := current.withRecord(p.key(), storedRecord{
		Revision:      rev,
		BasedOn:       p.BasedOn,
		SchemaVersion: p.SchemaVersion,
		Deleted:       p.Deleted,
		Spec:          p.Spec,
	})
	m.tables.put(next)
	m.unreadableCount.Add(int64(next.unreadableCount() - current.unreadableCount()))
	m.recentPublications.add(p.ID, rev)
	if p.Deleted {
		m.addTombstone(tombstone{Key: p.key(), Revision: rev})
	}
	m.revision.Store(uint64(rev))
	return changeOf(next)
}

// addTombstone records a deletion. Beyond maxTombstones it drops the oldest
// tombstone, and its key unless the key has been created again.
func (m *StateMachine) addTombstone(t tombstone) {
	m.tombstones = append(m.tombstones, t)
	if len(m.tombstones) <= maxTombstones {
		return
	}
	oldest := m.tombstones[0]
	m.tombstones = m.tombstones[1:]
	if m.tables.get(oldest.Key).revision() == oldest.Revision {
		m.tables.remove(oldest.Key)
	}
}

// knownOutcome returns the outcome of a publication if the state already
// determines it: the revision if the publication was accepted, or an error if it
// would conflict at any later position in the log. It returns zero and nil if
// the outcome is still open.
func (m *StateMachine) knownOutcome(p publication) (api.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev, ok := m.recentPublications.revision(p.ID); ok {
		return rev, nil
	}
	current := m.tables.get(p.key())
	if current.revision() > p.BasedOn {
		return 0, &ConflictError{Key: p.key(), BasedOn: p.BasedOn, InForce: current.revision(), Deleted: current.deleted()}
	}
	return 0, nil
}

// UnreadableCount returns the number of keys that UnreadableRecords returns.
func (m *StateMachine) UnreadableCount() int {
	return int(m.unreadableCount.Load())
}

// Revision returns the number of records accepted so far. It never decreases.
func (m *StateMachine) Revision() api.Revision {
	return api.Revision(m.revision.Load())
}
