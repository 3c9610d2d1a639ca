package journal

import (
	"sort"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// originRetention is the number of records after which an inactive origin is
// removed. It is part of the stored format: every reader removes an origin at
// the same offset. A writer abandons a batch long before, see resendRetention.
const originRetention = 1 << 22

// resendRetention is the number of records after which a batch whose outcome is
// unknown is no longer sent again.
const resendRetention = originRetention / 4

// sweepInterval is the number of records between two sweeps for inactive
// origins.
const sweepInterval = 1 << 16

// sequencer distinguishes new batches from duplicates. A batch is new if its
// sequence is higher than every applied sequence of the same origin. Gaps are
// allowed, because a writer may abandon a batch whose outcome is unknown.
//
// A late batch of a process that was paused, or of an incarnation that has
// been superseded, is new unless a later batch of that incarnation was applied
// before it. The state machines decide whether its entries are still valid.
type sequencer struct {
	origins map[Origin]originMark
}

// originMark is the latest batch applied of one origin.
type originMark struct {
	_        struct{}        `cbor:",toarray"`
	Sequence uint64          // highest applied
	Offset   platform.Offset // of that record
}

// originEntry is the mark of one origin in a snapshot.
type originEntry struct {
	_      struct{} `cbor:",toarray"`
	Origin Origin
	Mark   originMark
}

func newSequencer() *sequencer {
	return &sequencer{origins: make(map[Origin]originMark)}
}

// accept reports whether the batch at offset is new, and records it if so.
func (s *sequencer) accept(origin Origin, sequence uint64, offset platform.Offset) bool {
	if sequence <= s.lastSequence(origin) {
		return false
	}
	s.origins[origin] = originMark{Sequence: sequence, Offset: offset}
	return true
}

// lastSequence returns the highest applied sequence of origin, or zero.
func (s *sequencer) lastSequence(origin Origin) uint64 {
	return s.origins[origin].Sequence
}

// expireOrigins removes inactive origins. It is called after each record and
// acts at fixed offsets of the stream, so that every reader removes the same
// origins.
func (s *sequencer) expireOrigins(offset platform.Offset) {
	if offset%sweepInterval != 0 || offset < originRetention {
		return
	}
	for origin, mark := range s.origins {
		if mark.Offset < offset-originRetention {
			delete(s.origins, origin)
		}
	}
}

// export returns the marks of all origins in a fixed order.
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

// restore replaces the marks with those of list.
func (s *sequencer) restore(list []originEntry) {
	s.origins = make(map[Origin]originMark, len(list))
	for _, e := range list {
		s.origins[e.Origin] = e.Mark
	}
}
