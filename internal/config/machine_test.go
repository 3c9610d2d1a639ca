package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"reflect"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202") // fixed, so that every run tests the same cases
	os.Exit(m.Run())
}

func service(name string, version int, basedOn api.Revision, spec string) api.Record {
	return api.Record{Kind: api.KindService, Name: name, SchemaVersion: version, BasedOn: basedOn, Spec: json.RawMessage(spec)}
}

func apply(m *StateMachine, id string, rec api.Record) error {
	return m.Apply(journal.Position{}, journal.Entry{Type: TypePublish, Body: journal.Encode(newPublication(id, rec))})
}

// expectedState is the state of one key in the reference model.
type expectedState struct {
	revision api.Revision
	deleted  bool
	timeout  int64 // of the newest decodable record; 0: none
}

// TestStateMachineAgainstReference applies random publications, repeats and
// restores, and compares acceptance and reads with a reference model.
func TestStateMachineAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine()
		state := map[string]expectedState{}
		var revision api.Revision
		var accepted []publication
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			before := state[name]
			rec := service(name, rapid.IntRange(1, 3).Draw(t, "version"), before.revision, "")
			rec.BasedOn += api.Revision(rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(t, "offset"))
			rec.Deleted = before.revision > 0 && rec.BasedOn > 0 && rapid.IntRange(0, 4).Draw(t, "delete") == 0
			timeout := int64(step + 1)
			readable := rec.SchemaVersion < 3 && rapid.IntRange(0, 5).Draw(t, "fault") > 0
			if !rec.Deleted {
				rec.Spec = json.RawMessage(fmt.Sprintf(`{"timeout_ms":%d}`, timeout))
				if !readable {
					rec.Spec = json.RawMessage(`{"timeout_ms":-1}`)
				}
			}
			err := apply(m, fmt.Sprint(step), rec)
			var conflict *ConflictError
			switch {
			case rec.BasedOn != before.revision:
				if !errors.As(err, &conflict) || conflict.InForce != before.revision {
					t.Fatalf("based on %d, in force %d: got %v", rec.BasedOn, before.revision, err)
				}
			case err != nil:
				t.Fatalf("record was rejected: %v", err)
			default:
				revision++
				next := expectedState{revision: revision, deleted: rec.Deleted, timeout: before.timeout}
				if rec.Deleted {
					next.timeout = 0
				} else if readable {
					next.timeout = timeout
				}
				state[name] = next
				accepted = append(accepted, newPublication(fmt.Sprint(step), rec))
			}
			if len(accepted) > 0 && rapid.Bool().Draw(t, "repeat") {
				applyAgain(t, m, accepted[rapid.IntRange(0, len(accepted)-1).Draw(t, "which")])
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				m = restoreFromSnapshot(t, m)
			}
			compareWithReference(t, m, revision, state)
		}
	})
}

// applyAgain applies an accepted publication again: with the same ID it must be
// accepted without effect, with another ID it must conflict.
func applyAgain(t *rapid.T, m *StateMachine, p publication) {
	entry := journal.Entry{Type: TypePublish, Body: journal.Encode(p)}
	if err := m.Apply(journal.Position{}, entry); err != nil {
		t.Fatalf("repeated publication was rejected: %v", err)
	}
	p.ID[0]++
	entry.Body = journal.Encode(p)
	var conflict *ConflictError
	if err := m.Apply(journal.Position{}, entry); !errors.As(err, &conflict) {
		t.Fatalf("same record with another id: got %v, want a conflict", err)
	}
}

// restoreFromSnapshot returns a new StateMachine restored from a snapshot of m,
// after checking that both give the same snapshot and the same reads.
func restoreFromSnapshot(t *rapid.T, m *StateMachine) *StateMachine {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	next := NewStateMachine()
	if err := next.Restore(data); err != nil {
		t.Fatal(err)
	}
	again, err := next.Snapshot()
	if err != nil || !bytes.Equal(data, again) {
		t.Fatalf("snapshot of the restored machine differs (%v)", err)
	}
	if !reflect.DeepEqual(m.Records(""), next.Records("")) || !reflect.DeepEqual(m.Services(), next.Services()) {
		t.Fatal("restored machine returns different records or services")
	}
	return next
}

func compareWithReference(t *rapid.T, m *StateMachine, revision api.Revision, state map[string]expectedState) {
	if m.Revision() != revision {
		t.Fatalf("revision %d, want %d", m.Revision(), revision)
	}
	if m.UnreadableCount() != len(m.UnreadableRecords()) {
		t.Fatalf("UnreadableCount is %d, UnreadableRecords lists %d", m.UnreadableCount(), len(m.UnreadableRecords()))
	}
	for name, want := range state {
		s, ok := m.Service(name)
		if ok != (want.timeout > 0) || s.TimeoutMs != want.timeout && ok {
			t.Fatalf("%s: got %v %+v, want %+v", name, ok, s, want)
		}
		r, ok := m.Record(Key{Kind: api.KindService, Name: name})
		if ok != (want.revision > 0) || ok && (r.Revision != want.revision || r.Record.Deleted != want.deleted) {
			t.Fatalf("%s: got %+v, want %+v", name, r, want)
		}
	}
}

