package journal

import (
	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// typeChunk is the entry type of a piece of a snapshot.
const typeChunk = TypeSnapshotFirst

// chunkOverhead bounds the bytes of a chunk besides its data.
const chunkOverhead = 64

// maxOpenSnapshots bounds the incomplete snapshots that are followed.
const maxOpenSnapshots = 4

// chunk is one piece of a snapshot. The pieces of one snapshot are appended
// in order, each after the one before it has been acknowledged.
type chunk struct {
	_        struct{}        `cbor:",toarray"`
	ID       uint64          // tells the snapshots of one origin apart
	Position platform.Offset // that the snapshot stands for
	Index    uint32
	Count    uint32
	Bytes    uint64 // of the whole
	Checksum uint64 // of the whole
	Data     []byte
}

// split cuts st into chunks of at most room bytes of data.
func split(st State, id uint64, room int) []chunk {
	count := max(1, (len(st.Data)+room-1)/room)
	chunks := make([]chunk, count)
	for i := range chunks {
		from := i * room
		to := min(from+room, len(st.Data))
		chunks[i] = chunk{
			ID: id, Position: st.Position, Index: uint32(i), Count: uint32(count),
			Bytes: uint64(len(st.Data)), Checksum: st.Checksum, Data: st.Data[from:to],
		}
	}
	return chunks
}

// openSnapshot is a snapshot of which some chunks have come.
type openSnapshot struct {
	head   chunk // the first, without its data
	since  platform.Offset
	next   uint32 // index of the chunk that is due
	size   uint64
	digest xxhash.Digest
	data   []byte // only when the assembler keeps data
}

// assembler puts snapshots together from their chunks. What is out of order,
// incomplete, too large or damaged is dropped. It is not safe for concurrent
// use.
type assembler struct {
	keep     bool   // keep the data, so that completed snapshots can be restored
	maxBytes uint64 // of one snapshot
	stream   string
	open     map[Origin]*openSnapshot
	lastDone map[Origin]uint64 // ID of the latest completed snapshot
}

func newAssembler(stream string, keep bool, maxBytes int) *assembler {
	return &assembler{
		keep: keep, maxBytes: uint64(maxBytes), stream: stream,
		open: make(map[Origin]*openSnapshot), lastDone: make(map[Origin]uint64),
	}
}

// add takes one chunk, found at offset. It returns the snapshot that this
// chunk completes, nil otherwise; Data is set only when data is kept.
func (a *assembler) add(origin Origin, offset platform.Offset, c chunk) *State {
	s := a.find(origin, offset, c)
	if s == nil || c.Index < s.next {
		return nil
	}
	if c.Index > s.next || s.size+uint64(len(c.Data)) > s.head.Bytes {
		delete(a.open, origin)
		return nil
	}
	s.next++
	s.size += uint64(len(c.Data))
	_, _ = s.digest.Write(c.Data) // never fails
	if a.keep {
		s.data = append(s.data, c.Data...)
	}
	if s.next < s.head.Count {
		return nil
	}
	delete(a.open, origin)
	if s.size != s.head.Bytes || s.digest.Sum64() != s.head.Checksum {
		return nil
	}
	a.lastDone[origin] = c.ID
	return &State{Stream: a.stream, Position: s.head.Position, Checksum: s.head.Checksum, Data: s.data}
}

// find returns the snapshot that c belongs to, opening it with its first chunk.
func (a *assembler) find(origin Origin, offset platform.Offset, c chunk) *openSnapshot {
	s, ok := a.open[origin]
	if ok && s.head.ID == c.ID {
		return s
	}
	if c.Index != 0 || c.Count == 0 || c.Bytes > a.maxBytes || c.Position > offset || a.lastDone[origin] == c.ID {
		return nil
	}
	if !ok && len(a.open) >= maxOpenSnapshots {
		a.evictOldest()
	}
	s = &openSnapshot{head: c, since: offset}
	s.head.Data = nil
	s.digest.Reset()
	a.open[origin] = s
	return s
}

func (a *assembler) evictOldest() {
	var oldest Origin
	since := ^platform.Offset(0)
	for origin, s := range a.open {
		if s.since < since {
			oldest, since = origin, s.since
		}
	}
	delete(a.open, oldest)
}
