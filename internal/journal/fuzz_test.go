package journal

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// FuzzDecodeRecord: whatever stands in the log, a record is either refused or
// read as something that is written back to the same bytes' meaning.
func FuzzDecodeRecord(f *testing.F) {
	sound := encodeRecord(batch{Origin: Origin{Node: "n", Incarnation: 1}, Sequence: 7, Entries: []Entry{{Type: 10, Body: []byte{1}}}})
	f.Add(sound, false)
	f.Add(sound[:len(sound)-1], false)
	f.Add(sound[frameOverhead:], true)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, true) // an array of 2^64-1 elements
	f.Fuzz(func(t *testing.T, data []byte, framed bool) {
		if framed { // a sound frame around any body
			data = append([]byte{formatBatch}, data...)
			data = append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(data)), data...)
		}
		b, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := decodeRecord(encodeRecord(b))
		if err != nil || !bytes.Equal(encodeRecord(again), encodeRecord(b)) {
			t.Fatalf("%+v reads back as %+v, %v", b, again, err)
		}
	})
}
