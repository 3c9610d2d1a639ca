package journal

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Layout of a record: checksum, format, body. The checksum covers format and
// body, so a damaged record is told from one of a newer format.
const (
	checksumBytes   = 8
	frameOverhead   = checksumBytes + 1
	formatBatch     = 1
	batchOverhead   = 64 // bytes of a batch besides origin's node and its entries, at most
	entryOverhead   = 8  // bytes of an entry besides its body, at most
	unsequenced     = 0  // Sequence of records that need no duplicate detection
	minRecordBytes  = 1 << 10
	firstSequenceNo = 1
)

// batch is the body of a record: entries of one writer, applied together.
type batch struct {
	_        struct{} `cbor:",toarray"`
	Origin   Origin
	Sequence uint64 // grows with each batch of an origin; unsequenced for snapshot chunks
	Entries  []Entry
}

// encodeRecord returns b as the data of one log record.
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
		return b, fmt.Errorf("%w: checksum", errTorn)
	}
	if format := data[checksumBytes]; format != formatBatch {
		return b, fmt.Errorf("%w: format %d", errNewerFormat, format)
	}
	if err := Decode(data[frameOverhead:], &b); err != nil {
		return b, fmt.Errorf("%w: %v", errTorn, err)
	}
	return b, nil
}

// entrySize bounds the bytes that e takes within a record.
func entrySize(e Entry) int {
	return len(e.Body) + entryOverhead
}

// entryRoom is how many bytes of entries fit into a record of limit bytes.
func entryRoom(limit int, origin Origin) int {
	return limit - frameOverhead - batchOverhead - len(origin.Node)
}
