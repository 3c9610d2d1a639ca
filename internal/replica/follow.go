package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Timing holds the intervals of the reader.
type Timing struct {
	Wait    time.Duration // how long a read waits for a record
	Pace    time.Duration // least time between two reads
	Leading time.Duration // between two reads on the machine that leads
	Fed     time.Duration // between two reads while the leader delivers
	FedFor  time.Duration // how long a delivery counts
	Call    time.Duration // longest read beside its wait
	Retry   time.Duration // pause after a read that failed
}

// DefaultTiming returns the timing in use. The leader writes nearly all
// records itself and delivers them to the other machines, which read the store
// now and then for what others wrote while the leader could not be reached.
// Without a leader a machine reads every 100 ms: the tightest latency
// objective leaves 0.6 s beside the work.
func DefaultTiming() Timing {
	return Timing{
		Wait:    time.Second,
		Pace:    100 * time.Millisecond,
		Leading: 500 * time.Millisecond,
		Fed:     5 * time.Second,
		FedFor:  500 * time.Millisecond,
		Call:    time.Second,
		Retry:   100 * time.Millisecond,
	}
}

// Reader keeps a replica up to date.
type Reader struct {
	Replica   *Replica
	Log       platform.PartitionLog
	Partition platform.Partition
	Timing    Timing
	Leads     func() bool // this machine plans from the replica

	fed atomic.Pointer[time.Time] // when the leader last delivered everything

	mu        sync.Mutex // guards restoring and its callers
	restoring *restore   // nil: none is under way
}

// Deliver takes in records from the leader, the first of which has the given
// offset, and where the leader knows the partition to end. It returns up to
// where the replica is complete.
func (f *Reader) Deliver(first platform.Offset, records []platform.Record, end platform.Offset) platform.Offset {
	now := time.Now()
	position := f.Replica.Offer(first, records, now)
	if position >= end {
		f.Replica.Heard(now)
		f.fed.Store(&now)
	}
	return position
}

// Position returns up to where the replica is complete.
func (f *Reader) Position() platform.Offset { return f.Replica.Position() }

// IsFed reports whether the leader has lately delivered everything.
func (f *Reader) IsFed(now time.Time) bool {
	last := f.fed.Load()
	return last != nil && now.Sub(*last) < f.Timing.FedFor
}

// Run reads until ctx ends.
func (f *Reader) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := f.step(ctx); err != nil {
			f.Replica.events.WithError(err).Debug("jobs not read")
			pause.For(ctx, f.Timing.Retry)
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
		return f.Timing.Leading
	case f.IsFed(now):
		return f.Timing.Fed
	default:
		return f.Timing.Pace
	}
}

// wait returns how long a read waits for a record.
func (f *Reader) wait(now time.Time) time.Duration {
	if f.Leads() || f.IsFed(now) {
		return 0
	}
	return f.Timing.Wait
}

func (f *Reader) step(ctx context.Context) error {
	if !f.Replica.Synced() {
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

// Sync reads everything that the store held when it was called.
func (f *Reader) Sync(ctx context.Context) error {
	if !f.Replica.Synced() {
		if err := f.Restore(ctx); err != nil {
			return err
		}
	}
	err := f.read(ctx, 0) // also after a restore: it may have begun before this call
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return f.Restore(ctx)
	}
	return err
}

// read applies what follows the replica's position, until the end that the
// first answer names.
func (f *Reader) read(ctx context.Context, wait time.Duration) error {
	for {
		batch, err := f.readOnce(ctx, wait)
		if err != nil {
			return err
		}
		f.Replica.apply(batch.Records, batch.Next, time.Now())
		if batch.Next >= batch.End || len(batch.Records) == 0 {
			f.Replica.Heard(time.Now())
			return nil
		}
		wait = 0
	}
}

func (f *Reader) readOnce(ctx context.Context, wait time.Duration) (platform.RecordBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Timing.Call+wait)
	defer cancel()
	return f.Log.Read(ctx, f.Partition, f.Replica.Position(), wait)
}

// restored notes that all records before end have been applied.
func (r *Replica) restored(end platform.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = max(r.next, end)
	r.synced = true
}
