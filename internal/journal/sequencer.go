package journal

import (
	"sort"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// originRetention is the number of records after which a silent origin is
// forgotten. It is part of the stored format: every reader forgets an origin
// at the same place. A writer gives a batch up long before, see
// resendRetention.
const originRetention = 1 << 22

// resendRetention is the number of records after which a batch of unknown
// fate is no longer sent again.
const resendRetention = originRetention / 4

// sweepEvery is the number of records between two sweeps for silent origins.
const sweepEvery = 1 << 16

// sequencer tells new batches from repeated ones. A batch is new when its
// sequence is above every one applied of the same origin; gaps are allowed,
// since a writer may give up a batch of unknown fate.
//
// A late batch of a process that was paused, or of an incarnation that has
// been superseded, is new if no later batch of that incarnation came before
// it. Whether its entries still count is decided by the machines.
type sequencer struct {
	origins map[Origin]originMark
}

// originMark is what is remembered of one origin.
type originMark struct {
	_        struct{}        `cbor:",toarray"`
	Sequence uint64          // highest applied
	Offset   platform.Offset // of that record
}

// originEntry is one origin in a snapshot.
type originEntry struct {
	_      struct{} `cbor:",toarray"`
	Origin Origin
	Mark   originMark
}

func newSequencer() *sequencer {
	return &sequencer{origins: make(map[Origin]originMark)}
}

// accept reports whether the batch at offset is new, and remembers it.
func (s *sequencer) accept(origin Origin, sequence uint64, offset platform.Offset) bool {
	if sequence <= s.last(origin) {
		return false
	}
	s.origins[origin] = originMark{Sequence: sequence, Offset: offset}
	return true
}

// last returns the highest sequence applied of origin, zero when none.
func (s *sequencer) last(origin Origin) uint64 {
	return s.origins[origin].Sequence
}

// passed tells the sequencer that the record at offset has been dealt with.
// Silent origins are forgotten at fixed places of the stream.
func (s *sequencer) passed(offset platform.Offset) {
	if offset%sweepEvery != 0 || offset < originRetention {
		return
	}
	for origin, mark := range s.origins {
		if mark.Offset < offset-originRetention {
			delete(s.origins, origin)
		}
	}
}

// export returns every origin in a fixed order.
func (s *sequencer) export() []originEntry {
	list := make([]originEntry, 0, len(s.origins))
	for origin, mark := range s.origins {
		list = append(list, originEntry{Origin: origin, Mark: mark})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
	return list
}

func (e originEntry) less(o originEntry) bool {
	if e.Origin.Node != o.Origin.Node {
		return e.Origin.Node < o.Origin.Node
	}
	return e.Origin.Incarnation < o.Origin.Incarnation
}

// restore replaces what is remembered by list.
func (s *sequencer) restore(list []originEntry) {
	s.origins = make(map[Origin]originMark, len(list))
	for _, e := range list {
		s.origins[e.Origin] = e.Mark
	}
}
