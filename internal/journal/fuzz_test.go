package journal

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// FuzzDecodeRecord checks that any record is either refused, or decoded to a
// batch that survives another round of encoding and decoding unchanged.
func FuzzDecodeRecord(f *testing.F) {
	valid := encodeRecord(batch{Origin: Origin{Node: "n", Incarnation: 1}, Sequence: 7, Entries: []Entry{{Type: 10, Body: []byte{1}}}})
	f.Add(valid, false)
	f.Add(valid[:len(valid)-1], false)
	f.Add(valid[frameOverhead:], true)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, true) // an array of 2^64-1 elements
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		if framed { // a valid frame around an arbitrary body
			data = append([]byte{formatBatch}, data...)
			data = append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
		}
		b, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := decodeRecord(encodeRecord(b))
		if err != nil || !bytes.Equal(encodeRecord(again), encodeRecord(b)) {
			t.Fatalf("%+v decodes again to %+v, %v", b, again, err)
		}
	})
}
