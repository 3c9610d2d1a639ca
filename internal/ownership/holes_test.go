package ownership

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// member names a process for the tests of this file.
func memberNamed(node api.NodeID) Identity { return Identity{Node: node, Incarnation: 1} }

// applyAll applies entries that must be accepted.
func applyAll(t *testing.T, table *Table, actions ...Action) {
	t.Helper()
	for i, a := range actions {
		if err := table.Apply(a); err != nil {
			t.Fatalf("entry %d, %+v: %v", i, a, err)
		}
	}
}

// A holder that lost its shard may use what its floor was then. That it
// acknowledges a joiner before it has given the shard up must not let the next
// holder take more (NO_FROZEN_SHARE in spec/hold.pml).
func TestFloorOfFormerHolderIsFixedAtLoss(t *testing.T) {
	a, b, c := memberNamed("a"), memberNamed("b"), memberNamed("c")
	table := NewTable()
	applyAll(t, table, Join{Process: a}, Join{Process: b})
	applyAll(t, table, Acknowledge{Process: a, Version: table.Version, Members: 2}, Acknowledge{Process: b, Version: 3, Members: 2})
	applyAll(t, table, Claim{Process: a, Shards: []ShardAt{{Shard: 0}}}, Challenge{From: b, Process: a})
	applyAll(t, table, Claim{Process: b, Shards: []ShardAt{{Shard: 0, Epoch: 1}}})
	before := leftToFormer(table, table.Holds[0], 8)
	applyAll(t, table, Join{Process: c}, Acknowledge{Process: a, Version: table.Version + 1, Members: 3})
	if after := leftToFormer(table, table.Holds[0], 8); before != 4 || after != before {
		t.Fatalf("left to the former holder: %d slots, then %d; want 4 for good", before, after)
	}
}

// A join that lands a second time, after its process was expelled, makes it a
// member that has lost what it held: it gets no grant by what it read before.
func TestDuplicateJoinKeepsLostVersion(t *testing.T) {
	a, b := memberNamed("a"), memberNamed("b")
	table := NewTable()
	applyAll(t, table, Join{Process: a}, Join{Process: b}, Claim{Process: a, Shards: []ShardAt{{Shard: 0}}})
	read := table.Version // the last that a has read
	applyAll(t, table, Expel{Process: a}, Join{Process: a},
		Acknowledge{Process: b, Version: 5, Members: 2}, Claim{Process: b, Shards: []ShardAt{{Shard: 0, Epoch: 1}}})
	if CanGrant(table, NewEvidence(b), GrantRequest{Process: a, Version: read}) {
		t.Fatal("granted to a process that does not know that its shard was taken")
	}
}
