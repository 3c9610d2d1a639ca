package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Timing holds the reader's intervals and timeouts.
type Timing struct {
	ReadWait             time.Duration // how long a read waits for a record
	ReadInterval         time.Duration // minimum time between two reads
	LeaderReadInterval   time.Duration // between two reads on the leader
	DeliveryReadInterval time.Duration // between two reads while the leader delivers
	DeliveryValidity     time.Duration // how long a complete delivery counts as recent
	MinReadTimeout       time.Duration // minimum timeout of a read, in addition to its wait
	MaxReadTimeout       time.Duration // up to which that timeout doubles after reads that timed out
	MaxPageTimeout       time.Duration // the same for a page of the newest records
	RetryDelay           time.Duration // after a failed read
}

// DefaultTiming returns the default timing. The leader writes nearly all records itself
// and delivers them to the other machines, which occasionally read the store for records
// that others wrote while the leader could not be reached. Without a leader a machine
// reads every 100 ms, because tight latency objectives leave little time in addition to
// the work itself. The maximum timeouts allow a read of 512 KB, or a page of 1 MB, on a
// shared link of 10 Mbit/s. A longer MaxReadTimeout would be lost on each call that an
// unavailable store leaves unanswered.
func DefaultTiming() Timing {
	return Timing{
		ReadWait:             time.Second,
		ReadInterval:         100 * time.Millisecond,
		LeaderReadInterval:   500 * time.Millisecond,
		DeliveryReadInterval: 5 * time.Second,
		DeliveryValidity:     500 * time.Millisecond,
		MinReadTimeout:       time.Second,
		MaxReadTimeout:       2 * time.Second,
		MaxPageTimeout:       4 * time.Second,
		RetryDelay:           100 * time.Millisecond,
	}
}

// Reader keeps a replica up to date from the store and from the leader's deliveries.
type Reader struct {
	Replica   *Replica
	Log       platform.PartitionLog
	Partition platform.Partition
	Timing    Timing
	Leads     func() bool // reports whether this machine is the leader
	// FetchStates gets the states of all jobs from another machine. It returns whether they were
	// received, and whether another attempt should be made soon. Nil: the store is read at once.
	FetchStates func(ctx context.Context) (fetched, pending bool)
	// StoreReadDelay is how long after its start this machine waits for another one that could
	// provide the states of jobs, before it reads the store.
	StoreReadDelay time.Duration

	restoreMu            sync.Mutex                // held during a restore
	restores             atomic.Uint64             // number of successful restores
	lastCompleteDelivery atomic.Pointer[time.Time] // when the leader last delivered everything
	deliveryGaps         deliveryGaps              // between the leader's deliveries
	readTimeoutNanos     atomic.Int64              // of a read, in addition to its wait; 0: Timing.MinReadTimeout
	syncReads            sharedReads
}

// Deliver handles a delivery from the leader: the summaries of all jobs that were
// changed by the records of a span, and the partition's end as known to the leader. It
// returns the offset up to which the states of jobs are known.
func (f *Reader) Deliver(span Span, jobs []work.Summary, end platform.Offset) platform.Offset {
	now := time.Now()
	f.deliveryGaps.observe(now)
	position := f.Replica.ApplySummaries(span, jobs, now)
	if position >= end {
		f.Replica.MarkCurrent(now)
		f.lastCompleteDelivery.Store(&now)
	}
	return position
}

// DeliverContent handles a delivery from the leader of the newest record of each key
// written in a span.
func (f *Reader) DeliverContent(span Span, records []platform.Record) {
	f.Replica.ApplyContent(span, records, time.Now())
}

// ContentPosition returns the offset up to which the content of records is kept, and
// whether the content is complete up to there.
func (f *Reader) ContentPosition() (platform.Offset, bool) { return f.Replica.ContentPosition() }

// KeepContent makes the replica keep the content of records from now on.
func (f *Reader) KeepContent() { f.Replica.KeepContent() }

// DropContent drops the content of records, which only machines that may have to plan
// need.
func (f *Reader) DropContent() { f.Replica.DropContent() }