// TestSchemaVersionsCoexist checks that records of known and unknown schema
// versions are accepted together: the newest decodable record stays in force,
// unknown records are kept in snapshots, and deletions, conflicts and stale
// snapshots are handled without decoding them.
func TestSchemaVersionsCoexist(t *testing.T) {
	m := NewStateMachine()
	must(t, apply(m, "", service("a", 1, 0, `{"retries":4,"timeout_ms":700}`)))
	must(t, apply(m, "", service("b", 2, 0, `{"max_attempts":2}`)))
	if a, _ := m.Service("a"); a.MaxAttempts != 5 || a.TimeoutMs != 700 || a.CallerShare == 0 {
		t.Fatalf("version 1 was converted to %+v", a)
	}
	must(t, apply(m, "", service("a", 9, 1, `{"hedging":true}`)))
	must(t, apply(m, "", api.Record{Kind: "future", Name: "x", SchemaVersion: 1, Spec: json.RawMessage(`{}`)}))
	if a, ok := m.Service("a"); !ok || a.MaxAttempts != 5 {
		t.Fatalf("the newest decodable record is not in force: %+v", a)
	}
	snapshot, err := m.Snapshot()
	must(t, err)
	next := NewStateMachine()
	must(t, next.Restore(snapshot))
	unreadable := next.UnreadableRecords()
	if len(unreadable) != 2 || unreadable[0].Revision != 3 || unreadable[0].InForce != 1 || string(unreadable[0].Record.Spec) != `{"hedging":true}` {
		t.Fatalf("unreadable records after restore: %+v", unreadable)
	}
	if a, ok := next.Service("a"); !ok || a.MaxAttempts != 5 {
		t.Fatalf("service in force after restore: %+v", a)
	}
	deletion := service("a", 9, 3, "")
	deletion.Deleted = true
	must(t, apply(next, "", deletion))
	if _, ok := next.Service("a"); ok || len(next.UnreadableRecords()) != 1 {
		t.Fatal("the deletion of an unreadable record had no effect")
	}
	var conflict *ConflictError
	if err := apply(next, "late", service("a", 1, 0, `{}`)); !errors.As(err, &conflict) || conflict.InForce != 5 || !conflict.Deleted {
		t.Fatalf("record for a deleted key: got %v, want a conflict", err)
	}
	var stale *StaleSnapshotError
	if err := next.Restore(snapshot); !errors.As(err, &stale) || next.Revision() != 5 {
		t.Fatalf("restore of an older snapshot: got %v, want *StaleSnapshotError", err)
	}
}

// TestNewestRecordOfEachVersionIsKept checks that the newest record of each
// schema version is kept. A binary that knows version 9 but not 10 needs the
// newest record of version 9 from a snapshot of this binary.
func TestNewestRecordOfEachVersionIsKept(t *testing.T) {
	m := NewStateMachine()
	for i, version := range []int{1, 9, 10, 9, 10, 1} {
		must(t, apply(m, "", service("a", version, api.Revision(i), fmt.Sprintf(`{"timeout_ms":%d}`, i+1))))
	}
	var kept []api.Revision
	for _, s := range m.tables.get(Key{Kind: api.KindService, Name: "a"}).records {
		kept = append(kept, s.Revision)
	}
	if want := []api.Revision{4, 5, 6}; !reflect.DeepEqual(kept, want) {
		t.Fatalf("kept revisions %v, want %v", kept, want)
	}
}

