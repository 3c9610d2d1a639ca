package journal

import (
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// errNoSnapshot means that the records after the applied position were trimmed
// and the log holds no complete snapshot that fills the gap.
var errNoSnapshot = errors.New("journal: no snapshot fills the gap")

// scan searches a stream for its newest snapshot, from the oldest record to the
// end. If it finds none, it continues with records appended later.
type scan struct {
	next        platform.Offset // of the first record not yet searched
	generation  uint64          // of the replica's state at the start of the scan
	snapshots   *assembler
	best        *State
	gapReported bool // the gap has been logged and counted
}

// search searches the records of one read for snapshot chunks.
func (s *scan) search(records []platform.LogRecord) {
	for _, rec := range records {
		s.next = rec.Offset + 1
		b, err := decodeRecord(rec.Data)
		if err != nil || b.Sequence != unsequenced {
			continue
		}
		for _, part := range chunksOf(b) {
			s.consider(s.snapshots.add(b.Origin, rec.Offset, part))
		}
	}
}

func (s *scan) consider(st *State) {
	if st == nil || (s.best != nil && st.Position < s.best.Position) {
		return
	}
	s.best = st
}

// usable returns the best snapshot, or nil if records after it were trimmed
// (first is the oldest offset in the log) or it is older than the local state.
func (s *scan) usable(first, local platform.Offset) *State {
	if s.best == nil || s.best.Position < first || s.best.Position < local {
		return nil
	}
	return s.best
}

// startScan starts the search for a snapshot after the records at the applied
// position, or at the position of an earlier scan, have been trimmed.
func (l *reader) startScan(trimmed *platform.TrimmedError) {
	r := l.r
	r.applying.Lock()
	defer r.applying.Unlock()
	r.ready.Store(false)
	r.counters.scans.Add(1)
	r.log.WithFields(logrus.Fields{"event": "trimmed", "from": trimmed.From, "first": trimmed.First}).Warn("looking for a snapshot")
	gapReported := l.scan != nil && l.scan.gapReported
	l.scan = &scan{
		next:        trimmed.First,
		generation:  r.generation,
		snapshots:   newAssembler(r.cfg.Stream, true, r.cfg.MaxSnapshotBytes),
		gapReported: gapReported,
	}
}

// dropStaleScan ends a scan if a peer's state was imported after its start.
func (l *reader) dropStaleScan() {
	l.r.applying.Lock()
	defer l.r.applying.Unlock()
	if l.scan != nil && l.scan.generation != l.r.generation {
		l.scan = nil
	}
}

// continueScan searches the records of one read. At the end of the stream it
// restores the newest snapshot.
func (l *reader) continueScan(got platform.LogBatch) error {
	l.scan.search(got.Records)
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
		r.markIncomplete(err)
		return err
	}
	l.scan = nil
	r.counters.snapshotsRestored.Add(1)
	r.log.WithFields(logrus.Fields{"event": "snapshot_restored", "position": st.Position}).Info("snapshot restored")
	return nil
}

func (l *reader) reportGap() {
	if l.scan.gapReported {
		return
	}
	l.scan.gapReported = true
	l.r.markIncomplete(errNoSnapshot)
}
