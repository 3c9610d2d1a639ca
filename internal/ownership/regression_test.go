package ownership

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// identityOf returns the identity of a process on node.
func identityOf(node api.NodeID) Identity { return Identity{Node: node, Incarnation: 1} }

// applyAll applies entries, all of which must be accepted.
func applyAll(t *testing.T, table *Table, actions ...Action) {
	t.Helper()
	for i, a := range actions {
		if err := table.Apply(a); err != nil {
			t.Fatalf("entry %d, %+v: %v", i, a, err)
		}
	}
}

// TestFloorOfFormerHolderIsFixedAtLoss checks that a holder that lost its shard
// keeps the floor share of that time. If it acknowledges a new member before it
// releases the shard, the next holder must not get more slots (NO_FROZEN_SHARE
// in spec/hold.pml).
func TestFloorOfFormerHolderIsFixedAtLoss(t *testing.T) {
	a, b, c := identityOf("a"), identityOf("b"), identityOf("c")
	table := NewTable()
	applyAll(t, table, Join{Process: a}, Join{Process: b})
	applyAll(t, table, Acknowledge{Process: a, Version: table.Version, Members: 2}, Acknowledge{Process: b, Version: 3, Members: 2})
	applyAll(t, table, Claim{Process: a, Shards: []ShardAt{{Shard: 0}}}, Challenge{From: b, Process: a})
	applyAll(t, table, Claim{Process: b, Shards: []ShardAt{{Shard: 0, Epoch: 1}}})
	before := formerHolderSlots(table, table.Holds[0], 8)
	applyAll(t, table, Join{Process: c}, Acknowledge{Process: a, Version: table.Version + 1, Members: 3})
	if after := formerHolderSlots(table, table.Holds[0], 8); before != 4 || after != before {
		t.Fatalf("slots of the former holder: %d, then %d; want 4 both times", before, after)
	}
}

// TestDuplicateJoinKeepsLostVersion checks that a join that is applied a second
// time, after its process was expelled, records the loss of its shards: the
// process gets no grant based on a table version from before the expulsion.
func TestDuplicateJoinKeepsLostVersion(t *testing.T) {
	a, b := identityOf("a"), identityOf("b")
	table := NewTable()
	applyAll(t, table, Join{Process: a}, Join{Process: b}, Claim{Process: a, Shards: []ShardAt{{Shard: 0}}})
	read := table.Version // the last version that a has applied
	applyAll(t, table, Expel{Process: a}, Join{Process: a},
		Acknowledge{Process: b, Version: 5, Members: 2}, Claim{Process: b, Shards: []ShardAt{{Shard: 0, Epoch: 1}}})
	if CanGrant(table, NewEvidence(b), GrantRequest{Process: a, Version: read}) {
		t.Fatal("grant given to a process that does not know that it lost its shard")
	}
}
