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

// log applies entries to every machine; it is a journal.Proposer.
type log []*StateMachine

func (l log) Propose(_ context.Context, e journal.Entry) (err error) {
	for _, m := range l {
		err = m.Apply(journal.Position{}, e)
	}
	return err
}

// init fixes the seed of the property test.
func init() { _ = flag.Set("rapid.seed", "20260101") }

func same[T comparable](t rapid.TB, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// fails checks that err is of type E.
func fails[E error](t *testing.T, err error) (as E) {
	t.Helper()
	if !errors.As(err, &as) {
		t.Fatalf("got %v, want a %T", err, as)
	}
	return as
}

func TestOnlyFirstMarkIsAccepted(t *testing.T) {
	ctx := t.Context()
	m := NewStateMachine()
	a := NewKeys(m, log{m}, origin("a", 1), DefaultMaxBodyBytes)
	b := NewKeys(m, log{m}, origin("b", 1), DefaultMaxBodyBytes)
	mark, err := a.Mark(ctx, "id", 7)
	same(t, err, nil)
	_, err = b.Mark(ctx, "id", 7)
	same(t, fails[*AlreadyMarkedError](t, err).Mark, mark)
	_, err = b.Mark(ctx, "id", 8)
	fails[*IDReusedError](t, err)
	stale := mark
	stale.Serial++
	for _, wrong := range []Mark{stale, {ID: "id", Writer: b.Self(), Serial: mark.Serial}, {ID: "other"}} {
		fails[*NoMarkError](t, b.Release(ctx, wrong))
	}
	same(t, a.Release(ctx, mark), nil)
	again, err := b.Mark(ctx, "id", 7)
	same(t, err, nil)
	fails[*NoMarkError](t, a.Release(ctx, mark)) // late, the id is another's by now
	answer := &api.Answer{Status: 200, Body: []byte("yes"), Header: map[string]string{"A": "b"}}
	same(t, b.RecordOutcome(ctx, again, answer, nil), nil)
	fails[*NoMarkError](t, b.Release(ctx, again)) // it ran
	state, _ := a.Lookup("id")
	same(t, state.Mark, again)
	same(t, fmt.Sprintf("%s %s", state.Outcome, state.Answer.Body), "ran yes")

	dead, err := a.Mark(ctx, "dead", 7)
	same(t, err, nil)
	same(t, a.RecordOutcome(ctx, dead, nil, api.NotRun(api.ReasonConnectFailed, 0, "")), nil)
	fails[*NoMarkError](t, a.Release(ctx, dead))
	fails[*NoMarkError](t, a.RecordOutcome(ctx, dead, answer, nil))
	_, err = b.Mark(ctx, "dead", 7)
	same(t, fails[*AlreadyMarkedError](t, err).Mark, dead)
	state, _ = b.Lookup("dead")
	same(t, fmt.Sprint(state.Outcome, " ", state.Reason), "not-run connect_failed")
}

// TestSnapshotRestoreKeepsState feeds random entries to two machines, of which one is
// restored from a snapshot midway.
func TestSnapshotRestoreKeepsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		straight, restored := NewStateMachine(), NewStateMachine()
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		cut := rapid.IntRange(0, steps).Draw(t, "cut")
		for i := range steps {
			if i == cut {
				data, _ := restored.Snapshot()
				restored = NewStateMachine()
				same(t, restored.Restore(data), nil)
			}
			e := drawEntry(t, straight.Generation())
			same(t, fmt.Sprint(restored.Apply(journal.Position{}, e)), fmt.Sprint(straight.Apply(journal.Position{}, e)))
		}
		one, _ := straight.Snapshot()
		two, _ := restored.Snapshot()
		same(t, string(two), string(one))
		marks := 0
		for i := range straight.shards {
			marks += len(straight.shards[i].records)
		}
		same(t, straight.Marks(), marks)
	})
}

func drawEntry(t *rapid.T, generation uint32) journal.Entry {
	id := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id"))
	writer := origin(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "writer"), 1)
	serial := rapid.Uint32Range(0, 1).Draw(t, "serial")
	switch rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3}).Draw(t, "type") {
	case 0:
		return entry(TypeMark, Mark{ID: id, Digest: rapid.Uint64Range(0, 1).Draw(t, "digest"), Writer: writer, Serial: serial})
	case 1:
		answer := &api.Answer{Body: make([]byte, rapid.IntRange(0, 300).Draw(t, "size"))}
		outcome := rapid.SampledFrom([]api.Outcome{api.OutcomeRan, api.OutcomeUnknown, api.OutcomeNotRun}).Draw(t, "outcome")
		return entry(TypeOutcome, Outcome{ID: id, Writer: writer, Serial: serial, Outcome: outcome, Answer: answer})
	case 2:
		return entry(TypeRelease, Release{ID: id, Writer: writer, Serial: serial})
	default:
		limits := Limits{Marks: 4, AnswerBytes: 500, Generations: 2}
		return entry(TypeGeneration, Generation{Number: generation + rapid.Uint32Range(0, 1).Draw(t, "step"), Limits: limits})
	}
}

func entry(t journal.EntryType, body any) journal.Entry {
	return journal.Entry{Type: t, Body: journal.Encode(body)}
}

func TestMarksExpireAfterRetainedGenerations(t *testing.T) {
	ctx := t.Context()
	m := NewStateMachine()
	k := NewKeys(m, log{m}, origin("a", 1), DefaultMaxBodyBytes)
	rotation := Rotation{Interval: time.Minute, Limits: Limits{Marks: 2, AnswerBytes: 1 << 10, Generations: 2}}
	now := time.Unix(0, 0)
	rotate := func(want uint32) {
		t.Helper()
		for _, after := range []time.Duration{time.Second, rotation.Interval - 1, 1} {
			same(t, m.Generation(), want-1)
			now = now.Add(after)
			same(t, k.Rotate(ctx, &rotation, now), nil)
		}
		same(t, m.Generation(), want)
	}
	rotate(1) // brings the limits
	for _, id := range []string{"1", "2"} {
		_, err := k.Mark(ctx, id, 0)
		same(t, err, nil)
	}
	_, err := k.Mark(ctx, "3", 0)
	fails[*TooManyMarksError](t, err)
	rotate(2)
	same(t, m.Marks(), 2)
	rotate(3)
	same(t, m.Marks(), 0)
}

// BenchmarkMark applies marks of 36-byte ids and reports the bytes that each
// keeps in memory and in a snapshot. Run it with -benchtime 1000000x.
func BenchmarkMark(b *testing.B) {
	m := NewStateMachine()
	before := heap()
	b.ReportAllocs()
	for i := range b.N {
		mark := Mark{ID: fmt.Sprintf("%036d", i), Digest: uint64(i), Writer: origin("a", 1), Serial: uint32(i)}
		if err := m.Apply(journal.Position{}, entry(TypeMark, mark)); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(heap()-before)/float64(b.N), "heapB/id")
	data, _ := m.Snapshot()
	b.ReportMetric(float64(len(data))/float64(b.N), "snapshotB/id")
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
