package journal

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// errBroken ends what the read loop can do by itself.
var errBroken = errors.New("journal: state can't be continued from the log")

// reader is the state of the read loop.
type reader struct {
	r       *Replica
	backoff backoff
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
		sleep(ctx, r.cfg.ReadInterval-r.cfg.Now().Sub(sent))
	}
	return ctx.Err()
}

// readOnce does one read and applies what it brought.
func (l *reader) readOnce(ctx context.Context, sent time.Time) error {
	r := l.r
	ctx, cancel := context.WithTimeout(ctx, r.cfg.PollWait+r.cfg.ReadTimeout)
	defer cancel()
	from := r.Applied()
	r.counters.reads.Add(1)
	got, err := r.cfg.Log.Read(ctx, r.cfg.Stream, from, r.cfg.ReadMax, r.cfg.PollWait)
	if err != nil {
		return err
	}
	return r.follow(sent, from, got)
}

// pause waits after a failure.
func (l *reader) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	l.r.counters.readFailed.Add(1)
	wait := l.backoff.pause()
	l.r.log.WithFields(logrus.Fields{"event": "read_failed", "error": err, "pause": wait}).Warn("read failed")
	sleep(ctx, wait)
}

// follow applies the records of a read that was sent at the given time.
func (r *Replica) follow(sent time.Time, from platform.Offset, got platform.LogBatch) error {
	r.applying.Lock()
	defer r.applying.Unlock()
	for _, rec := range got.Records {
		if err := r.applyRecord(rec); err != nil {
			r.breakDown(err)
			return err
		}
	}
	if got.Next < r.core.next {
		r.breakDown(errBroken)
		return errBroken
	}
	r.giveUpPassed(r.core.next)
	if got.Next == r.core.next {
		r.reachedEnd(sent)
	}
	return nil
}

// applyRecord applies one record and answers the local proposers.
func (r *Replica) applyRecord(rec platform.LogRecord) error {
	out, err := r.core.apply(rec)
	if err != nil {
		return err
	}
	r.applied.Store(uint64(r.core.next))
	r.counters.countRecord(out)
	if out.kind == recordApplied && out.origin == r.cfg.Origin {
		r.readBack(out)
	}
	return nil
}

// reachedEnd notes a read that came to the end of the stream.
func (r *Replica) reachedEnd(sent time.Time) {
	r.confirmed.Store(&sent)
	if !r.ready.Swap(true) {
		r.log.WithFields(logrus.Fields{"event": "ready", "applied": r.core.next}).Info("state complete")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broadcastLocked()
}

// breakDown notes a gap that the log can't bridge.
func (r *Replica) breakDown(err error) {
	r.ready.Store(false)
	r.counters.gaps.Add(1)
	r.log.WithFields(logrus.Fields{"event": "gap", "applied": r.core.next, "error": err}).Error("state incomplete")
}