// Position returns the offset up to which the states of jobs are known.
func (f *Reader) Position() platform.Offset { return f.Replica.Position() }

// ReceivesDeliveries reports whether the leader has recently made a complete delivery.
func (f *Reader) ReceivesDeliveries(now time.Time) bool {
	last := f.lastCompleteDelivery.Load()
	return last != nil && now.Sub(*last) < f.Timing.DeliveryValidity
}

// DeliveryOverdue reports whether the time since the last delivery exceeds
// DeliveryTimeout.
func (f *Reader) DeliveryOverdue(now time.Time) bool {
	return f.deliveryGaps.sinceLast(now) > f.DeliveryTimeout()
}

// DeliveryTimeout returns the time since the last delivery after which the next one is
// overdue. It depends on the recent gaps between deliveries.
func (f *Reader) DeliveryTimeout() time.Duration {
	return f.deliveryGaps.timeout(f.Timing.DeliveryValidity)
}

// Run reads the store until ctx ends.
func (f *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.step(ctx); err != nil {
			f.Replica.logger.WithError(err).Debug("reading the jobs failed")
			pause.For(ctx, f.Timing.RetryDelay)
			continue
		}
		f.waitForNextRead(ctx, started)
	}
	return nil
}

// readIntervalPoll is how often a waiting reader checks whether its read interval has
// become shorter.
const readIntervalPoll = 100 * time.Millisecond

// waitForNextRead waits until the read interval has elapsed since the start of the last
// read. The interval changes when deliveries from the leader start or stop.
func (f *Reader) waitForNextRead(ctx context.Context, started time.Time) {
	for ctx.Err() == nil {
		now := time.Now()
		remaining := f.readInterval(now) - now.Sub(started)
		if remaining <= 0 {
			return
		}
		pause.For(ctx, min(remaining, readIntervalPoll))
	}
}

// readInterval returns the time between the starts of two reads.
func (f *Reader) readInterval(now time.Time) time.Duration {
	switch {
	case f.Leads():
		return f.Timing.LeaderReadInterval
	case f.ReceivesDeliveries(now):
		return f.Timing.DeliveryReadInterval
	default:
		return f.Timing.ReadInterval
	}
}

// readWait returns how long a read waits for a record.
func (f *Reader) readWait(now time.Time) time.Duration {
	if f.Leads() || f.ReceivesDeliveries(now) {
		return 0
	}
	return f.Timing.ReadWait
}

// step reads new records, or the newest record of every key where new ones are not
// enough.
func (f *Reader) step(ctx context.Context) error {
	if !f.Replica.Synced() && f.FetchStates != nil {
		return f.startUp(ctx)
	}
	if !f.Replica.Synced() || f.Replica.NeedsContent() {
		return f.Restore(ctx)
	}
	err := f.read(ctx, f.readWait(time.Now()))
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.Replica.logger.WithField("first", trimmed.First).Info("records are gone; reading the newest of each key")
		return f.Restore(ctx)
	}
	return err
}

// Sync returns when the replica holds everything that the store held when Sync was
// called. Calls that arrive during a read share the next one. If the replica was never
// complete, Sync waits until Run has completed it.
func (f *Reader) Sync(ctx context.Context) error {
	select {
	case <-f.Replica.syncedChannel():
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "replica: the jobs are still being read")
	}
	return f.syncReads.join(ctx, f.catchUp)
}

const (
	// catchUpTimeout bounds a read of missed records that several calls share.
	// Clients wait for 3 s, but a longer read still serves those that retry.
	catchUpTimeout = 10 * time.Second
	// catchUpAttempts is the number of attempts if the store drops its history
	// during the read.
	catchUpAttempts = 3
)

// catchUp reads the records that the replica has missed. If the store has dropped them,
// it restores the replica without a timeout; otherwise the restore would begin again
// with each call.
func (f *Reader) catchUp() error {
	var err error
	for range catchUpAttempts {
		var trimmed *platform.TrimmedError
		if err = f.readMissed(); !errors.As(err, &trimmed) {
			return err
		}
		if err = f.Restore(context.Background()); err != nil {
			return err
		}
	}
	return err
}

