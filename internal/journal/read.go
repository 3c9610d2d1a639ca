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

// errLogBehind: the log ends before what has been applied. It isn't the log
// that the state came from, or it has lost records.
var errLogBehind = errors.New("journal: log ends before the applied position")

// reader is the state of the read loop.
type reader struct {
	r       *Replica
	backoff backoff
	scan    *scan // set while looking for a snapshot to start from
	suspect suspect
}

// tornReads is how many reads must bring the same unreadable bytes before a
// record is passed over.
const tornReads = 3

// suspect is a record that could not be read. It is passed over only when
// several reads bring the same bytes, so that damage on the way to one reader
// doesn't make it differ from the others.
type suspect struct {
	offset platform.Offset
	sum    uint64
	reads  int
}

// confirmed reports whether rec has now been read often enough with the same
// bytes.
func (s *suspect) confirmed(rec platform.LogRecord) bool {
	sum := xxhash.Sum64(rec.Data)
	if s.offset != rec.Offset || s.sum != sum {
		*s = suspect{offset: rec.Offset, sum: sum}
	}
	s.reads++
	return s.reads >= tornReads
}

// readLoop reads and applies until ctx ends.
func (r *Replica) readLoop(ctx context.Context) error {
	l := &reader{r: r, backoff: r.newBackoff()}
	for ctx.Err() == nil {
		sent := r.cfg.Now()
		if err := l.readOnce(ctx, sent); err != nil {
			l.pause(ctx, err)
			continue
		}
		l.backoff.reset()
		pause.For(ctx, r.cfg.ReadInterval-r.cfg.Now().Sub(sent))
	}
	return ctx.Err()
}

// readOnce does one read and applies what it brought, or searches it for a
// snapshot.
func (l *reader) readOnce(ctx context.Context, sent time.Time) error {
	r := l.r
	l.dropOldScan()
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

// follow applies the records of a read from offset from that was sent at the
// given time.
func (l *reader) follow(sent time.Time, from platform.Offset, got platform.LogBatch) error {
	r := l.r
	r.firstKept.Store(uint64(got.First))
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.core.next != from {
		return nil // a peer's state came in meanwhile
	}
	if r.logBehind || got.Next < from {
		r.logBehind = true
		r.breakDown(errLogBehind)
		return errLogBehind
	}
	for _, rec := range got.Records {
		if err := l.applyRecord(rec); err != nil {
			return err
		}
	}
	r.giveUpPassed(r.core.next)
	if got.Next == r.core.next {
		r.reachedEnd(sent)
	}
	r.maybeSnapshot(got.First)
	return nil
}

// applyRecord applies one record and answers the local proposers.
func (l *reader) applyRecord(rec platform.LogRecord) error {
	r := l.r
	out, err := r.core.apply(rec)
	switch {
	case errors.Is(err, errTorn) && !l.suspect.confirmed(rec):
		return err // read it once more
	case errors.Is(err, errTorn):
		out = r.core.skip()
		r.noteTorn(rec, err)
	case err != nil:
		r.breakDown(err)
		return err
	}
	r.applied.Store(uint64(r.core.next))
	r.counters.countRecord(out)
	if out.kind == recordApplied && out.origin == r.cfg.Origin {
		r.readBack(out)
	}
	r.noteRecord(out)
	return nil
}

// reachedEnd notes a read that came to the end of the stream.
func (r *Replica) reachedEnd(sent time.Time) {
	r.confirmed.Store(&sent)
	r.becomeReady("log")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broadcastLocked()
}

// becomeReady notes that the state is complete.
func (r *Replica) becomeReady(source string) {
	if r.ready.Swap(true) {
		return
	}
	r.wakeAppender()
	r.log.WithFields(logrus.Fields{"event": "ready", "applied": r.core.next, "source": source}).Info("state complete")
}

// breakDown notes a gap that the log can't bridge now.
func (r *Replica) breakDown(err error) {
	r.ready.Store(false)
	r.counters.gaps.Add(1)
	r.log.WithFields(logrus.Fields{"event": "gap", "applied": r.core.next, "error": err}).Error("state incomplete")
}