// TestRestoredStateMachineForgetsSameDeletions fills the list of tombstones and checks
// that a machine and one restored from its snapshot drop the same tombstones.
// Otherwise they would accept different records.
func TestRestoredStateMachineForgetsSameDeletions(t *testing.T) {
	original := NewStateMachine()
	deletion := func(name string, basedOn api.Revision) api.Record {
		return api.Record{Kind: api.KindService, Name: name, SchemaVersion: 1, BasedOn: basedOn, Deleted: true}
	}
	must(t, apply(original, "", service("again", 1, 0, `{}`)))
	must(t, apply(original, "", deletion("again", 1)))
	must(t, apply(original, "", service("again", 1, 2, `{}`)))
	must(t, apply(original, "", service("gone", 1, 0, `{}`)))
	must(t, apply(original, "", deletion("gone", 4)))
	must(t, apply(original, "", service("last", 1, 0, `{}`)))
	must(t, apply(original, "", service("last but one", 1, 0, `{}`)))
	for len(original.tombstones) < maxTombstones {
		original.tombstones = append(original.tombstones, tombstone{Key: Key{Kind: "filler", Name: "f"}})
	}
	data, err := original.Snapshot()
	must(t, err)
	restored := NewStateMachine()
	must(t, restored.Restore(data))
	for _, m := range []*StateMachine{original, restored} {
		must(t, apply(m, "", deletion("last but one", 7)))
		if _, ok := m.Service("again"); !ok {
			t.Error("a key that was created again was dropped with its tombstone")
		}
		var conflict *ConflictError
		if err := apply(m, "x", service("gone", 1, 0, `{}`)); !errors.As(err, &conflict) {
			t.Errorf("record for a deleted key: got %v, want a conflict", err)
		}
		must(t, apply(m, "", deletion("last", 6)))
		must(t, apply(m, "y", service("gone", 1, 0, `{}`)))
	}
}

func TestDefaultsApplyAndJobNamesAreUnique(t *testing.T) {
	m := NewStateMachine()
	changed, cancel := m.Notify()
	defer cancel()
	job := `{"team":"t","resources":{"milli_cpu":1},"run_time_ns":1000}`
	must(t, apply(m, "", api.Record{Kind: api.KindBatchJob, Name: "j", SchemaVersion: 1, Spec: json.RawMessage(job)}))
	must(t, apply(m, "", api.Record{Kind: api.KindLimits, Name: "*", SchemaVersion: 1, Spec: json.RawMessage(`{"rate_per_second":7.5}`)}))
	<-changed
	var conflict *ConflictError
	err := apply(m, "", api.Record{Kind: api.KindGangJob, Name: "j", SchemaVersion: 1, Spec: json.RawMessage(job)})
	if !errors.As(err, &conflict) || conflict.HeldBy.Kind != api.KindBatchJob {
		t.Fatalf("second job with the same id: got %v, want a conflict", err)
	}
	if l := m.Limits("anyone"); l.RatePerSecond != 7.5 || l.Burst != 8 {
		t.Fatalf("limits %+v", l)
	}
	if j, ok := m.Job("j"); !ok || j.Spec.Class != api.ClassBatch || len(m.Jobs()) != 1 {
		t.Fatalf("job %+v", j)
	}
	if m.Policy().SampleSize == 0 {
		t.Fatal("no default policy")
	}
}

// TestReadersNeverSeeOlderState reads concurrently while records are applied and
// snapshots restored, and checks that neither the revision nor the service goes
// back, and that the service is at least as new as the revision read before it.
func TestReadersNeverSeeOlderState(t *testing.T) {
	const changes = 400
	m := NewStateMachine()
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			var revision api.Revision
			var timeout int64
			for range 20 * changes {
				atLeast := m.Revision()
				s, _ := m.Service("a")
				if atLeast < revision || s.TimeoutMs < timeout || s.TimeoutMs < int64(atLeast) {
					t.Errorf("revision %d after %d, timeout %d after %d", atLeast, revision, s.TimeoutMs, timeout)
				}
				revision, timeout = atLeast, s.TimeoutMs
			}
		})
	}
	for i := range changes {
		must(t, apply(m, "", service("a", 1, api.Revision(i), fmt.Sprintf(`{"timeout_ms":%d}`, i+1))))
		if i%10 == 0 {
			data, err := m.Snapshot()
			must(t, err)
			must(t, m.Restore(data))
		}
	}
	readers.Wait()
	if len(m.Records("")) != 1 || m.Revision() != changes {
		t.Fatalf("%d records, revision %d", len(m.Records("")), m.Revision())
	}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// FuzzApply applies arbitrary entries. Each must be accepted or rejected with a
// typed error, and the resulting state must marshal and restore from a snapshot.
func FuzzApply(f *testing.F) {
	f.Add(journal.Encode(newPublication("", service("a", 1, 0, `{"retries":1}`))))
	f.Add(journal.Encode(newPublication("", service("a", 7, 0, ``))))
	f.Add(journal.Encode(newPublication("", service("a", 7, 0, `{"cut`))))
	f.Add([]byte{0x88, 0x40})
	f.Fuzz(func(t *testing.T, body []byte) {
		m := NewStateMachine()
		err := m.Apply(journal.Position{}, journal.Entry{Type: TypePublish, Body: body})
		var malformed *MalformedError
		var conflict *ConflictError
		if err != nil && !errors.As(err, &malformed) && !errors.As(err, &conflict) {
			t.Fatalf("error of unexpected type: %v", err)
		}
		_, err = json.Marshal(m.Records("")) // the form shown to operators
		must(t, err)
		data, err := m.Snapshot()
		must(t, err)
		must(t, NewStateMachine().Restore(data))
	})
}
