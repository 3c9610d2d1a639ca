package reqkey

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

func origin(node string, incarnation int) journal.Origin {
	return journal.Origin{Node: api.NodeID(node), Incarnation: api.Incarnation(incarnation)}
}

// fakeLog applies entries to every machine; it implements journal.Proposer.
type fakeLog []*StateMachine

func (l fakeLog) Propose(_ context.Context, e journal.Entry) (err error) {
	for _, m := range l {
		err = m.Apply(journal.Position{}, e)
	}
	return err
}

// init fixes the seed of the property test.
func init() { _ = flag.Set("rapid.seed", "20260101") }

func wantEqual[T comparable](t rapid.TB, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// wantError checks that err is of type E.
func wantError[E error](t *testing.T, err error) (as E) {
	t.Helper()
	if !errors.As(err, &as) {
		t.Fatalf("got %v, want a %T", err, as)
	}
	return as
}

func TestOnlyFirstMarkIsAccepted(t *testing.T) {
	ctx := t.Context()
	m := NewStateMachine()
	a := NewKeys(m, fakeLog{m}, origin("a", 1), DefaultMaxBodyBytes)
	b := NewKeys(m, fakeLog{m}, origin("b", 1), DefaultMaxBodyBytes)
	mark, err := a.Mark(ctx, "id", 7)
	wantEqual(t, err, nil)
	_, err = b.Mark(ctx, "id", 7)
	wantEqual(t, wantError[*AlreadyMarkedError](t, err).Mark, mark)
	_, err = b.Mark(ctx, "id", 8)
	wantError[*IDReusedError](t, err)
	stale := mark
	stale.Serial++
	for _, wrong := range []Mark{stale, {ID: "id", Writer: b.Self(), Serial: mark.Serial}, {ID: "other"}} {
		wantError[*NoMarkError](t, b.Release(ctx, wrong))
	}
	wantEqual(t, a.Release(ctx, mark), nil)
	again, err := b.Mark(ctx, "id", 7)
	wantEqual(t, err, nil)
	wantError[*NoMarkError](t, a.Release(ctx, mark)) // the ID now belongs to another mark
	answer := &api.Answer{Status: 200, Body: []byte("yes"), Header: map[string]string{"A": "b"}}
	wantEqual(t, b.RecordOutcome(ctx, again, answer, nil), nil)
	wantError[*NoMarkError](t, b.Release(ctx, again)) // the request ran
	state, _ := a.Lookup("id")
	wantEqual(t, state.Mark, again)
	wantEqual(t, fmt.Sprintf("%s %s", state.Outcome, state.Answer.Body), "ran yes")

	closed, err := a.Mark(ctx, "dead", 7)
	wantEqual(t, err, nil)
	wantEqual(t, a.RecordOutcome(ctx, closed, nil, api.NotRun(api.ReasonConnectFailed, 0, "")), nil)
	wantError[*NoMarkError](t, a.Release(ctx, closed))
	wantError[*NoMarkError](t, a.RecordOutcome(ctx, closed, answer, nil))
	_, err = b.Mark(ctx, "dead", 7)
	wantEqual(t, wantError[*AlreadyMarkedError](t, err).Mark, closed)
	state, _ = b.Lookup("dead")
	wantEqual(t, fmt.Sprint(state.Outcome, " ", state.Reason), "not-run connect_failed")
}

// TestSnapshotRestoreKeepsState applies random entries to two machines, one of
// which is restored from its snapshot midway, and compares them.
func TestSnapshotRestoreKeepsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restored := NewStateMachine(), NewStateMachine()
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		cut := rapid.IntRange(0, steps).Draw(t, "cut")
		for i := range steps {
			if i == cut {
				data, _ := restored.Snapshot()
				restored = NewStateMachine()
				wantEqual(t, restored.Restore(data), nil)
			}
			e := drawEntry(t, continuous.Generation())
			wantEqual(t, fmt.Sprint(restored.Apply(journal.Position{}, e)), fmt.Sprint(continuous.Apply(journal.Position{}, e)))
		}
		one, _ := continuous.Snapshot()
		two, _ := restored.Snapshot()
		wantEqual(t, string(two), string(one))
		marks := 0
		for i := range continuous.shards {
			marks += len(continuous.shards[i].records)
		}
		wantEqual(t, continuous.Marks(), marks)
	})
}

