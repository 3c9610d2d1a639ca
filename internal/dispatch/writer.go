package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// producerName is the name under which leaders write a cell's progress; its
// epochs fence former ones.
const producerName = "leader"

// Bounds of one append's repeats. An append takes about 5 ms; its answer may
// be lost, which only a timeout shows. While the store is slow, answers take
// up to 60 times as long, so the timeout follows what the last ones took.
const (
	appendTimeout    = 120 * time.Millisecond // least
	appendTimeoutMax = 600 * time.Millisecond // but for appendPatience: an outage may end at any moment
	appendPatience   = 4                      // times the usual time of an append
	appendRetry      = 20 * time.Millisecond
)

// writer appends the leader's records, several appends at a time. Each has a
// number, and one that may have been done is repeated under its number until
// it is answered; the store takes them in the order of their numbers, so
// nothing is written twice or out of order.
type writer struct {
	log       platform.PartitionLog
	partition platform.Partition
	epoch     api.Epoch
	events    *logrus.Entry

	mu       sync.Mutex    // guards the fields below
	next     uint64        // number of the next append
	inFlight int           // numbers that were taken and are not settled
	answered bool          // an append of this epoch has been answered
	usual    time.Duration // moving mean of what appends take
	slow     bool          // it was logged that appends take long
}

// take returns the number of the next append.
func (w *writer) take() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := w.next
	w.next++
	w.inFlight++
	return number
}

// settle notes that an append with a number has been answered.
func (w *writer) settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	w.answered = true
}

// giveBack takes back a number that was certainly not used, unless a later one
// has been taken, which the store would wait for.
func (w *writer) giveBack(number uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != number+1 {
		return false
	}
	w.next = number
	w.inFlight--
	return true
}

// renumber takes over the store's numbering before the first append of this
// epoch was answered, if nothing else is under way.
func (w *writer) renumber(number, expected uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered || w.inFlight != 1 || w.next != number+1 {
		return false
	}
	w.next = expected + 1
	return true
}

// patience returns for how long the next try is waited for.
func (w *writer) patience() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(appendTimeout, appendPatience*w.usual)
}

// fence makes the store refuse the appends of former leaders.
func (w *writer) fence(ctx context.Context) error {
	_, err := w.appendAs(ctx, 0, nil, false)
	return err
}

// maxAppendBytes bounds one append; the store takes 2 MiB.
const maxAppendBytes = 1 << 20

// progress returns the records of progress, in parts that fit one append.
func progress(records []plan.Record) ([][]platform.Record, error) {
	var parts [][]platform.Record
	var part []platform.Record
	size := 0
	for _, r := range records {
		value, err := work.EncodeProgress(r.Progress)
		if err != nil {
			return nil, errors.Wrapf(err, "dispatch: progress of job %s", r.Job)
		}
		if size+len(value) > maxAppendBytes {
			parts = append(parts, part)
			part, size = nil, 0
		}
		part = append(part, platform.Record{Key: work.Key(work.KindProgress, r.Job), Value: value})
		size += len(value)
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}
	return parts, nil
}

// deletions returns the records that delete all that is stored of jobs.
func deletions(ids []work.ID) []platform.Record {
	var out []platform.Record
	for _, id := range ids {
		for _, kind := range []work.Kind{work.KindJob, work.KindProgress, work.KindCancel} {
			out = append(out, platform.Record{Key: work.Key(kind, id)})
		}
	}
	return out
}

// append makes one append under the next number.
func (w *writer) append(ctx context.Context, records []platform.Record, giveUp bool) (platform.Offset, error) {
	return w.appendAs(ctx, w.take(), records, giveUp)
}

// appendAs repeats one append until it is done and returns the offset of its
// first record. It fails when a higher epoch has written or ctx has ended;
// with giveUp also with platform.ErrUnavailable when the store refuses an
// append that certainly was not done before, if no later one is under way. An
// append without records has no number.
func (w *writer) appendAs(ctx context.Context, number uint64, records []platform.Record, giveUp bool) (platform.Offset, error) {
	timeout := w.patience()
	longest := max(timeout, appendTimeoutMax)
	for {
		first, err := w.try(ctx, number, records, timeout)
		var sequence *platform.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				w.settle()
			}
			return first, nil
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrTooLarge):
			return 0, err
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case errors.As(err, &sequence) && w.renumber(number, sequence.Expected):
			w.events.WithFields(logrus.Fields{"sent": number, "expected": sequence.Expected}).Info("store numbers the leader's appends differently")
			number = sequence.Expected
			continue
		case errors.As(err, &sequence):
			// an earlier append is still on its way
		case giveUp && errors.Is(err, platform.ErrUnavailable) && w.giveBack(number):
			return 0, err
		case errors.Is(err, platform.ErrUncertain):
			giveUp = false // it may have been done: only a repeat tells
			timeout = min(2*timeout, longest)
		}
		w.events.WithError(err).Debug("records not stored yet")
		pause.For(ctx, appendRetry)
	}
}

// usualShare is the weight of a new measurement in the moving mean.
const usualShare = 0.2

func (w *writer) try(ctx context.Context, number uint64, records []platform.Record, timeout time.Duration) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	first, err := w.log.Append(ctx, platform.Append{
		Partition: w.partition,
		Records:   records,
		Producer:  &platform.Producer{Name: producerName, Epoch: uint64(w.epoch), Sequence: number},
	})
	if err == nil {
		w.noteSpeed(time.Since(sent))
	}
	return first, err
}

// slowAppend is the usual time of an append above which the store is logged
// as slow; it is about 5 ms in calm times.
const slowAppend = 60 * time.Millisecond

// noteSpeed learns what appends take, and logs when the store becomes slow and
// when it no longer is.
func (w *writer) noteSpeed(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usual += time.Duration(usualShare * float64(took-w.usual))
	slow := w.usual > slowAppend || (w.slow && w.usual > slowAppend/2)
	if slow == w.slow {
		return
	}
	w.slow = slow
	w.events.WithFields(logrus.Fields{"append_ms": w.usual.Milliseconds(), "slow": slow}).Info("usual time of appends to the store has changed")
}
