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

// Timing holds the intervals of the reader.
type Timing struct {
	ReadWait             time.Duration // how long a read waits for a record
	ReadInterval         time.Duration // least time between two reads
	LeaderReadInterval   time.Duration // between two reads on the machine that leads
	DeliveryReadInterval time.Duration // between two reads while the leader delivers
	DeliveryValidity     time.Duration // how long a delivery counts
	MinReadTimeout       time.Duration // longest read beside its wait
	MaxReadTimeout       time.Duration // up to which that doubles after reads that took longer
	MaxPageTimeout       time.Duration // the same for a page of the newest records
	RetryDelay           time.Duration // pause after a read that failed
}

// DefaultTiming returns the timing in use. The leader writes nearly all
// records itself and delivers them to the other machines, which read the store
// now and then for what others wrote while the leader could not be reached.
// Without a leader a machine reads every 100 ms, since tight latency objectives leave
// little time beside the work. A call may take as long as a read of 512 KB, or a page of
// 1 MB, takes on a link of 10 Mbit/s that others share; a longer CallMost would be lost
// on each call that a silent store leaves unanswered.
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

// Reader keeps a replica up to date.
type Reader struct {
	Replica   *Replica
	Log       platform.PartitionLog
	Partition platform.Partition
	Timing    Timing
	Leads     func() bool // this machine plans from the replica

	restoring sync.Mutex                // one restore at a time
	restores  atomic.Uint64             // that have ended well
	fed       atomic.Pointer[time.Time] // when the leader last delivered everything
	pulse     pulse                     // of the leader's deliveries
	timeout   atomic.Int64              // of a read beside its wait, in nanoseconds; 0: Timing.MinReadTimeout
	syncs     syncs
}

// Deliver takes in from the leader the summaries of all jobs that records of a
// span have changed, and where the leader knows the partition to end. It returns
// up to where the states of jobs are known.
func (f *Reader) Deliver(span Span, jobs []work.Summary, end platform.Offset) platform.Offset {
	now := time.Now()
	f.pulse.beat(now)
	position := f.Replica.ApplySummaries(span, jobs, now)
	if position >= end {
		f.Replica.MarkCurrent(now)
		f.fed.Store(&now)
	}
	return position
}

// DeliverContent takes in from the leader the newest record of each key that was
// written in a span.
func (f *Reader) DeliverContent(span Span, records []platform.Record) {
	f.Replica.ApplyContent(span, records, time.Now())
}

// ContentPosition returns up to where the content of records is kept, and whether it is
// kept at all.
func (f *Reader) ContentPosition() (platform.Offset, bool) { return f.Replica.ContentPosition() }

// KeepContent has the content of records kept from now on.
func (f *Reader) KeepContent() { f.Replica.KeepContent() }

// DropContent drops the content of records: this machine needn't be able to plan.
func (f *Reader) DropContent() { f.Replica.DropContent() }

// Position returns up to where the states of jobs are known.
func (f *Reader) Position() platform.Offset { return f.Replica.Position() }

// ReceivesDeliveries reports whether the leader has lately delivered everything.
func (f *Reader) ReceivesDeliveries(now time.Time) bool {
	last := f.fed.Load()
	return last != nil && now.Sub(*last) < f.Timing.DeliveryValidity
}

// DeliveryOverdue reports whether no delivery has come for longer than the leader's gaps of
// late explain.
func (f *Reader) DeliveryOverdue(now time.Time) bool {
	return f.pulse.silence(now) > f.DeliveryTimeout()
}

// DeliveryTimeout returns the silence of the leader after which a delivery is overdue.
func (f *Reader) DeliveryTimeout() time.Duration { return f.pulse.patience(f.Timing.DeliveryValidity) }

// Run reads until ctx ends.
func (f *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.step(ctx); err != nil {
			f.Replica.events.WithError(err).Debug("jobs not read")
			pause.For(ctx, f.Timing.RetryDelay)
			continue
		}
		f.rest(ctx, started)
	}
	return nil
}

// restStep is how often a resting reader looks whether it has to read sooner.
const restStep = 100 * time.Millisecond

// rest pauses between two reads, for as long as somebody else keeps the
// replica up to date.
func (f *Reader) rest(ctx context.Context, started time.Time) {
	for ctx.Err() == nil {
		now := time.Now()
		left := f.pace(now) - now.Sub(started)
		if left <= 0 {
			return
		}
		pause.For(ctx, min(left, restStep))
	}
}

// pace returns the time between the starts of two reads.
func (f *Reader) pace(now time.Time) time.Duration {
	switch {
	case f.Leads():
		return f.Timing.LeaderReadInterval
	case f.ReceivesDeliveries(now):
		return f.Timing.DeliveryReadInterval
	default:
		return f.Timing.ReadInterval
	}
}

// wait returns how long a read waits for a record.
func (f *Reader) wait(now time.Time) time.Duration {
	if f.Leads() || f.ReceivesDeliveries(now) {
		return 0
	}
	return f.Timing.ReadWait
}

