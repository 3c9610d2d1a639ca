package dispatch

import (
	"cmp"
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

// producerName is the producer name under which leaders append a cell's records. The epochs
// of this producer fence former leaders.
const producerName = "leader"

// Timing of the retries of one append. A lost answer shows only as a timeout. While the store
// is slow, the timeout follows the duration of the last appends.
const (
	minAppendTimeout    = 120 * time.Millisecond // of the first attempt
	maxAppendTimeout    = 600 * time.Millisecond // unless appendTimeoutFactor gives more; kept short, because an outage may end at any moment
	appendTimeoutFactor = 4                      // times the mean duration of an append
	appendRetryDelay    = 20 * time.Millisecond
)

// writer appends the leader's records, one append at a time. An append that may have been
// applied is repeated under its sequence number until it is answered, so that nothing is
// written twice or out of order.
type writer struct {
	log       platform.PartitionLog
	partition platform.Partition
	epoch     api.Epoch
	sequence  uint64        // of the next append
	mean      time.Duration // moving mean of the duration of appends
	slow      bool          // whether the store was last logged as slow
	logger    *logrus.Entry
}

// newWriter returns the writer of a new leader. It starts with the duration of the append that
// claimed leadership; at a slow store the timeout of the first append would otherwise be too short.
func newWriter(cfg Config) *writer {
	w := &writer{log: cfg.Log, partition: cfg.Jobs, epoch: cfg.Self.Epoch, logger: cfg.Logger}
	w.raiseMean(cfg.LastAppendDuration)
	return w
}

// raiseMean raises the mean so that the timeout of the next append is at least twice took.
func (w *writer) raiseMean(took time.Duration) {
	w.mean = max(w.mean, took*2/appendTimeoutFactor)
}

// fence makes the store refuse the appends of former leaders and returns the end of the
// partition at that time.
func (w *writer) fence(ctx context.Context) (platform.Offset, error) {
	return w.append(ctx, nil, false)
}

// Limits of one append. The store takes up to 2 MiB at once.
const (
	maxAppendBytes        = 1 << 20
	defaultMaxRecordBytes = 256 << 10 // of one record with its key, unless Config.MaxRecordBytes says otherwise
	keyBytes              = 32        // reserved in each record for its key
)

// progressEncoder encodes the progress of jobs within the store's limit of a record.
type progressEncoder struct {
	maxBytes int // of an encoded record without its key
	logger   *logrus.Entry
	reduced  map[work.ID]struct{} // jobs whose newest record lacks their checkpoints
}

func newProgressEncoder(cfg Config) *progressEncoder {
	return &progressEncoder{
		maxBytes: cmp.Or(cfg.MaxRecordBytes, defaultMaxRecordBytes) - keyBytes,
		logger:   cfg.Logger,
		reduced:  make(map[work.ID]struct{}),
	}
}

// unrecordable is a job whose progress has no encoding that the store takes.
type unrecordable struct {
	id   work.ID
	size int // of the record, in bytes
}

// encode returns the records of progress and the jobs that it replaced by failed ones, since their progress
// can't be recorded.
func (e *progressEncoder) encode(progress []plan.ProgressRecord) ([]platform.Record, []unrecordable, error) {
	var records []platform.Record
	var failed []unrecordable
	for _, p := range progress {
		value, size, err := e.encodeOne(p)
		if err != nil {
			return nil, nil, err
		}
		if size > e.maxBytes {
			failed = append(failed, unrecordable{id: p.Job, size: size})
			if value, err = work.EncodeProgress(&work.Progress{State: work.Failed}); err != nil {
				return nil, nil, err
			}
		}
		records = append(records, platform.Record{Key: work.Key(work.KindProgress, p.Job), Value: value})
	}
	return records, failed, nil
}

// encodeOne returns the encoded progress of a job and its size in bytes. If it is too large it is encoded without the
// checkpoints, and if that isn't enough without the lost executors.
func (e *progressEncoder) encodeOne(p plan.ProgressRecord) (value []byte, size int, err error) {
	value, err = work.EncodeProgress(p.Progress)
	if err != nil || len(value) <= e.maxBytes {
		delete(e.reduced, p.Job)
		return value, len(value), errors.Wrapf(err, "dispatch: progress of job %s", p.Job)
	}
	fullSize := len(value)
	reduced := p.Progress.WithoutCheckpoints()
	value, err = work.EncodeProgress(reduced)
	if err == nil && len(value) > e.maxBytes {
		value, err = work.EncodeProgress(reduced.WithoutLostExecutors())
	}
	if _, known := e.reduced[p.Job]; !known {
		e.reduced[p.Job] = struct{}{}
		e.logger.WithFields(logrus.Fields{"job": p.Job, "record_bytes": fullSize, "max_bytes": e.maxBytes}).Warn("checkpoints of a job are not recorded: its record would be too large for the store")
	}
	return value, len(value), errors.Wrapf(err, "dispatch: progress of job %s", p.Job)
}

// splitRecords splits records into parts that each fit one append.
func splitRecords(records []platform.Record) [][]platform.Record {
	var parts [][]platform.Record
	begin, size := 0, 0
	for i, r := range records {
		if i > begin && size+len(r.Value)+keyBytes > maxAppendBytes {
			parts = append(parts, records[begin:i])
			begin, size = i, 0
		}
		size += len(r.Value) + keyBytes
	}
	if begin < len(records) {
		parts = append(parts, records[begin:])
	}
	return parts
}

// append repeats one append until it succeeds and returns the offset of its first record. It
// fails when a higher epoch has written or when ctx ends. With giveUp it also fails with
// platform.ErrUnavailable when the store refuses the append and no earlier attempt may have
// been applied.
func (w *writer) append(ctx context.Context, records []platform.Record, giveUp bool) (platform.Offset, error) {
	timeout := max(minAppendTimeout, appendTimeoutFactor*w.mean)
	maxTimeout := max(timeout, maxAppendTimeout)
	uncertain := false
	for {
		first, err := w.tryAppend(ctx, records, timeout)
		var sequence *platform.SequenceError
		uncertain = uncertain || !errors.IsAny(err, platform.ErrUnavailable, platform.ErrFenced, platform.ErrTooLarge) && !errors.As(err, &sequence)
		switch {
		case err == nil:
			if len(records) > 0 {
				w.sequence++
			}
			return first, nil
		case errors.Is(err, platform.ErrFenced), errors.Is(err, platform.ErrTooLarge):
			return 0, markNotApplied(err, uncertain)
		case ctx.Err() != nil:
			return 0, markNotApplied(ctx.Err(), uncertain)
		case errors.As(err, &sequence) && sequence.Expected != w.sequence:
			w.logger.WithFields(logrus.Fields{"sent": w.sequence, "expected": sequence.Expected}).Info("store numbers the leader's appends differently")
			w.sequence = sequence.Expected
			continue
		case giveUp && errors.Is(err, platform.ErrUnavailable):
			return 0, err
		case errors.Is(err, platform.ErrUncertain):
			giveUp = false // it may have been applied; only a repeat shows whether it was
			timeout = min(2*timeout, maxTimeout)
		}
		w.logger.WithError(err).Debug("records not stored yet")
		pause.For(ctx, appendRetryDelay)
	}
}

// errNotApplied marks the error of an append of which no attempt can have been applied.
var errNotApplied = errors.New("dispatch: nothing was stored")

// markNotApplied marks err with errNotApplied unless an attempt may have been applied.
func markNotApplied(err error, uncertain bool) error {
	if uncertain {
		return err
	}
	return errors.Mark(err, errNotApplied)
}

// meanWeight is the weight of a new measurement in the moving mean.
const meanWeight = 0.2

func (w *writer) tryAppend(ctx context.Context, records []platform.Record, timeout time.Duration) (platform.Offset, error) {
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
		w.mean += time.Duration(meanWeight * float64(took-w.mean))
		// A store that has just become slow would otherwise get too little time for the next
		// append, which would be sent twice.
		w.raiseMean(took)
		w.logSpeedChange()
	}
	return first, err
}

// slowAppendThreshold is the mean append duration above which the store is logged as slow.
const slowAppendThreshold = 60 * time.Millisecond

// logSpeedChange logs when the store becomes slow and when it has recovered.
func (w *writer) logSpeedChange() {
	slow := w.mean > slowAppendThreshold || (w.slow && w.mean > slowAppendThreshold/2)
	if slow == w.slow {
		return
	}
	w.slow = slow
	w.logger.WithFields(logrus.Fields{"append_ms": w.mean.Milliseconds(), "slow": slow}).Info("usual time of appends to the store has changed")
}
