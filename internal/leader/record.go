package leader

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
)

// recordKind is the type of a record in the cell's leader partition.
type recordKind uint8

const (
	kindClaim   recordKind = iota + 1 // a process becomes the leader; its epoch is the record's offset plus one
	kindRenewal                       // the leader is alive
	kindRelease                       // the leader steps down
)

// record is an entry of the leader partition. It is appended on the condition that the
// partition still ends at the offset that its writer knows.
type record struct {
	_           struct{} `cbor:",toarray"`
	Kind        recordKind
	Node        api.NodeID
	Incarnation api.Incarnation
	Address     string    // of the leader's peer service
	Epoch       api.Epoch // of the claim that is renewed or released
}

func encode(r record) ([]byte, error) { return cbor.Marshal(r) }

func decode(data []byte) (record, error) {
	var r record
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "leader: decode record")
}
