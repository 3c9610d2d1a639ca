package entry

import (
	"bytes"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// FuzzStream checks that no entry of a data centre's stream makes a state machine
// panic, that a rejected entry changes nothing, and that two readers get the same
// state.
func FuzzStream(f *testing.F) {
	spec := api.JobSpec{ID: "j", Tasks: 1, Resources: api.Resources{MilliCPU: 1}}
	f.Add(uint8(journal.TypeCellFirst), cell.SubmitEntry(spec, 1).Body)
	f.Add(uint8(journal.TypeRequestFirst), journal.Encode(reqkey.Mark{ID: "r", Digest: 1}))
	f.Add(uint8(journal.TypeOwnershipFirst), journal.Encode(ownership.Join{Process: ownership.Identity{Node: "n", Incarnation: 1}}))
	f.Add(uint8(journal.TypeCellFirst+3), []byte{0x83, 0x01, 0x80, 0x80})
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		entry := journal.Entry{Type: journal.EntryType(kind), Body: body}
		first, second := fuzzMachines(t, entry), fuzzMachines(t, entry)
		for i := range first {
			if !bytes.Equal(first[i], second[i]) {
				t.Fatalf("two readers have different states after entry type %d", kind)
			}
		}
	})
}

// fuzzMachines applies an entry twice to new state machines and returns their
// snapshots.
func fuzzMachines(t *testing.T, e journal.Entry) [][]byte {
	owners := ownership.NewStateMachine()
	machines := []journal.StateMachine{owners, reqkey.NewStateMachine(), cell.New(epochSource{ownershipState: owners}, counter.NewSet())}
	var snapshots [][]byte
	for _, m := range machines {
		for range 2 {
			before := fuzzSnapshot(t, m)
			if err := applyTo(m, e); err != nil && !bytes.Equal(before, fuzzSnapshot(t, m)) {
				t.Fatalf("entry type %d was rejected and changed the state: %v", e.Type, err)
			}
		}
		snapshots = append(snapshots, fuzzSnapshot(t, m))
	}
	return snapshots
}

func applyTo(m journal.StateMachine, e journal.Entry) error {
	for _, t := range m.Types() {
		if t == e.Type {
			return m.Apply(journal.Position{}, e)
		}
	}
	return nil
}

func fuzzSnapshot(t *testing.T, m journal.StateMachine) []byte {
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}
