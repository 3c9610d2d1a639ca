package config

import (
	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// snapshotFormat is the version of the snapshot's encoding.
const snapshotFormat = 1

type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Format     int
	Revision   api.Revision
	Objects    []snapshotObject
	Recent     []acceptedPublication
	Tombstones []tombstone
}

type snapshotObject struct {
	_       struct{} `cbor:",toarray"`
	Key     Key
	Records []storedRecord
}

// Snapshot implements journal.StateMachine. The snapshot includes records that this
// binary cannot decode.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := snapshot{
		Format:     snapshotFormat,
		Revision:   m.Revision(),
		Recent:     m.recentPublications.byRevision,
		Tombstones: m.tombstones,
	}
	for _, o := range m.tables.objects() {
		s.Objects = append(s.Objects, snapshotObject{Key: o.key, Records: o.records})
	}
	return journal.Encode(s), nil
}

// Restore implements journal.StateMachine. If the snapshot is older than the state,
// it returns a *StaleSnapshotError and leaves the state unchanged. Otherwise
// subscribers receive one Change with Restored set.
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
	unreadableCount := 0
	present := make(map[Key]bool, len(s.Objects))
	for _, so := range s.Objects {
		if o := objectFromRecords(so.Key, so.Records); o != nil {
			present[so.Key] = true
			m.tables.put(o)
			unreadableCount += o.unreadableCount()
		}
	}
	for _, o := range m.tables.objects() {
		if !present[o.key] {
			m.tables.remove(o.key)
		}
	}
	m.recentPublications = newRecentPublications()
	for _, a := range s.Recent {
		m.recentPublications.add(a.ID, a.Revision)
	}
	m.tombstones = s.Tombstones
	m.unreadableCount.Store(int64(unreadableCount))
	m.revision.Store(uint64(s.Revision))
	return nil
}
