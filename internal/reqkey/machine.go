package reqkey

import (
	"crypto/sha256"
	"fmt"
	"sync"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// shardCount is a power of two; the first byte of the key selects the shard.
const shardCount = 64

// key is a truncated SHA-256 of a request ID. IDs come from callers, so a
// caller must not be able to choose an ID that collides with another caller's.
type key [16]byte

func keyOf(id string) key {
	sum := sha256.Sum256([]byte(id))
	return key(sum[:len(key{})])
}

// markState is the state of a marked request.
type markState uint8

const (
	stateOpen    markState = iota // no outcome journaled
	stateRan                      // ran; the answer may have been dropped
	stateUnknown                  // sent, no complete answer
	stateNotRun                   // not run, and never will be
)

// record is the stored part of a mark.
type record struct {
	digest     uint64
	writer     uint32 // index into StateMachine.writers
	serial     uint32
	generation uint32
	state      markState
}

type shard struct {
	mu      sync.RWMutex
	records map[key]record
	answers map[key]*Outcome // kept outcomes, without their IDs
}

// StateMachine is the deterministic state machine of the marks and outcomes of
// one stream.
type StateMachine struct {
	shards [shardCount]shard

	apply       sync.Mutex // serialises Apply, Snapshot and Restore; guards the fields below
	limits      Limits
	generation  uint32
	marks       uint32
	answerBytes uint64
	answerOrder []key // of kept answers, oldest first

	writersMu   sync.RWMutex
	writers     []journal.Origin
	writerIndex map[journal.Origin]uint32
}

var _ journal.StateMachine = (*StateMachine)(nil)

// NewStateMachine returns an empty StateMachine with DefaultLimits.
func NewStateMachine() *StateMachine {
	m := &StateMachine{}
	m.reset()
	return m
}

func (m *StateMachine) reset() {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.records = make(map[key]record)
		s.answers = make(map[key]*Outcome)
		s.mu.Unlock()
	}
	m.limits = DefaultLimits
	m.generation, m.marks, m.answerBytes, m.answerOrder = 0, 0, 0, nil
	m.writersMu.Lock()
	m.writers, m.writerIndex = nil, make(map[journal.Origin]uint32)
	m.writersMu.Unlock()
}

// Types implements journal.StateMachine.
func (m *StateMachine) Types() []journal.EntryType {
	return []journal.EntryType{TypeMark, TypeOutcome, TypeRelease, TypeGeneration}
}

// Apply implements journal.StateMachine. Rejections have the error types of this
// package.
func (m *StateMachine) Apply(_ journal.Position, e journal.Entry) error {
	m.apply.Lock()
	defer m.apply.Unlock()
	switch e.Type {
	case TypeMark:
		return decodeAndApply(e, m.applyMark)
	case TypeOutcome:
		return decodeAndApply(e, m.applyOutcome)
	case TypeRelease:
		return decodeAndApply(e, m.applyRelease)
	case TypeGeneration:
		return decodeAndApply(e, m.applyGeneration)
	default:
		return fmt.Errorf("reqkey: entry type %d", e.Type)
	}
}

func decodeAndApply[T any](e journal.Entry, apply func(*T) error) error {
	var body T
	if err := journal.Decode(e.Body, &body); err != nil {
		return fmt.Errorf("reqkey: entry type %d: %w", e.Type, err)
	}
	return apply(&body)
}

func (m *StateMachine) shardOf(k key) *shard {
	return &m.shards[k[0]%shardCount]
}

func (m *StateMachine) applyMark(mark *Mark) error {
	k := keyOf(mark.ID)
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[k]; ok {
		if old.digest != mark.Digest {
			return &IDReusedError{ID: mark.ID}
		}
		return &AlreadyMarkedError{Mark: m.markOf(mark.ID, old)}
	}
	if m.marks >= m.limits.Marks {
		return &TooManyMarksError{Marks: m.marks}
	}
	m.marks++
	s.records[k] = record{
		digest:     mark.Digest,
		writer:     m.internWriter(mark.Writer),
		serial:     mark.Serial,
		generation: m.generation,
	}
	return nil
}

func (m *StateMachine) applyOutcome(o *Outcome) error {
	k := keyOf(o.ID)
	if err := m.closeMark(k, o); err != nil {
		return err
	}
	m.trimAnswers()
	return nil
}

// closeMark stores the outcome of a mark together with its answer, so that Lookup never returns
// an outcome whose answer is still missing.
func (m *StateMachine) closeMark(k key, o *Outcome) error {
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[k]
	if !ok || !m.isOpen(old, o.Writer, o.Serial) {
		return &NoMarkError{ID: o.ID}
	}
	m.keepAnswer(s, k, o)
	old.state = stateOf(o.Outcome)
	s.records[k] = old
	return nil
}

func (m *StateMachine) applyRelease(r *Release) error {
	k := keyOf(r.ID)
	s := m.shardOf(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.records[k]
	if !ok || !m.isOpen(old, r.Writer, r.Serial) {
		return &NoMarkError{ID: r.ID}
	}
	delete(s.records, k)
	m.marks--
	return nil
}

func (m *StateMachine) applyGeneration(g *Generation) error {
	if g.Number != m.generation+1 {
		return &GenerationError{Found: g.Number, Current: m.generation}
	}
	m.generation = g.Number
	m.limits = g.Limits
	m.dropOldMarks()
	m.trimAnswers()
	return nil
}

// dropOldMarks drops the marks that are Limits.Generations generations old.
func (m *StateMachine) dropOldMarks() {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if r.generation+m.limits.Generations <= m.generation {
				delete(s.records, k)
				m.marks--
				m.dropAnswer(s, k)
			}
		}
		s.mu.Unlock()
	}
	m.compactAnswerOrder()
}

