package journal

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// snapshotPostponement is how long a replica waits before it writes a snapshot
// after it has written one, has failed to write one, or has seen another replica
// start one.
const snapshotPostponement = 3 * time.Second

// snapshotSchedule decides when this replica writes a snapshot. Each replica
// multiplies the limits by a random factor between one half and one, and
// restarts when it reads a complete snapshot, so that usually only one replica
// writes. Two snapshots at a time are harmless. Chunks don't count as records,
// because otherwise the snapshots of several replicas would make the next ones
// due. It is not safe for concurrent use.
type snapshotSchedule struct {
	maxRecords      uint64        // maximum number of records between snapshots
	maxInterval     time.Duration // maximum time between snapshots
	retainedRecords uint64        // records that the log is configured to keep; zero if unknown
	random          func() float64

	position    platform.Offset // of the newest complete snapshot
	completedAt time.Time       // when it was read
	records     uint64          // read since then, without chunks
	limitFactor float64         // random factor of the limits
	notBefore   time.Time
	writing     bool
}

// completed records a complete snapshot and restarts the schedule.
func (s *snapshotSchedule) completed(position platform.Offset, now time.Time) {
	if position < s.position {
		return
	}
	s.position, s.completedAt = position, now
	s.records = 0
	s.limitFactor = 0.5 + s.random()/2
}

// countRecord counts a record other than a chunk.
func (s *snapshotSchedule) countRecord() {
	s.records++
}

// postpone delays the next snapshot, so that another replica can finish its
// own, or the log can recover.
func (s *snapshotSchedule) postpone(now time.Time) {
	s.notBefore = now.Add(min(snapshotPostponement, s.maxInterval/4))
}

// due reports whether a snapshot at position next should be written now. first
// is the oldest offset in the log.
func (s *snapshotSchedule) due(now time.Time, next, first platform.Offset) bool {
	if s.writing || next <= s.position || now.Before(s.notBefore) {
		return false
	}
	if s.position < first {
		return true // a new reader would find a gap
	}
	limit := float64(s.recordLimit(next, first)) * s.limitFactor
	age := time.Duration(float64(s.maxInterval) * s.limitFactor)
	return float64(s.records) >= limit || now.Sub(s.completedAt) >= age
}

// recordLimit returns how many records may follow a snapshot: at most a quarter
// of the records that the log keeps, as configured and as observed. The rest is
// left for records that are appended while a snapshot is written, and for
// readers that are behind.
func (s *snapshotSchedule) recordLimit(next, first platform.Offset) uint64 {
	limit := s.maxRecords
	if s.retainedRecords > 0 {
		limit = min(limit, s.retainedRecords/4)
	}
	if first > 0 {
		limit = min(limit, uint64(next-first)/4)
	}
	return max(limit, 1)
}
