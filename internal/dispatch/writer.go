package dispatch

import (
	"context"
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

// Bounds of one append's repeats. An answer may be lost, which only a timeout shows.
// While the store is slow the timeout follows what the last answers took.
const (
	appendTimeout    = 120 * time.Millisecond // least
	appendTimeoutMax = 600 * time.Millisecond // but for appendPatience: an outage may end at any moment
	appendPatience   = 4                      // times the usual time of an append
	appendRetry      = 20 * time.Millisecond
)

// writer appends the leader's records one append after the other. An append
// that may have been done is repeated under its number until it is answered,
// so nothing is written twice or out of order.
type writer struct {
	log       platform.PartitionLog
	partition platform.Partition
	epoch     api.Epoch
	sequence  uint64        // of the next append
	usual     time.Duration // moving mean of what appends take
	slow      bool          // it was logged that appends take long
	events    *logrus.Entry
}

// newWriter returns the writer of a new leader. What its claim took tells what its first
// append may take, which at a slow store would else be given too little time at first.
func newWriter(cfg Config) *writer {
	w := &writer{log: cfg.Log, partition: cfg.Jobs, epoch: cfg.Self.Epoch, events: cfg.Logger}
	w.expect(cfg.LastAppendDuration)
	return w
}

// expect has the next append given at least twice what one took.
func (w *writer) expect(took time.Duration) { w.usual = max(w.usual, took*2/appendPatience) }

// fence makes the store refuse the appends of former leaders, and returns where the
// partition ended then.
func (w *writer) fence(ctx context.Context) (platform.Offset, error) {
	return w.append(ctx, nil, false)
}

// maxAppendBytes bounds one append; the store takes 2 MiB.
const maxAppendBytes = 1 << 20

// progress returns the records of progress, in parts that fit one append.
func progress(records []plan.ProgressRecord) ([][]platform.Record, error) {
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

// append repeats one append until it is done and returns the offset of its
// first record. It fails when a higher epoch has written or ctx has ended;
// with giveUp also with platform.ErrUnavailable when the store refuses an
// append that certainly was not done before.
func (w *writer) append(ctx context.Context, records []platform.Record, giveUp bool) (platform.Offset, error) {
	timeout := max(appendTimeout, appendPatience*w.usual)
	longest := max(timeout, appendTimeoutMax)
	for {
		first, err := w.try(ctx, records, timeout)
		var sequence *platform.SequenceError
		switch {
		case err == nil:
			if len(records) > 0 {
				w.sequence++
			}
			return first, nil
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrTooLarge):
			return 0, err
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case errors.As(err, &sequence) && sequence.Expected != w.sequence:
			w.events.WithFields(logrus.Fields{"sent": w.sequence, "expected": sequence.Expected}).Info("store numbers the leader's appends differently")
			w.sequence = sequence.Expected
			continue
		case giveUp && errors.Is(err, platform.ErrUnavailable):
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

func (w *writer) try(ctx context.Context, records []platform.Record, timeout time.Duration) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	first, err := w.log.Append(ctx, platform.Append{
		Partition: w.partition,
		Records:   records,
		Producer:  &platform.Producer{Name: producerName, Epoch: uint64(w.epoch), Sequence: w.sequence},
	})
	if err == nil {
		took := time.Since(sent)
		w.usual += time.Duration(usualShare * float64(took-w.usual))
		// A store that has become slow would else be given too little time for
		// the next append, which would be sent twice.
		w.expect(took)
		w.noteSpeed()
	}
	return first, err
}

// slowAppend is the usual time of an append above which the store is logged as slow.
const slowAppend = 60 * time.Millisecond

// noteSpeed logs when the store becomes slow and when it no longer is.
func (w *writer) noteSpeed() {
	slow := w.usual > slowAppend || (w.slow && w.usual > slowAppend/2)
	if slow == w.slow {
		return
	}
	w.slow = slow
	w.events.WithFields(logrus.Fields{"append_ms": w.usual.Milliseconds(), "slow": slow}).Info("usual time of appends to the store has changed")
}