// readMissed reads missed records within catchUpTimeout.
func (f *Reader) readMissed() error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	return f.read(ctx, 0)
}

// read applies the records from the replica's position up to the partition's end as
// named by the first answer. On a slow link a reader may never reach an end that keeps
// moving.
func (f *Reader) read(ctx context.Context, wait time.Duration) error {
	var end platform.Offset
	var answered time.Time // time of the first answer, which named end
	for {
		batch, err := f.readOnce(ctx, wait)
		if err != nil {
			return err
		}
		if answered.IsZero() {
			end, answered = batch.End, time.Now()
		}
		f.Replica.apply(batch.Records, batch.Next, time.Now())
		if batch.Next >= end || len(batch.Records) == 0 {
			f.Replica.MarkCurrent(answered)
			return nil
		}
		wait = 0
	}
}

// readOnce makes one read and adapts the timeout of the next one.
func (f *Reader) readOnce(ctx context.Context, wait time.Duration) (platform.RecordBatch, error) {
	timeout := max(f.Timing.MinReadTimeout, time.Duration(f.readTimeoutNanos.Load()))
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	sent := time.Now()
	batch, err := f.Log.Read(ctx, f.Partition, f.Replica.readFrom(), wait)
	switch {
	case err == nil && time.Since(sent) < timeout/2: // a timeout close to the duration would make the next slow read fail
		f.readTimeoutNanos.Store(int64(timeout / 2))
	case err != nil && ctx.Err() != nil:
		f.readTimeoutNanos.Store(int64(min(2*timeout, f.Timing.MaxReadTimeout)))
	}
	return batch, err
}

// Restore reads the newest record of every key, unless another call has done so while
// this one waited for it. Records written during the restore are read afterwards.
func (f *Reader) Restore(ctx context.Context) error {
	before := f.restores.Load()
	f.restoreMu.Lock()
	defer f.restoreMu.Unlock()
	if f.restores.Load() != before {
		return nil
	}
	began, read, size := time.Now(), 0, 0
	contentBefore := f.Replica.beginRestore()
	next, err := platform.ReadNewest(ctx, f.Log, f.Partition, platform.PageTimeout{Initial: f.Timing.MinReadTimeout, Max: f.Timing.MaxPageTimeout}, func(records []platform.Record) {
		f.Replica.apply(records, 0, time.Now())
		read += len(records)
		for i := range records {
			size += records[i].Size()
		}
	}, func(err error) {
		f.Replica.logger.WithError(err).Debug("reading a page of the newest records failed; retrying")
	})
	logger := f.Replica.logger.WithFields(logrus.Fields{
		"records": read, "kilobytes": size / 1024, "took_ms": time.Since(began).Milliseconds(),
	})
	if err != nil {
		logger.WithError(err).Warn("reading the newest record of each job failed")
		return err
	}
	logger.Info("newest record of each job read")
	f.Replica.completeRestore(next)
	f.Replica.completeContent(next, contentBefore)
	f.Replica.MarkCurrent(began)
	f.restores.Add(1)
	return nil
}

// beginRestore starts a new restore round and returns the content state at its
// beginning.
func (r *Replica) beginRestore() contentState {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restoreRound++
	return r.content
}

// completeContent marks the content as complete up to an offset after a restore, if
// content was kept throughout the restore. The argument before is the content state at
// its beginning.
func (r *Replica) completeContent(end platform.Offset, before contentState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !before.enabled || !r.content.enabled || before.drops != r.content.drops {
		return
	}
	r.content.contentEnd = max(r.content.contentEnd, end)
	r.content.complete = true
}

// completeRestore records that all records before end have been applied. Jobs that were
// written before end and of which the restore found no record are deleted from the
// store. Their deletion can't be read any more, so they are dropped here; otherwise a
// new leader would plan them again.
func (r *Replica) completeRestore(end platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.shards {
		r.shards[i].dropDeleted(r.restoreRound, end)
	}
	r.next = max(r.next, end)
	if !r.Synced() {
		close(r.synced)
	}
}
