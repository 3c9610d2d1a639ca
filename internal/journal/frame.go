package journal

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Layout of a record: checksum, format, body. The checksum covers format and
// body, so that a corrupted record can be distinguished from one of a newer
// format.
const (
	checksumBytes   = 8
	frameOverhead   = checksumBytes + 1
	formatBatch     = 1
	batchOverhead   = 64 // maximum bytes of a batch besides the origin's node and the entries
	entryOverhead   = 8  // maximum bytes of an entry besides its body
	unsequenced     = 0  // Sequence of records that need no duplicate detection
	minRecordBytes  = 1 << 10
	firstSequenceNo = 1
)

// batch is the body of a record: entries of one writer that are applied
// together.
type batch struct {
	_        struct{} `cbor:",toarray"`
	Origin   Origin
	Sequence uint64 // increases with each batch of an origin; unsequenced for snapshot chunks
	Entries  []Entry
}

// encodeRecord returns b encoded as one log record.
func encodeRecord(b batch) []byte {
	body := Encode(b)
	data := make([]byte, frameOverhead, frameOverhead+len(body))
	data[checksumBytes] = formatBatch
	data = append(data, body...)
	binary.BigEndian.PutUint64(data, xxhash.Sum64(data[checksumBytes:]))
	return data
}

// decodeRecord is the inverse of encodeRecord. It fails with errTorn or
// errNewerFormat.
func decodeRecord(data []byte) (batch, error) {
	var b batch
	if len(data) < frameOverhead {
		return b, fmt.Errorf("%w: %d bytes", errTorn, len(data))
	}
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(data[checksumBytes:]) {
		return b, fmt.Errorf("%w: checksum mismatch", errTorn)
	}
	if format := data[checksumBytes]; format != formatBatch {
		return b, fmt.Errorf("%w: format %d", errNewerFormat, format)
	}
	if err := Decode(data[frameOverhead:], &b); err != nil {
		return b, fmt.Errorf("%w: %v", errTorn, err)
	}
	return b, nil
}

// entrySize returns an upper bound of e's size within a record.
func entrySize(e Entry) int {
	return len(e.Body) + entryOverhead
}

// entryCapacity returns how many bytes of entries fit into a record of at most
// limit bytes.
func entryCapacity(limit int, origin Origin) int {
	return limit - frameOverhead - batchOverhead - len(origin.Node)
}