// compactAnswerOrder removes the keys without an answer from answerOrder.
func (m *StateMachine) compactAnswerOrder() {
	kept := make([]key, 0, len(m.answerOrder))
	for _, k := range m.answerOrder {
		s := m.shardOf(k)
		s.mu.RLock()
		_, ok := s.answers[k]
		s.mu.RUnlock()
		if ok {
			kept = append(kept, k)
		}
	}
	m.answerOrder = kept
}

// keepAnswer keeps an outcome. The caller holds s.mu.
func (m *StateMachine) keepAnswer(s *shard, k key, o *Outcome) {
	s.answers[k] = &Outcome{Outcome: o.Outcome, Reason: o.Reason, Answer: o.Answer}
	m.answerBytes += answerSize(o)
	m.answerOrder = append(m.answerOrder, k)
}

// trimAnswers drops the oldest answers until the size limit is met.
func (m *StateMachine) trimAnswers() {
	for m.answerBytes > m.limits.AnswerBytes && len(m.answerOrder) > 0 {
		k := m.answerOrder[0]
		m.answerOrder = m.answerOrder[1:]
		s := m.shardOf(k)
		s.mu.Lock()
		m.dropAnswer(s, k)
		s.mu.Unlock()
	}
}

// dropAnswer deletes the kept outcome of k. The caller holds s.mu.
func (m *StateMachine) dropAnswer(s *shard, k key) {
	o, ok := s.answers[k]
	if !ok {
		return
	}
	m.answerBytes -= answerSize(o)
	delete(s.answers, k)
}

// answerOverhead is added to the size of each kept outcome for its other
// memory, in bytes.
const answerOverhead = 160

func answerSize(o *Outcome) uint64 {
	n := answerOverhead + len(o.Reason)
	if o.Answer == nil {
		return uint64(n)
	}
	n += len(o.Answer.Body) + len(o.Answer.Endpoint)
	for name, value := range o.Answer.Header {
		n += len(name) + len(value)
	}
	for name, value := range o.Answer.Trailer {
		n += len(name) + len(value)
	}
	return uint64(n)
}

// isOpen reports whether r is the mark of writer and serial and has no
// outcome.
func (m *StateMachine) isOpen(r record, writer journal.Origin, serial uint32) bool {
	return r.state == stateOpen && r.serial == serial && m.writerAt(r.writer) == writer
}

func (m *StateMachine) markOf(id string, r record) Mark {
	return Mark{ID: id, Digest: r.digest, Writer: m.writerAt(r.writer), Serial: r.serial}
}

func (m *StateMachine) writerAt(i uint32) journal.Origin {
	m.writersMu.RLock()
	defer m.writersMu.RUnlock()
	return m.writers[i]
}

func (m *StateMachine) internWriter(o journal.Origin) uint32 {
	m.writersMu.Lock()
	defer m.writersMu.Unlock()
	if i, ok := m.writerIndex[o]; ok {
		return i
	}
	i := uint32(len(m.writers))
	m.writers = append(m.writers, o)
	m.writerIndex[o] = i
	return i
}

// State is what is recorded about one ID.
type State struct {
	Mark    Mark
	Outcome api.Outcome // empty while none is journaled
	Reason  api.Reason  // of an outcome other than OutcomeRan, when kept
	Answer  *api.Answer // of OutcomeRan, when kept; shared, must not be modified
}

// Lookup returns what is recorded about id, and false when it has no mark.
func (m *StateMachine) Lookup(id string) (State, bool) {
	k := keyOf(id)
	s := m.shardOf(k)
	s.mu.RLock()
	r, ok := s.records[k]
	kept := s.answers[k]
	s.mu.RUnlock()
	if !ok {
		return State{}, false
	}
	state := State{Mark: m.markOf(id, r), Outcome: r.state.outcome()}
	if kept != nil {
		state.Reason, state.Answer = kept.Reason, kept.Answer
	}
	return state, true
}

func (s markState) outcome() api.Outcome {
	switch s {
	case stateRan:
		return api.OutcomeRan
	case stateUnknown:
		return api.OutcomeUnknown
	case stateNotRun:
		return api.OutcomeNotRun
	default:
		return ""
	}
}

// stateOf returns the state for an outcome. An outcome that this version does
// not know counts as unknown from then on.
func stateOf(o api.Outcome) markState {
	switch o {
	case api.OutcomeRan:
		return stateRan
	case api.OutcomeNotRun:
		return stateNotRun
	default:
		return stateUnknown
	}
}

// Marks returns the number of marks kept.
func (m *StateMachine) Marks() int {
	m.apply.Lock()
	defer m.apply.Unlock()
	return int(m.marks)
}

// Generation returns the current generation.
func (m *StateMachine) Generation() uint32 {
	m.apply.Lock()
	defer m.apply.Unlock()
	return m.generation
}
