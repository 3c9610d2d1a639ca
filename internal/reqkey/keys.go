package reqkey

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Keys proposes the marks of this process and looks up all marks.
type Keys struct {
	machine  *StateMachine
	proposer journal.Proposer
	self     journal.Origin
	maxBody  int
	serial   atomic.Uint32
}

// DefaultMaxBodyBytes is the default size limit for answer bodies that are
// journaled.
const DefaultMaxBodyBytes = 1 << 10

// NewKeys returns the Keys of the process self. The state machine m applies
// the stream that p appends to. Answers with a body of more than maxBody bytes
// are left out of the journaled outcome.
func NewKeys(m *StateMachine, p journal.Proposer, self journal.Origin, maxBody int) *Keys {
	return &Keys{machine: m, proposer: p, self: self, maxBody: maxBody}
}

// Self returns the origin of this process's marks.
func (k *Keys) Self() journal.Origin { return k.self }

// Lookup returns what the local state machine has recorded about id.
func (k *Keys) Lookup(id string) (State, bool) { return k.machine.Lookup(id) }

// Mark proposes a mark and waits until it is applied. On success only the
// caller may send the request. Errors are *AlreadyMarkedError, *IDReusedError,
// *TooManyMarksError and those of journal.Proposer. The mark is returned with
// journal.ErrUnsettled, too, since it may still be accepted.
func (k *Keys) Mark(ctx context.Context, id string, digest uint64) (Mark, error) {
	mark := Mark{ID: id, Digest: digest, Writer: k.self, Serial: k.serial.Add(1)}
	return mark, k.propose(ctx, TypeMark, mark)
}

// RecordOutcome journals that a marked request ran with answer, or, when
// refusal is set, that it was not run and never will be, or that its outcome
// is unknown. After success the outcome remains until the mark is dropped.
func (k *Keys) RecordOutcome(ctx context.Context, mark Mark, answer *api.Answer, refusal *api.Refusal) error {
	o := Outcome{ID: mark.ID, Writer: mark.Writer, Serial: mark.Serial, Outcome: api.OutcomeRan}
	switch {
	case refusal != nil:
		o.Outcome, o.Reason = refusal.Outcome, refusal.Reason
	case len(answer.Body) <= k.maxBody:
		o.Answer = answer
	}
	return k.propose(ctx, TypeOutcome, o)
}

// Release withdraws a mark under which nothing was sent. After success the ID
// is free. *NoMarkError means that the mark is not in force, or not yet.
func (k *Keys) Release(ctx context.Context, mark Mark) error {
	return k.propose(ctx, TypeRelease, Release{ID: mark.ID, Writer: mark.Writer, Serial: mark.Serial})
}

func (k *Keys) propose(ctx context.Context, t journal.EntryType, body any) error {
	return k.proposer.Propose(ctx, journal.Entry{Type: t, Body: journal.Encode(body)})
}

// Rotation decides when to start the next generation. Each entry VM may run
// one; the first entry in log order is accepted and the others are rejected.
// It is not safe for concurrent use.
type Rotation struct {
	Interval time.Duration // a mark is kept for at least (Limits.Generations-1) times this
	Limits   Limits

	lastGeneration uint32
	since          time.Time
}

// Due reports whether generation has been in force for Interval, as measured
// by the local clock, and returns the entry to propose in that case.
func (r *Rotation) Due(generation uint32, now time.Time) (Generation, bool) {
	if r.since.IsZero() || generation != r.lastGeneration {
		r.lastGeneration, r.since = generation, now
		return Generation{}, false
	}
	if now.Sub(r.since) < r.Interval {
		return Generation{}, false
	}
	return Generation{Number: generation + 1, Limits: r.Limits}, true
}

// Rotate proposes the next generation when it is due. It is no error if the
// entry of another entry VM is accepted instead.
func (k *Keys) Rotate(ctx context.Context, r *Rotation, now time.Time) error {
	next, due := r.Due(k.machine.Generation(), now)
	if !due {
		return nil
	}
	err := k.propose(ctx, TypeGeneration, next)
	var rejected *GenerationError
	if errors.As(err, &rejected) {
		return nil
	}
	return err
}

// Report is the state of the marks, for operators.
type Report struct {
	Marks       uint32 `json:"marks"`
	MaxMarks    uint32 `json:"max_marks"`
	Answers     int    `json:"journaled_answers"`
	AnswerBytes uint64 `json:"answer_bytes"`
	Generation  uint32 `json:"generation"`
	Writers     int    `json:"writers"` // incarnations that wrote a mark, also one that was dropped since
}

// Report returns the state of the marks.
func (m *StateMachine) Report() Report {
	m.apply.Lock()
	defer m.apply.Unlock()
	m.writersMu.RLock()
	defer m.writersMu.RUnlock()
	return Report{
		Marks:       m.marks,
		MaxMarks:    m.limits.Marks,
		Answers:     len(m.answerOrder),
		AnswerBytes: m.answerBytes,
		Generation:  m.generation,
		Writers:     len(m.writers),
	}
}
