package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/speed"
)

// Timing of the record of the executors' speeds.
const (
	speedRecordInterval = 5 * time.Second // minimum time between two records
	speedAppendTimeout  = time.Second
	speedPageTimeout    = 700 * time.Millisecond
	speedReadTimeout    = 2 * time.Second // by then the speeds are being learned anew
)

const (
	// speedProducerName is the producer name under which leaders record speeds. It differs from
	// producerName, whose sequence numbers belong to the writer.
	speedProducerName = "speeds"
	// speedRecordKey is the key of the only record.
	speedRecordKey = "speeds"
)

// speedRecorder hands the executors' speeds from leader to leader. Nothing waits for it:
// without a record the next leader learns the speeds anew.
type speedRecorder struct {
	log       platform.PartitionLog
	partition platform.Partition
	epoch     api.Epoch
	current   func(now time.Time) []speed.Record                             // returns the speeds to record
	restore   func(records []speed.Record, age time.Duration, now time.Time) // takes over speeds recorded some time ago
	logger    *logrus.Entry
}

// runSpeedRecorder runs the recorder of this leader until ctx ends.
func (r *Runner) runSpeedRecorder(ctx context.Context) {
	if r.cfg.Speeds.Topic == "" {
		return
	}
	recorder := &speedRecorder{
		log:       r.cfg.Log,
		partition: r.cfg.Speeds,
		epoch:     r.cfg.Self.Epoch,
		current: func(now time.Time) []speed.Record {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.cell.SpeedRecords(now)
		},
		restore: func(records []speed.Record, age time.Duration, now time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.cell.RestoreSpeeds(records, age, now)
		},
		logger: r.cfg.Logger,
	}
	recorder.run(ctx)
}

// run takes over the recorded speeds and then records them at intervals if they have changed.
// It returns when ctx ends or when a later leader has recorded speeds.
func (s *speedRecorder) run(ctx context.Context) {
	if err := s.read(ctx); err != nil && ctx.Err() == nil {
		s.logger.WithError(err).Info("recorded speeds of executors could not be read; they are learned anew")
	}
	var recorded []speed.Record
	sequence := uint64(0)
	for {
		pause.For(ctx, speedRecordInterval)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		records := s.current(now)
		if len(records) == 0 || !speed.Changed(recorded, records) {
			continue
		}
		err := s.write(ctx, speed.Snapshot{WrittenMs: now.UnixMilli(), Executors: records}, sequence)
		var expected *platform.SequenceError
		switch {
		case err == nil:
			recorded = records
			sequence++
			continue
		case errors.Is(err, platform.ErrFenced):
			return
		case errors.As(err, &expected):
			sequence = expected.Expected // an append without an answer was stored after all
		}
		s.logger.WithError(err).Debug("speeds of executors not recorded")
	}
}

// write makes one attempt to store the speeds.
func (s *speedRecorder) write(ctx context.Context, snapshot speed.Snapshot, sequence uint64) error {
	value, err := snapshot.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, speedAppendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, platform.Append{
		Partition: s.partition,
		Records:   []platform.Record{{Key: speedRecordKey, Value: value}},
		Producer:  &platform.Producer{Name: speedProducerName, Epoch: uint64(s.epoch), Sequence: sequence},
	})
	return err
}

// read takes over the speeds that a former leader recorded, if there are any.
func (s *speedRecorder) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, speedReadTimeout)
	defer cancel()
	var value []byte
	_, err := platform.ReadNewest(ctx, s.log, s.partition, platform.PageTimeout{Initial: speedPageTimeout}, func(records []platform.Record) {
		for _, rec := range records {
			if rec.Key == speedRecordKey && rec.Err == nil {
				value = rec.Value
			}
		}
	}, nil)
	if err != nil || len(value) == 0 {
		return err
	}
	snapshot, err := speed.DecodeSnapshot(value)
	if err != nil {
		return err
	}
	now := time.Now()
	age := now.Sub(time.UnixMilli(snapshot.WrittenMs))
	s.restore(snapshot.Executors, age, now)
	s.logger.WithFields(logrus.Fields{"executors": len(snapshot.Executors), "age_ms": age.Milliseconds()}).Info("speeds of executors taken over")
	return nil
}
