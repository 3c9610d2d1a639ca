package leader

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/skylarklock/skylarklock/api"
)

// kind says what a record in the cell's leader partition does.
type kind uint8

const (
	claims   kind = iota + 1 // a process becomes the leader; the record's place is its epoch
	renews                   // the leader is alive
	releases                 // the leader steps down
)

// record is one entry of the leader partition. Each is appended under the
// condition that the partition ends where its writer last saw it end.
type record struct {
	_           struct{} `cbor:",toarray"`
	Kind        kind
	Node        api.NodeID
	Incarnation api.Incarnation
	Address     string    // of the leader's peer service
	Epoch       api.Epoch // of the claim that is renewed or released
}

func encode(r record) ([]byte, error) { return cbor.Marshal(r) }

func decode(data []byte) (record, error) {
	var r record
	err := cbor.Unmarshal(data, &r)
	return r, errors.Wrap(err, "leader: record")
}
