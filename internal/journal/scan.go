package journal

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// errNoSnapshot: the records from the applied position on are gone and the
// log holds no complete snapshot that bridges the gap.
var errNoSnapshot = errors.New("journal: no snapshot bridges the gap")

// scan looks for the newest snapshot of a stream, from the oldest record
// kept to the end. When there is none it goes on with what is appended.
type scan struct {
	next       platform.Offset // of the first record not yet looked at
	generation uint64          // of the replica's state when the scan began
	snaps      *assembler
	best       *State
	reported   bool // the gap has been counted
}

// look searches the records of one read.
func (s *scan) look(records []platform.LogRecord) {
	for _, rec := range records {
		s.next = rec.Offset + 1
		b, err := decodeRecord(rec.Data)
		if err != nil || b.Sequence != unsequenced {
			continue
		}
		for _, part := range chunksOf(b) {
			s.consider(s.snaps.add(b.Origin, rec.Offset, part))
		}
	}
}

func (s *scan) consider(st *State) {
	if st == nil || (s.best != nil && st.Position < s.best.Position) {
		return
	}
	s.best = st
}

// usable returns the best snapshot if the records after it, from first on,
// are still there and it is not older than the local state.
func (s *scan) usable(first, local platform.Offset) *State {
	if s.best == nil || s.best.Position < first || s.best.Position < local {
		return nil
	}
	return s.best
}

// startScan begins to look for a snapshot after the applied position, or the
// place of an earlier scan, has been trimmed.
func (l *reader) startScan(trimmed *platform.TrimmedError) {
	r := l.r
	r.applying.Lock()
	defer r.applying.Unlock()
	r.ready.Store(false)
	r.counters.scans.Add(1)
	r.log.WithFields(logrus.Fields{"event": "trimmed", "from": trimmed.From, "first": trimmed.First}).Warn("looking for a snapshot")
	reported := l.scan != nil && l.scan.reported
	l.scan = &scan{
		next:       trimmed.First,
		generation: r.generation,
		snaps:      newAssembler(r.cfg.Stream, true, r.cfg.MaxSnapshotBytes),
		reported:   reported,
	}
}

// dropOldScan ends a scan that a peer's state has made needless.
func (l *reader) dropOldScan() {
	l.r.applying.Lock()
	defer l.r.applying.Unlock()
	if l.scan != nil && l.scan.generation != l.r.generation {
		l.scan = nil
	}
}

// continueScan searches one read, and at the end of the stream restores the
// newest snapshot.
func (l *reader) continueScan(got platform.LogBatch) error {
	l.scan.look(got.Records)
	if l.scan.next < got.Next {
		return nil
	}
	r := l.r
	r.applying.Lock()
	defer r.applying.Unlock()
	if l.scan.generation != r.generation {
		return nil
	}
	st := l.scan.usable(got.First, r.core.next)
	if st == nil {
		l.reportGap()
		return nil
	}
	if err := r.restoreLocked(*st); err != nil {
		l.scan.best = nil
		r.breakDown(err)
		return err
	}
	l.scan = nil
	r.counters.snapshotsRestored.Add(1)
	r.log.WithFields(logrus.Fields{"event": "snapshot_restored", "position": st.Position}).Info("snapshot restored")
	return nil
}

func (l *reader) reportGap() {
	if l.scan.reported {
		return
	}
	l.scan.reported = true
	l.r.breakDown(errNoSnapshot)
}
