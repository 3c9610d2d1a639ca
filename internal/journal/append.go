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

// appender holds the state of the append loop.
type appender struct {
	r            *Replica
	backoff      backoff
	lastWasChunk bool // snapshot chunks and batches of entries alternate
}

// appendLoop appends one record at a time until ctx ends.
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

// appendNext appends a snapshot chunk or a batch of entries.
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

// waitForWork returns when a batch is full, the oldest entry has waited for the
// flush interval, or a snapshot is to be written.
func (a *appender) waitForWork(ctx context.Context) {
	for ctx.Err() == nil {
		wait, ok := a.flushDelay()
		if ok && wait <= 0 {
			return
		}
		a.waitForWakeup(ctx, wait, ok)
	}
}

// flushDelay returns how much longer the pending entries may wait. It returns
// false if there are none, or if the replica is not ready and could not read
// them back.
func (a *appender) flushDelay() (time.Duration, bool) {
	r := a.r
	if !r.Ready() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot != nil {
		return 0, true
	}
	proposedAt, ok := r.batcher.oldestPending()
	if !ok {
		return 0, false
	}
	if r.batcher.pendingBytes >= r.batchCapacity() {
		return 0, true
	}
	return r.cfg.FlushInterval - r.cfg.Now().Sub(proposedAt), true
}

// waitForWakeup waits for a notification, for at most wait if bounded is set.
func (a *appender) waitForWakeup(ctx context.Context, wait time.Duration, bounded bool) {
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

// minAppendsPerSecond is the minimum append rate of a node, so that a wait
// continues for at most two seconds after the node's share has changed.
const minAppendsPerSecond = 0.5

// appendLimit returns the rate limit for a share of the budget.
func appendLimit(share float64) rate.Limit {
	if share > minAppendsPerSecond {
		return rate.Limit(share)
	}
	return minAppendsPerSecond
}

// waitForBudget waits until this node's share of the log's budget allows
// another append.
func (a *appender) waitForBudget(ctx context.Context) {
	limiter := a.r.limiter
	if limit := appendLimit(a.r.cfg.AppendsPerSecond()); limit != limiter.Limit() {
		limiter.SetLimit(limit)
	}
	_ = limiter.Wait(ctx) // fails only if ctx ends, which the caller checks
}

// appendBatch appends one batch and retries it until its outcome is known or
// every proposer has abandoned it.
func (a *appender) appendBatch(ctx context.Context) {
	b := a.r.takeBatch(a.r.batchCapacity())
	if b == nil {
		return
	}
	for {
		offset, err := a.send(ctx, b.data)
		if err == nil {
			a.backoff.reset()
			a.r.markAcked(b, offset)
			return
		}
		if !a.handleFailure(ctx, b, err) {
			return
		}
		a.waitForBudget(ctx)
		if ctx.Err() != nil {
			return
		}
		a.r.counters.appendRepeated.Add(1)
	}
}

// send makes one append call.
func (a *appender) send(ctx context.Context, data []byte) (platform.Offset, error) {
	r := a.r
	ctx, cancel := context.WithTimeout(ctx, r.cfg.AppendTimeout)
	defer cancel()
	r.counters.appends.Add(1)
	r.counters.appendBytes.Add(uint64(len(data)))
	return r.cfg.Log.Append(ctx, r.cfg.Stream, data)
}

// handleFailure handles a failed append of b and reports whether the same batch
// must be sent again.
func (a *appender) handleFailure(ctx context.Context, b *inFlightBatch, err error) bool {
	r := a.r
	switch {
	case errors.Is(err, platform.ErrTooLarge):
		r.counters.appendTooLarge.Add(1)
		a.handleTooLarge(b)
		return false
	case errors.Is(err, platform.ErrUnavailable) && !b.uncertain:
		r.countFailure(err)
		r.requeueBatch(b)
		a.pause(ctx, err)
		return false
	case !errors.Is(err, platform.ErrUnavailable):
		b.uncertain = true
		b.answerLostAt = r.cfg.Now()
		r.markSent(b)
	}
	r.countFailure(err)
	a.pause(ctx, err)
	return a.awaitOutcome(ctx, b)
}

// countFailure counts an append that failed for a reason other than its size.
func (r *Replica) countFailure(err error) {
	if errors.Is(err, platform.ErrUnavailable) {
		r.counters.appendUnavailable.Add(1)
		return
	}
	r.counters.appendUncertain.Add(1)
}

// handleTooLarge handles a batch that the log refused as too large. It reduces
// the size of later batches and queues the proposals again. A batch of a single
// entry fails, and a batch that may already be in the log ends with ErrUnsettled.
func (a *appender) handleTooLarge(b *inFlightBatch) {
	if b.uncertain {
		a.r.finish(b, a.r.repeatError(b, ErrUnsettled))
		return
	}
	if len(b.proposals) == 1 {
		a.r.finish(b, []error{ErrEntryTooLarge})
		return
	}
	a.r.reduceRecordLimit(len(b.data))
	a.r.requeueBatch(b)
}

// pause waits after a failure.
func (a *appender) pause(ctx context.Context, err error) {
	wait := a.backoff.pause()
	a.r.log.WithFields(logrus.Fields{"event": "append_failed", "error": err, "pause": wait}).Warn("append failed")
	pause.For(ctx, wait)
}

// awaitOutcome waits until reads have shown the outcome of b. It returns true
// if b must be sent again with the same sequence: a read that was sent after
// the answer was lost has reached the end of the stream without finding b. If
// the first copy still appears later, readers apply whichever copy comes first
// and drop the other as a duplicate.
func (a *appender) awaitOutcome(ctx context.Context, b *inFlightBatch) bool {
	r := a.r
	for {
		r.mu.Lock()
		progress := r.progress
		finished, isAbandoned := b.finished, b.isAbandoned()
		r.mu.Unlock()
		switch {
		case finished || ctx.Err() != nil:
			return false
		case isAbandoned || r.Applied() > b.appliedAtStart+resendRetention:
			r.counters.batchesAbandoned.Add(1)
			r.finish(b, r.repeatError(b, ErrUnsettled))
			return false
		case r.Ready() && r.ConfirmedAt().After(b.answerLostAt):
			return true
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return false
		}
	}
}
