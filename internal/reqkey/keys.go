package reqkey

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Keys writes and reads the marks of this process.
type Keys struct {
	machine  *StateMachine
	proposer journal.Proposer
	self     journal.Origin
	maxBody  int
	serial   atomic.Uint32
}

// DefaultMaxBodyBytes is the largest answer body that is journaled, bytes.
const DefaultMaxBodyBytes = 1 << 10

// NewKeys returns the keys of the process self, whose machine is fed by the
// stream that p appends to. Answers with a body of more than maxBody bytes
// are journaled without the answer.
func NewKeys(m *StateMachine, p journal.Proposer, self journal.Origin, maxBody int) *Keys {
	return &Keys{machine: m, proposer: p, self: self, maxBody: maxBody}
}

// Self returns the origin of this process's marks.
func (k *Keys) Self() journal.Origin { return k.self }

// Lookup returns what the local machine remembers of id.
func (k *Keys) Lookup(id string) (State, bool) { return k.machine.Lookup(id) }

// Mark proposes a mark and waits for its place in the log. On success the
// caller alone may send the request. Errors: *MarkedError, *ReusedError,
// *FullError, and those of journal.Proposer. The mark is returned with
// journal.ErrUnsettled too, since it may come to stand.
func (k *Keys) Mark(ctx context.Context, id string, digest uint64) (Mark, error) {
	mark := Mark{ID: id, Digest: digest, Writer: k.self, Serial: k.serial.Add(1)}
	return mark, k.propose(ctx, TypeMark, mark)
}

// RecordOutcome journals that a marked request ran with answer, or, when refusal is
// set, that it was not run and never will be, or that its outcome is unknown.
// After nil the outcome stands until the mark is forgotten.
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

// Release withdraws a mark under which nothing was sent. After nil the id is
// free. *NoMarkError means that the mark does not stand, or not yet.
func (k *Keys) Release(ctx context.Context, mark Mark) error {
	return k.propose(ctx, TypeRelease, Release{ID: mark.ID, Writer: mark.Writer, Serial: mark.Serial})
}

func (k *Keys) propose(ctx context.Context, t journal.EntryType, body any) error {
	return k.proposer.Propose(ctx, journal.Entry{Type: t, Body: journal.Encode(body)})
}

// Rotation decides when to start the next generation. Each entry VM may run
// one; the first entry in log order wins and the rest are rejected. It is not
// safe for concurrent use.
type Rotation struct {
	Interval time.Duration // a mark is remembered for at least (Limits.Generations-1) times this
	Limits   Limits

	seen  uint32
	since time.Time
}

// Due reports whether generation has been in force for Every, as seen on the
// local clock, and the entry to propose then.
func (r *Rotation) Due(generation uint32, now time.Time) (Generation, bool) {
	if r.since.IsZero() || generation != r.seen {
		r.seen, r.since = generation, now
		return Generation{}, false
	}
	if now.Sub(r.since) < r.Interval {
		return Generation{}, false
	}
	return Generation{Number: generation + 1, Limits: r.Limits}, true
}

// Rotate proposes the next generation when it is due. Losing to another
// entry VM is no error.
func (k *Keys) Rotate(ctx context.Context, r *Rotation, now time.Time) error {
	next, due := r.Due(k.machine.Generation(), now)
	if !due {
		return nil
	}
	err := k.propose(ctx, TypeGeneration, next)
	var lost *GenerationError
	if errors.As(err, &lost) {
		return nil
	}
	return err
}

// Report is what operators read about the memory of ids.
type Report struct {
	Marks       uint32 `json:"marks"`
	MaxMarks    uint32 `json:"max_marks"`
	Answers     int    `json:"journaled_answers"`
	AnswerBytes uint64 `json:"answer_bytes"`
	Generation  uint32 `json:"generation"`
	Writers     int    `json:"writers"` // incarnations that wrote a remembered or earlier mark
}

// Report returns the state of the machine.
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
