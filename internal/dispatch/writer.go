package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// producerName is the name under which leaders write a cell's progress; its
// epochs fence former ones.
const producerName = "leader"

// Bounds of one append's repeats.
const (
	appendTimeout = 400 * time.Millisecond // an append takes about 5 ms; its answer may be lost
	appendRetry   = 50 * time.Millisecond
)

// writer appends the leader's records one append after the other. An append
// that may have been done is repeated under its number until it is answered,
// so nothing is written twice or out of order.
type writer struct {
	log       platform.PartitionLog
	partition platform.Partition
	epoch     api.Epoch
	sequence  uint64 // of the next append
	numbered  bool   // an append under this epoch has been answered
	events    *logrus.Entry
}

// fence makes the store refuse the appends of former leaders.
func (w *writer) fence(ctx context.Context) error { return w.append(ctx, nil) }

// maxAppendBytes bounds one append; the store takes 2 MiB.
const maxAppendBytes = 1 << 20

// write stores records of progress, in as many appends as they need.
func (w *writer) write(ctx context.Context, records []plan.Record) error {
	var batch []platform.Record
	size := 0
	for _, r := range records {
		value, err := work.EncodeProgress(r.Progress)
		if err != nil {
			return errors.Wrapf(err, "dispatch: progress of job %s", r.Job)
		}
		if size+len(value) > maxAppendBytes {
			if err := w.append(ctx, batch); err != nil {
				return err
			}
			batch, size = nil, 0
		}
		batch = append(batch, platform.Record{Key: work.Key(work.KindProgress, r.Job), Value: value})
		size += len(value)
	}
	return w.append(ctx, batch)
}

// forget deletes all records of jobs.
func (w *writer) forget(ctx context.Context, ids []work.ID) error {
	var out []platform.Record
	for _, id := range ids {
		for _, kind := range []work.Kind{work.KindJob, work.KindProgress, work.KindCancel} {
			out = append(out, platform.Record{Key: work.Key(kind, id)})
		}
	}
	return w.append(ctx, out)
}

// append repeats one append until it is done. It fails when a higher epoch
// has written or ctx has ended.
func (w *writer) append(ctx context.Context, records []platform.Record) error {
	for {
		err := w.try(ctx, records)
		var sequence *platform.SequenceError
		switch {
		case err == nil:
			w.numbered = true
			if len(records) > 0 {
				w.sequence++
			}
			return nil
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrTooLarge):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		case errors.As(err, &sequence) && sequence.Expected != w.sequence:
			w.events.WithFields(logrus.Fields{"sent": w.sequence, "expected": sequence.Expected}).Info("store numbers the leader's appends differently")
			w.sequence = sequence.Expected
		default:
			w.events.WithError(err).Debug("progress not stored yet")
			pause(ctx, appendRetry)
		}
	}
}

func (w *writer) try(ctx context.Context, records []platform.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.log.Append(ctx, platform.Append{
		Partition: w.partition,
		Records:   records,
		Producer:  &platform.Producer{Name: producerName, Epoch: uint64(w.epoch), Sequence: w.sequence},
	})
	return err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
