package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// cleanUp limits how much a process reads when it starts: of jobs that ended it keeps only the
// outcome, and of jobs that ended long ago nothing.
func (r *Runner) cleanUp(ctx context.Context) error {
	now := time.Now()
	ended := r.cfg.Replica.EndedJobs(now, submissionRetention, maxCleanupJobs)
	expired := r.cfg.Replica.ExpiredJobs(now, maxCleanupJobs)
	if len(ended)+len(expired) == 0 {
		return nil
	}
	records, err := outcomeRecords(ended)
	if err != nil {
		return err
	}
	records = append(records, deletionRecords(expired)...)
	first, err := r.appendPart(ctx, records, true)
	switch {
	case errors.Is(err, platform.ErrFenced), ctx.Err() != nil:
		return err
	case err != nil:
		// Planning does not depend on the cleanup; the next one finds the same jobs again.
		r.cfg.Logger.WithError(err).WithField("records", len(records)).Warn("records of ended jobs not cleared up")
		return nil
	}
	r.cfg.Replica.ApplyRecords(first, records, time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cell.ForgetJobs(expired)
	return nil
}

// outcomeRecords returns the records that replace those of ended jobs. The outcome of a job
// precedes the deletions, so that its state is known at every moment.
func outcomeRecords(ended []replica.EndedJob) ([]platform.Record, error) {
	var records []platform.Record
	for _, e := range ended {
		value, err := work.EncodeOutcome(&e.Outcome)
		if err != nil {
			return nil, errors.Wrapf(err, "dispatch: outcome of job %s", e.ID)
		}
		records = append(records,
			platform.Record{Key: work.Key(work.KindOutcome, e.ID), Value: value},
			platform.Record{Key: work.Key(work.KindJob, e.ID)},
			platform.Record{Key: work.Key(work.KindProgress, e.ID)},
		)
		if e.Cancelled {
			records = append(records, platform.Record{Key: work.Key(work.KindCancellation, e.ID)})
		}
	}
	return records, nil
}

// deletionRecords returns the records that delete all keys of jobs.
func deletionRecords(ids []work.ID) []platform.Record {
	var records []platform.Record
	for _, id := range ids {
		for _, kind := range []work.Kind{work.KindJob, work.KindProgress, work.KindCancellation, work.KindOutcome} {
			records = append(records, platform.Record{Key: work.Key(kind, id)})
		}
	}
	return records
}
