package config

import (
	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// snapshotFormat is the version of the snapshot's own form.
const snapshotFormat = 1

type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	Revision   api.Revision
	Objects    []snapshotObject
	Recent     []accepted
	Tombstones []tombstone
}

type snapshotObject struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Records []stored
}

// Snapshot implements journal.Machine. It holds every record, also those that
// this binary doesn't understand.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{
		Format:     snapshotFormat,
		Revision:   m.Revision(),
		Recent:     m.recent.order,
		Tombstones: m.tombstones,
	}
	for _, o := range m.tables.objects() {
		s.Objects = append(s.Objects, snapshotObject{Key: o.key, Records: o.records})
	}
	return journal.Encode(s), nil
}

// Restore implements journal.Machine. It fails with a *StaleSnapshotError
// when the snapshot is older than the state, which then stays as it is.
// Subscribers get one Change with Restored set.
func (m *StateMachine) Restore(data []byte) error {
	var s snapshot
	if err := journal.Decode(data, &s); err != nil {
		return errors.Wrap(err, "config: snapshot")
	}
	if s.Format != snapshotFormat {
		return errors.Newf("config: snapshot of unknown format %d", s.Format)
	}
	if err := m.restore(s); err != nil {
		return err
	}
	m.subscribers.notify(Change{Revision: s.Revision, Restored: true})
	return nil
}

func (m *StateMachine) restore(s snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Revision < m.Revision() {
		return &StaleSnapshotError{Snapshot: s.Revision, State: m.Revision()}
	}
	unreadable := 0
	present := make(map[Key]bool, len(s.Objects))
	for _, so := range s.Objects {
		if o := rebuild(so.Key, so.Records); o != nil {
			present[so.Key] = true
			m.tables.put(o)
			unreadable += o.unreadable()
		}
	}
	for _, o := range m.tables.objects() {
		if !present[o.key] {
			m.tables.remove(o.key)
		}
	}
	m.recent = newRecent()
	for _, a := range s.Recent {
		m.recent.add(a.ID, a.Revision)
	}
	m.tombstones = s.Tombstones
	m.unreadable.Store(int64(unreadable))
	m.revision.Store(uint64(s.Revision))
	return nil
}