func drawEntry(t *rapid.T, generation uint32) journal.Entry {
	id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
	writer := origin(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer"), 1)
	serial := rapid.Uint32Range(0, 1).Draw(t, "serial")
	switch rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3}).Draw(t, "type") {
	case 0:
		return newEntry(TypeMark, Mark{ID: id, Digest: rapid.Uint64Range(0, 1).Draw(t, "digest"), Writer: writer, Serial: serial})
	case 1:
		answer := &api.Answer{Body: make([]byte, rapid.IntRange(0, 300).Draw(t, "size"))}
		outcome := rapid.SampledFrom([]api.Outcome{api.OutcomeRan, api.OutcomeUnknown, api.OutcomeNotRun}).Draw(t, "outcome")
		return newEntry(TypeOutcome, Outcome{ID: id, Writer: writer, Serial: serial, Outcome: outcome, Answer: answer})
	case 2:
		return newEntry(TypeRelease, Release{ID: id, Writer: writer, Serial: serial})
	default:
		limits := Limits{Marks: 4, AnswerBytes: 500, Generations: 2}
		return newEntry(TypeGeneration, Generation{Number: generation + rapid.Uint32Range(0, 1).Draw(t, "step"), Limits: limits})
	}
}

func newEntry(t journal.EntryType, body any) journal.Entry {
	return journal.Entry{Type: t, Body: journal.Encode(body)}
}

func TestMarksExpireAfterRetainedGenerations(t *testing.T) {
	ctx := t.Context()
	m := NewStateMachine()
	k := NewKeys(m, fakeLog{m}, origin("a", 1), DefaultMaxBodyBytes)
	rotation := Rotation{Interval: time.Minute, Limits: Limits{Marks: 2, AnswerBytes: 1 << 10, Generations: 2}}
	now := time.Unix(0, 0)
	rotate := func(want uint32) {
		t.Helper()
		for _, after := range []time.Duration{time.Second, rotation.Interval - 1, 1} {
			wantEqual(t, m.Generation(), want-1)
			now = now.Add(after)
			wantEqual(t, k.Rotate(ctx, &rotation, now), nil)
		}
		wantEqual(t, m.Generation(), want)
	}
	rotate(1) // puts the limits in force
	for _, id := range []string{"1", "2"} {
		_, err := k.Mark(ctx, id, 0)
		wantEqual(t, err, nil)
	}
	_, err := k.Mark(ctx, "3", 0)
	wantError[*TooManyMarksError](t, err)
	rotate(2)
	wantEqual(t, m.Marks(), 2)
	rotate(3)
	wantEqual(t, m.Marks(), 0)
}

// BenchmarkMark applies marks of 36-byte IDs and reports the bytes per ID in
// memory and in a snapshot. Run it with -benchtime 1000000x.
func BenchmarkMark(b *testing.B) {
	m := NewStateMachine()
	before := heapBytes()
	b.ReportAllocs()
	for i := range b.N {
		mark := Mark{ID: fmt.Sprintf("%036d", i), Digest: uint64(i), Writer: origin("a", 1), Serial: uint32(i)}
		if err := m.Apply(journal.Position{}, newEntry(TypeMark, mark)); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heapB/id")
	data, _ := m.Snapshot()
	b.ReportMetric(float64(len(data))/float64(b.N), "snapshotB/id")
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// A reader that sees the outcome of a request also sees its answer.
func TestOutcomeIsNotVisibleBeforeItsAnswer(t *testing.T) {
	const requests = 2000
	m := NewStateMachine()
	keys := NewKeys(m, fakeLog{m}, origin("a", 1), DefaultMaxBodyBytes)
	for i := range requests {
		id := fmt.Sprint(i)
		mark, err := keys.Mark(t.Context(), id, 7)
		wantEqual(t, err, nil)
		answered := make(chan *api.Answer)
		go func() {
			for {
				if s, _ := m.Lookup(id); s.Outcome != "" {
					answered <- s.Answer
					return
				}
			}
		}()
		wantEqual(t, keys.RecordOutcome(t.Context(), mark, &api.Answer{Status: 200}, nil), nil)
		if <-answered == nil {
			t.Fatalf("request %d: the outcome was visible without its answer", i)
		}
	}
}