func (f *Reader) step(ctx context.Context) error {
	if !f.Replica.Synced() || f.Replica.NeedsContent() {
		return f.Restore(ctx)
	}
	err := f.read(ctx, f.wait(time.Now()))
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		f.Replica.events.WithField("first", trimmed.First).Info("records are gone; reading the newest of each key")
		return f.Restore(ctx)
	}
	return err
}

// Sync returns when the replica holds everything that the store held when it
// was called. Calls that come while one is reading share the next reading. A
// replica that was never complete is waited for: Run makes it so.
func (f *Reader) Sync(ctx context.Context) error {
	select {
	case <-f.Replica.complete():
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "replica: the jobs are still being read")
	}
	return f.syncs.join(ctx, f.catchUp)
}

const (
	// catchUpMost bounds the reading of what was missed for several calls.
	// Their clients wait for 3 s; what takes longer still serves those who
	// ask again.
	catchUpMost = 10 * time.Second
	// catchUpTries is how often that is begun when the store drops its
	// history meanwhile.
	catchUpTries = 3
)

// catchUp reads what the store holds. Where its history is gone, all that it
// keeps is read; that goes on to its end, or it would begin anew for each call.
func (f *Reader) catchUp() error {
	var err error
	for range catchUpTries {
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

func (f *Reader) readMissed() error {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpMost)
	defer cancel()
	return f.read(ctx, 0)
}

// read applies what follows the replica's position, until the end that the
// first answer names: on a slow link an end that moves on may never be reached.
func (f *Reader) read(ctx context.Context, wait time.Duration) error {
	var until platform.Offset
	var told time.Time // when the store named it
	for {
		batch, err := f.readOnce(ctx, wait)
		if err != nil {
			return err
		}
		if told.IsZero() {
			until, told = batch.End, time.Now()
		}
		f.Replica.apply(batch.Records, batch.Next, time.Now())
		if batch.Next >= until || len(batch.Records) == 0 {
			f.Replica.MarkCurrent(told)
			return nil
		}
		wait = 0
	}
}

func (f *Reader) readOnce(ctx context.Context, wait time.Duration) (platform.RecordBatch, error) {
	timeout := max(f.Timing.MinReadTimeout, time.Duration(f.timeout.Load()))
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	sent := time.Now()
	batch, err := f.Log.Read(ctx, f.Partition, f.Replica.readFrom(), wait)
	switch {
	case err == nil && time.Since(sent) < timeout/2: // or the next slow read would fail again
		f.timeout.Store(int64(timeout / 2))
	case err != nil && ctx.Err() != nil:
		f.timeout.Store(int64(min(2*timeout, f.Timing.MaxReadTimeout)))
	}
	return batch, err
}

// Restore reads the newest record of every key, unless another call has done so
// while this one waited for its turn. Records that are written meanwhile are
// read after that.
func (f *Reader) Restore(ctx context.Context) error {
	before := f.restores.Load()
	f.restoring.Lock()
	defer f.restoring.Unlock()
	if f.restores.Load() != before {
		return nil
	}
	began, read, size := time.Now(), 0, 0
	kept := f.Replica.restoring()
	next, err := platform.ReadNewest(ctx, f.Log, f.Partition, platform.PageTimeout{Least: f.Timing.MinReadTimeout, Most: f.Timing.MaxPageTimeout}, func(records []platform.Record) {
		f.Replica.apply(records, 0, time.Now())
		read += len(records)
		for i := range records {
			size += records[i].Size()
		}
	}, func(err error) {
		f.Replica.events.WithError(err).Debug("page of the newest records not read; it is asked for again")
	})
	told := f.Replica.events.WithFields(logrus.Fields{
		"records": read, "kilobytes": size / 1024, "took_ms": time.Since(began).Milliseconds(),
	})
	if err != nil {
		told.WithError(err).Warn("newest record of each job not read to the end")
		return err
	}
	told.Info("newest record of each job read")
	f.Replica.restored(next)
	f.Replica.gathered(next, kept)
	f.Replica.MarkCurrent(began)
	f.restores.Add(1)
	return nil
}

// restoring notes that the newest record of every key is being read. It returns
// whether their content is kept.
func (r *Replica) restoring() content {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round++
	return r.content
}

// gathered notes that the newest record of every key was read up to an offset,
// and that its content was kept if it was to be from the beginning on.
func (r *Replica) gathered(end platform.Offset, began content) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !began.kept || !r.content.kept || began.epoch != r.content.epoch {
		return
	}
	r.content.upTo = max(r.content.upTo, end)
	r.content.whole = true
}

// restored notes that all records before end have been applied. Jobs that were
// written before end and of which no record came since restoring are gone from
// the store: their deletion is among what can't be read any more, and a new leader
// would plan them again.
func (r *Replica) restored(end platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.shards {
		r.shards[i].dropGone(r.round, end)
	}
	r.next = max(r.next, end)
	if !r.Synced() {
		close(r.synced)
	}
}
