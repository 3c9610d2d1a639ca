package reqkey

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/skylarklock/skylarklock/internal/journal"
)

// recordSize is the size of one record in a snapshot, in bytes.
const recordSize = len(key{}) + 8 + 4 + 4 + 4 + 1

// snapshot is the stored form of a StateMachine.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Limits     Limits
	Generation uint32
	Writers    []journal.Origin
	Records    []byte // recordSize bytes each, ordered by key
	Answers    []keptAnswer
}

type keptAnswer struct {
	_       struct{} `cbor:",toarray"`
	Key     []byte
	Outcome Outcome
}

type keyedRecord struct {
	key    key
	record record
}

// Snapshot implements journal.StateMachine. Machines that applied the same entries
// return equal snapshots.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.apply.Lock()
	out := snapshot{Limits: m.limits, Generation: m.generation, Answers: m.copyAnswers()}
	records := m.copyRecords()
	m.writersMu.RLock()
	out.Writers = slices.Clone(m.writers)
	m.writersMu.RUnlock()
	m.apply.Unlock()

	slices.SortFunc(records, func(a, b keyedRecord) int { return bytes.Compare(a.key[:], b.key[:]) })
	out.Records = make([]byte, 0, len(records)*recordSize)
	for _, r := range records {
		out.Records = appendRecord(out.Records, r)
	}
	return journal.Encode(out), nil
}

func (m *StateMachine) copyRecords() []keyedRecord {
	records := make([]keyedRecord, 0, m.marks)
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		for k, r := range s.records {
			records = append(records, keyedRecord{k, r})
		}
		s.mu.RUnlock()
	}
	return records
}

func (m *StateMachine) copyAnswers() []keptAnswer {
	answers := make([]keptAnswer, 0, len(m.answerOrder))
	for _, k := range m.answerOrder {
		s := m.shardOf(k)
		s.mu.RLock()
		answers = append(answers, keptAnswer{Key: k[:], Outcome: *s.answers[k]})
		s.mu.RUnlock()
	}
	return answers
}

// Restore implements journal.StateMachine. An invalid snapshot leaves the state
// unchanged.
func (m *StateMachine) Restore(data []byte) error {
	var in snapshot
	if err := journal.Decode(data, &in); err != nil {
		return fmt.Errorf("reqkey: snapshot: %w", err)
	}
	if err := in.validate(); err != nil {
		return err
	}
	m.apply.Lock()
	defer m.apply.Unlock()
	m.reset()
	m.limits, m.generation = in.Limits, in.Generation
	for _, w := range in.Writers {
		m.internWriter(w)
	}
	for rest := in.Records; len(rest) > 0; rest = rest[recordSize:] {
		m.restoreRecord(readRecord(rest))
	}
	for i := range in.Answers {
		m.restoreAnswer(key(in.Answers[i].Key), &in.Answers[i].Outcome)
	}
	m.trimAnswers()
	return nil
}

func (m *StateMachine) restoreAnswer(k key, o *Outcome) {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.keepAnswer(s, k, o)
}

func (s *snapshot) validate() error {
	if len(s.Records)%recordSize != 0 {
		return fmt.Errorf("reqkey: snapshot: %d bytes of records", len(s.Records))
	}
	for rest := s.Records; len(rest) > 0; rest = rest[recordSize:] {
		if r := readRecord(rest); int(r.record.writer) >= len(s.Writers) {
			return fmt.Errorf("reqkey: snapshot: record refers to writer %d of %d", r.record.writer, len(s.Writers))
		}
	}
	for i := range s.Answers {
		if len(s.Answers[i].Key) != len(key{}) {
			return fmt.Errorf("reqkey: snapshot: key of %d bytes", len(s.Answers[i].Key))
		}
	}
	return nil
}

func (m *StateMachine) restoreRecord(r keyedRecord) {
	s := m.shardOf(r.key)
	s.mu.Lock()
	s.records[r.key] = r.record
	s.mu.Unlock()
	m.marks++
}

func appendRecord(to []byte, r keyedRecord) []byte {
	to = append(to, r.key[:]...)
	to = binary.LittleEndian.AppendUint64(to, r.record.digest)
	to = binary.LittleEndian.AppendUint32(to, r.record.writer)
	to = binary.LittleEndian.AppendUint32(to, r.record.serial)
	to = binary.LittleEndian.AppendUint32(to, r.record.generation)
	return append(to, byte(r.record.state))
}

// readRecord reads the first record of data.
func readRecord(data []byte) keyedRecord {
	var r keyedRecord
	n := copy(r.key[:], data)
	r.record.digest = binary.LittleEndian.Uint64(data[n:])
	r.record.writer = binary.LittleEndian.Uint32(data[n+8:])
	r.record.serial = binary.LittleEndian.Uint32(data[n+12:])
	r.record.generation = binary.LittleEndian.Uint32(data[n+16:])
	r.record.state = markState(data[n+20])
	return r
}
