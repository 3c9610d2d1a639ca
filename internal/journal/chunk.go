package journal

import (
	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// typeChunk is the entry type of a snapshot chunk.
const typeChunk = TypeSnapshotFirst

// chunkOverhead is the maximum size of a chunk besides its data, in bytes.
const chunkOverhead = 64

// maxPartialSnapshots is the maximum number of incomplete snapshots that are
// tracked at a time.
const maxPartialSnapshots = 4

// chunk is one part of a snapshot. The chunks of a snapshot are appended in
// order, each after the previous one has been acknowledged.
type chunk struct {
	_        struct{}        `cbor:",toarray"`
	ID       uint64          // identifies the snapshot among those of its origin
	Position platform.Offset // of the first record that the snapshot does not include
	Index    uint32
	Count    uint32
	Bytes    uint64 // size of the whole snapshot
	Checksum uint64 // checksum of the whole snapshot
	Data     []byte
}

// splitState splits st into chunks of at most maxData bytes of data.
func splitState(st State, id uint64, maxData int) []chunk {
	count := max(1, (len(st.Data)+maxData-1)/maxData)
	chunks := make([]chunk, count)
	for i := range chunks {
		from := i * maxData
		to := min(from+maxData, len(st.Data))
		chunks[i] = chunk{
			ID: id, Position: st.Position, Index: uint32(i), Count: uint32(count),
			Bytes: uint64(len(st.Data)), Checksum: st.Checksum, Data: st.Data[from:to],
		}
	}
	return chunks
}

// partialSnapshot is a snapshot some of whose chunks have been read.
type partialSnapshot struct {
	head        chunk           // the first chunk, without its data
	firstOffset platform.Offset // of the first chunk
	nextIndex   uint32          // index of the next expected chunk
	size        uint64
	digest      xxhash.Digest
	data        []byte // nil unless the assembler keeps data
}

// assembler assembles snapshots from their chunks. It drops snapshots that are
// out of order, incomplete, too large or corrupted. It is not safe for
// concurrent use.
type assembler struct {
	keepData        bool   // keeps the data, so that completed snapshots can be restored
	maxBytes        uint64 // maximum size of one snapshot
	stream          string
	partial         map[Origin]*partialSnapshot
	lastCompletedID map[Origin]uint64
}

func newAssembler(stream string, keepData bool, maxBytes int) *assembler {
	return &assembler{
		keepData: keepData, maxBytes: uint64(maxBytes), stream: stream,
		partial: make(map[Origin]*partialSnapshot), lastCompletedID: make(map[Origin]uint64),
	}
}

// add adds one chunk, found at offset. It returns the snapshot that this chunk
// completes, or nil. Data is set only if the assembler keeps data.
func (a *assembler) add(origin Origin, offset platform.Offset, c chunk) *State {
	s := a.find(origin, offset, c)
	if s == nil || c.Index < s.nextIndex {
		return nil
	}
	if c.Index > s.nextIndex || s.size+uint64(len(c.Data)) > s.head.Bytes {
		delete(a.partial, origin)
		return nil
	}
	s.nextIndex++
	s.size += uint64(len(c.Data))
	_, _ = s.digest.Write(c.Data) // never fails
	if a.keepData {
		s.data = append(s.data, c.Data...)
	}
	if s.nextIndex < s.head.Count {
		return nil
	}
	delete(a.partial, origin)
	if s.size != s.head.Bytes || s.digest.Sum64() != s.head.Checksum {
		return nil
	}
	a.lastCompletedID[origin] = c.ID
	return &State{Stream: a.stream, Position: s.head.Position, Checksum: s.head.Checksum, Data: s.data}
}

// find returns the snapshot that c belongs to. It starts a new one if c is the
// first chunk of a snapshot.
func (a *assembler) find(origin Origin, offset platform.Offset, c chunk) *partialSnapshot {
	s, ok := a.partial[origin]
	if ok && s.head.ID == c.ID {
		return s
	}
	if c.Index != 0 || c.Count == 0 || c.Bytes > a.maxBytes || c.Position > offset || a.lastCompletedID[origin] == c.ID {
		return nil
	}
	if !ok && len(a.partial) >= maxPartialSnapshots {
		a.evictOldest()
	}
	s = &partialSnapshot{head: c, firstOffset: offset}
	s.head.Data = nil
	s.digest.Reset()
	a.partial[origin] = s
	return s
}

func (a *assembler) evictOldest() {
	var oldest Origin
	firstOffset := ^platform.Offset(0)
	for origin, s := range a.partial {
		if s.firstOffset < firstOffset {
			oldest, firstOffset = origin, s.firstOffset
		}
	}
	delete(a.partial, oldest)
}
