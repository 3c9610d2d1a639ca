package work

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
)

// PathID identifies the host and path prefix at which a queue accepts jobs. With the job's ID it is all that a
// client knows of a job: the queue's name is the operator's, who may change it. 0 means unknown: a process
// that records no paths has accepted the job.
type PathID uint64

// The two highest bits of a PathID. They keep it apart from 0 and, as CBOR tag numbers, from workspaces and
// all registered ones.
const (
	pathIDMask = 0b11 << 62
	pathIDBits = 0b01 << 62
)

// NewPathID returns the ID of a host and path prefix. It is a hash, so that all processes agree on it, and
// records take 9 bytes for it.
func NewPathID(host, prefix string) PathID {
	sum := sha256.Sum256([]byte(host + "\x00" + prefix))
	return PathID(binary.BigEndian.Uint64(sum[:])&^pathIDMask | pathIDBits)
}

// queueName is the stored form of a queue's name, tagged with its path if that is known. Processes that record
// no paths skip the tag. They would refuse a further field, since records are encoded by position.
type queueName struct {
	name string
	path PathID
}

// MarshalCBOR implements cbor.Marshaler.
func (q queueName) MarshalCBOR() ([]byte, error) {
	if q.path == 0 {
		return cbor.Marshal(q.name)
	}
	return cbor.Marshal(cbor.Tag{Number: uint64(q.path), Content: q.name})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (q *queueName) UnmarshalCBOR(data []byte) error {
	var tag cbor.RawTag
	if isTagged(data) && cbor.Unmarshal(data, &tag) == nil && tag.Number&pathIDMask == pathIDBits {
		q.path = PathID(tag.Number)
	}
	return cbor.Unmarshal(data, &q.name)
}
