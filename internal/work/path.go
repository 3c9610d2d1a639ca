package work

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

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

// Terms are what a queue promised when it accepted a job. They hold while the queue is removed. The zero value
// means unknown: a process that records no terms has accepted the job.
type Terms struct {
	MaxAttempts      int           // number of failed runs after which a task fails
	LatencyObjective time.Duration // time from arrival to completion; whole milliseconds are recorded
}

// The bits of a Terms' CBOR tag: three bits that keep it apart from other tags, the attempts, and the objective
// in milliseconds.
const (
	termsMask          = 0b111 << 61
	termsBits          = 0b001 << 61
	termsObjectiveBits = 40
	maxTermsAttempts   = 1<<16 - 1
	maxTermsObjective  = 1<<termsObjectiveBits - 1 // milliseconds
)

// tag returns the number of the terms' tag. Values beyond its fields are recorded as the largest ones.
func (t Terms) tag() uint64 {
	attempts := uint64(min(max(0, t.MaxAttempts), maxTermsAttempts))
	objective := uint64(min(max(0, t.LatencyObjective.Milliseconds()), maxTermsObjective))
	return termsBits | attempts<<termsObjectiveBits | objective
}

// termsOfTag returns the terms with a tag number.
func termsOfTag(number uint64) Terms {
	return Terms{
		MaxAttempts:      int(number >> termsObjectiveBits & maxTermsAttempts),
		LatencyObjective: time.Duration(number&maxTermsObjective) * time.Millisecond,
	}
}

// queueName is the stored form of a queue's name, tagged with the queue's path and the terms if they are known.
// Processes that record neither skip the tags. They would refuse a further field, since records are encoded by
// position.
type queueName struct {
	name  string
	path  PathID
	terms Terms
}

// MarshalCBOR implements cbor.Marshaler.
func (q queueName) MarshalCBOR() ([]byte, error) {
	var content any = q.name
	if q.terms != (Terms{}) {
		content = cbor.Tag{Number: q.terms.tag(), Content: content}
	}
	if q.path != 0 {
		content = cbor.Tag{Number: uint64(q.path), Content: content}
	}
	return cbor.Marshal(content)
}

// UnmarshalCBOR implements cbor.Unmarshaler. Other tags are skipped.
func (q *queueName) UnmarshalCBOR(data []byte) error {
	for isTagged(data) {
		var tag cbor.RawTag
		if err := cbor.Unmarshal(data, &tag); err != nil {
			return err
		}
		switch {
		case tag.Number&pathIDMask == pathIDBits:
			q.path = PathID(tag.Number)
		case tag.Number&termsMask == termsBits:
			q.terms = termsOfTag(tag.Number)
		}
		data = tag.Content
	}
	return cbor.Unmarshal(data, &q.name)
}
