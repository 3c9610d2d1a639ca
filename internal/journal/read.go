package journal

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// errLogBehind means that the log ends before the applied position: it isn't
// the log that the state came from, or it has lost records.
var errLogBehind = errors.New("journal: log ends before the applied position")

// reader holds the state of the read loop.
type reader struct {
	r       *Replica
	backoff backoff
	scan    *scan // not nil while searching for a snapshot to restore
	suspect unreadableRecord
}

// requiredTornReads is how many reads must return the same unreadable bytes
// before a record is skipped.
const requiredTornReads = 3

// unreadableRecord counts the reads of a record that could not be decoded. The
// record is skipped only after several reads have returned the same bytes, so
// that corruption in transit to one reader doesn't make its state differ from
// the others'.
type unreadableRecord struct {
	offset   platform.Offset
	checksum uint64
	reads    int
}

// observe counts a read of rec and reports whether rec has been read often
// enough with the same bytes.
func (u *unreadableRecord) observe(rec platform.LogRecord) bool {
	checksum := xxhash.Sum64(rec.Data)
	if u.offset != rec.Offset || u.checksum != checksum {
		*u = unreadableRecord{offset: rec.Offset, checksum: checksum}
	}
	u.reads++
	return u.reads >= requiredTornReads
}

// readLoop reads and applies until ctx ends.
func (r *Replica) readLoop(ctx context.Context) error {
	l := &reader{r: r, backoff: r.newBackoff()}
	for ctx.Err() == nil {
		sent := r.cfg.Now()
		if err := l.readOnce(ctx, sent); err != nil {
			r.readError.Store(&err)
			l.pause(ctx, err)
			continue
		}
		r.readError.Store(nil)
		l.backoff.reset()
		pause.For(ctx, r.cfg.ReadInterval-r.cfg.Now().Sub(sent))
	}
	return ctx.Err()
}

// readOnce makes one read and applies the records, or searches them for a
// snapshot.
func (l *reader) readOnce(ctx context.Context, sent time.Time) error {
	r := l.r
	l.dropStaleScan()
	from := r.Applied()
	if l.scan != nil {
		from = l.scan.next
	}
	got, err := r.read(ctx, from)
	var trimmed *platform.TrimmedError
	switch {
	case errors.As(err, &trimmed):
		l.startScan(trimmed)
		return nil
	case err != nil:
		return err
	case l.scan != nil:
		return l.continueScan(got)
	default:
		return l.follow(sent, from, got)
	}
}

func (r *Replica) read(ctx context.Context, from platform.Offset) (platform.LogBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.PollWait+r.cfg.ReadTimeout)
	defer cancel()
	r.counters.reads.Add(1)
	return r.cfg.Log.Read(ctx, r.cfg.Stream, from, r.cfg.MaxReadRecords, r.cfg.PollWait)
}

// pause waits after a failure.
func (l *reader) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.r.counters.readFailed.Add(1)
	wait := l.backoff.pause()
	l.r.log.WithFields(logrus.Fields{"event": "read_failed", "error": err, "pause": wait}).Warn("read failed")
	pause.For(ctx, wait)
}

// follow applies the records of a read that started at offset from and was
// sent at the given time.
func (l *reader) follow(sent time.Time, from platform.Offset, got platform.LogBatch) error {
	r := l.r
	r.firstKept.Store(uint64(got.First))
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.core.next != from {
		return nil // a peer's state was imported in the meantime
	}
	if r.logBehind || got.Next < from {
		r.logBehind = true
		r.markIncomplete(errLogBehind)
		return errLogBehind
	}
	for _, rec := range got.Records {
		if err := l.applyRecord(rec); err != nil {
			return err
		}
	}
	r.finishMissing(r.core.next)
	if got.Next == r.core.next {
		r.reachedEnd(sent)
	}
	r.startSnapshotIfDue(got.First)
	return nil
}

// applyRecord applies one record and returns the results to local proposers.
func (l *reader) applyRecord(rec platform.LogRecord) error {
	r := l.r
	out, err := r.core.apply(rec)
	switch {
	case errors.Is(err, errTorn) && !l.suspect.observe(rec):
		return err // read it again
	case errors.Is(err, errTorn):
		out = r.core.skip()
		r.addTornRecord(rec, err)
	case err != nil:
		r.markIncomplete(err)
		return err
	}
	r.applied.Store(uint64(r.core.next))
	r.counters.countRecord(out)
	if out.kind == recordApplied && out.origin == r.cfg.Origin {
		r.deliverResults(out)
	}
	r.updateSchedule(out)
	return nil
}

// reachedEnd records that a read, sent at the given time, has reached the end
// of the stream.
func (r *Replica) reachedEnd(sent time.Time) {
	r.confirmed.Store(&sent)
	r.markReady("log")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broadcastLocked()
}

// markReady records that the state is complete.
func (r *Replica) markReady(source string) {
	if r.ready.Swap(true) {
		return
	}
	r.notifyAppender()
	r.log.WithFields(logrus.Fields{"event": "ready", "applied": r.core.next, "source": source}).Info("state complete")
}

// markIncomplete records a gap that the log can't fill at the moment.
func (r *Replica) markIncomplete(err error) {
	r.ready.Store(false)
	r.counters.gaps.Add(1)
	r.log.WithFields(logrus.Fields{"event": "gap", "applied": r.core.next, "error": err}).Error("state incomplete")
}
