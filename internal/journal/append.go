package journal

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// appender is the state of the append loop.
type appender struct {
	r            *Replica
	backoff      backoff
	lastWasChunk bool // snapshots and entries take turns
}

// appendLoop sends batches, one at a time, until ctx ends.
func (r *Replica) appendLoop(ctx context.Context) error {
	a := &appender{r: r, backoff: r.newBackoff()}
	for ctx.Err() == nil {
		a.waitForWork(ctx)
		a.waitForBudget(ctx)
		if ctx.Err() != nil {
			break
		}
		a.appendNext(ctx)
	}
	return ctx.Err()
}

// appendNext sends a chunk of a snapshot or a batch of entries.
func (a *appender) appendNext(ctx context.Context) {
	c, ok := a.nextChunk()
	a.lastWasChunk = ok
	if ok {
		a.appendChunk(ctx, c)
		return
	}
	a.appendBatch(ctx)
}

func (r *Replica) newBackoff() backoff {
	return backoff{min: r.cfg.BackoffMin, max: r.cfg.BackoffMax, random: r.cfg.Random}
}

// waitForWork returns when a batch is full, its oldest entry has waited for
// the flush interval, or a snapshot is to be written.
func (a *appender) waitForWork(ctx context.Context) {
	for ctx.Err() == nil {
		wait, ok := a.untilFlush()
		if ok && wait <= 0 {
			return
		}
		a.waitWoken(ctx, wait, ok)
	}
}

// untilFlush returns how long the pending entries may still wait, false when
// there are none, or the replica couldn't read them back.
func (a *appender) untilFlush() (time.Duration, bool) {
	r := a.r
	if !r.Ready() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot != nil {
		return 0, true
	}
	since, ok := r.batcher.oldest()
	if !ok {
		return 0, false
	}
	if r.batcher.waiting >= r.room() {
		return 0, true
	}
	return r.cfg.FlushInterval - r.cfg.Now().Sub(since), true
}

// waitWoken waits for news and, when bounded, at most for wait.
func (a *appender) waitWoken(ctx context.Context, wait time.Duration, bounded bool) {
	var expired <-chan time.Time
	if bounded {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-a.r.wake:
	case <-expired:
	case <-ctx.Done():
	}
}

// minAppendsPerSecond is the least share that a node takes, so that a wait
// never outlasts a change of its share by more than two seconds.
const minAppendsPerSecond = 0.5

// appendLimit returns the limit for a share of the budget.
func appendLimit(share float64) rate.Limit {
	if share > minAppendsPerSecond {
		return rate.Limit(share)
	}
	return minAppendsPerSecond
}

// waitForBudget takes one append from this node's share of the log's budget.
func (a *appender) waitForBudget(ctx context.Context) {
	limiter := a.r.limiter
	if limit := appendLimit(a.r.cfg.AppendsPerSecond()); limit != limiter.Limit() {
		limiter.SetLimit(limit)
	}
	_ = limiter.Wait(ctx) // fails only when ctx ends, which the caller checks
}

// appendBatch sends one batch and stays with it until its fate is known or
// nobody asks for it any more.
func (a *appender) appendBatch(ctx context.Context) {
	o := a.r.takeBatch(a.r.room())
	if o == nil {
		return
	}
	for {
		offset, err := a.send(ctx, o.data)
		if err == nil {
			a.backoff.reset()
			a.r.markAcked(o, offset)
			return
		}
		if !a.failed(ctx, o, err) {
			return
		}
		a.waitForBudget(ctx)
		if ctx.Err() != nil {
			return
		}
		a.r.counters.appendRepeated.Add(1)
	}
}

// send does one append.
func (a *appender) send(ctx context.Context, data []byte) (platform.Offset, error) {
	r := a.r
	ctx, cancel := context.WithTimeout(ctx, r.cfg.AppendTimeout)
	defer cancel()
	r.counters.appends.Add(1)
	r.counters.appendBytes.Add(uint64(len(data)))
	return r.cfg.Log.Append(ctx, r.cfg.Stream, data)
}

// failed deals with a failed append of o and reports whether the same batch
// is to be sent again.
func (a *appender) failed(ctx context.Context, o *outgoing, err error) bool {
	r := a.r
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		r.counters.appendTooLarge.Add(1)
		a.shrink(o)
		return false
	case errors.Is(err, platform.ErrUnavailable) && !o.uncertain:
		r.countFailure(err)
		r.returnBatch(o)
		a.pause(ctx, err)
		return false
	case !errors.Is(err, platform.ErrUnavailable):
		o.uncertain = true
		o.lostAt = r.cfg.Now()
		r.markSent(o)
	}
	r.countFailure(err)
	a.pause(ctx, err)
	return a.settle(ctx, o)
}

// countFailure counts an append that failed, other than for its size.
func (r *Replica) countFailure(err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		r.counters.appendUnavailable.Add(1)
		return
	}
	r.counters.appendUncertain.Add(1)
}

// shrink makes the following batches smaller. An entry that is too large by
// itself is answered; a batch that may be in the log is left unsettled.
func (a *appender) shrink(o *outgoing) {
	if o.uncertain {
		a.r.finish(o, a.r.sameForAll(o, ErrUnsettled))
		return
	}
	if len(o.proposals) == 1 {
		a.r.finish(o, []error{ErrEntryTooLarge})
		return
	}
	a.r.lowerLimit(len(o.data))
	a.r.returnBatch(o)
}

// pause waits after a failure.
func (a *appender) pause(ctx context.Context, err error) {
	wait := a.backoff.pause()
	a.r.log.WithFields(logrus.Fields{"event": "append_failed", "error": err, "pause": wait}).Warn("append failed")
	pause.For(ctx, wait)
}

// settle waits until the fate of o is known, by reading. It reports whether
// o is to be sent again under the same sequence: a read that was sent after
// the answer was lost has come to the end without it. A first copy that
// still turns up later is then dropped by the readers as a repeat, or is the
// one that counts.
func (a *appender) settle(ctx context.Context, o *outgoing) bool {
	r := a.r
	for {
		r.mu.Lock()
		progress := r.progress
		finished, deserted := o.finished, o.deserted()
		r.mu.Unlock()
		switch {
		case finished || ctx.Err() != nil:
			return false
		case deserted || r.Applied() > o.startedAt+resendRetention:
			r.counters.batchesAbandoned.Add(1)
			r.finish(o, r.sameForAll(o, ErrUnsettled))
			return false
		case r.Ready() && r.ConfirmedAt().After(o.lostAt):
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}
