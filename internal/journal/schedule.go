package journal

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// snapshotGrace is how long a replica waits after it has written a snapshot,
// failed to, or seen another replica begin one, before it writes its own.
const snapshotGrace = 3 * time.Second

// schedule decides when this replica writes a snapshot. Each replica draws
// its own point between half of the limits and all of them, and starts over
// when it sees a complete snapshot, so that mostly one of them writes. Two
// snapshots do no harm. Chunks don't count as records: otherwise the
// snapshots of several replicas would make the next ones due. It is not safe
// for concurrent use.
type schedule struct {
	every    uint64        // records between snapshots, at most
	interval time.Duration // time between snapshots, at most
	retain   uint64        // records that the log is said to keep; zero when unknown
	random   func() float64

	position  platform.Offset // of the newest complete snapshot
	at        time.Time       // when it was seen
	records   uint64          // since then, without chunks
	share     float64         // of the limits, drawn
	notBefore time.Time
	writing   bool
}

// completed notes a complete snapshot.
func (s *schedule) completed(position platform.Offset, now time.Time) {
	if position < s.position {
		return
	}
	s.position, s.at = position, now
	s.records = 0
	s.share = 0.5 + s.random()/2
}

// passed notes a record other than a chunk.
func (s *schedule) passed() {
	s.records++
}

// postpone leaves others, or the log, some time.
func (s *schedule) postpone(now time.Time) {
	s.notBefore = now.Add(min(snapshotGrace, s.interval/4))
}

// due reports whether a snapshot should be written now, at position next,
// with first the oldest offset that the log keeps.
func (s *schedule) due(now time.Time, next, first platform.Offset) bool {
	if s.writing || next <= s.position || now.Before(s.notBefore) {
		return false
	}
	if s.position < first {
		return true // a new reader would find a gap
	}
	limit := float64(s.recordLimit(next, first)) * s.share
	age := time.Duration(float64(s.interval) * s.share)
	return float64(s.records) >= limit || now.Sub(s.at) >= age
}

// recordLimit is how many records may follow a snapshot: a quarter of what
// the log keeps, by its own word or as seen. The rest is for the records that
// come while a snapshot is written, and for readers on their way.
func (s *schedule) recordLimit(next, first platform.Offset) uint64 {
	limit := s.every
	if s.retain > 0 {
		limit = min(limit, s.retain/4)
	}
	if first > 0 {
		limit = min(limit, uint64(next-first)/4)
	}
	return max(limit, 1)
}
