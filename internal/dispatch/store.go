package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Limits of the time that an append may go unanswered. After that time submissions are refused
// immediately, because the store would most likely not answer them in time either.
const (
	minAppendWaitLimit = 500 * time.Millisecond
	appendWaitFactor   = 3 // a slow store gets this many times its usual duration of an append
)

// Store stores records that clients submitted, together with the leader's own. It implements
// assist.Storer.
func (r *Runner) Store(ctx context.Context, records []platform.Record) []assist.StoreResult {
	s := r.newSubmission(records...)
	accepting, queued := r.enqueue(s)
	switch {
	case !accepting:
		return s.resultsWith(assist.NotStored)
	case !queued:
		return s.results
	}
	r.Wake()
	notify(r.adviceWake) // the added jobs may need advice
	check := time.NewTicker(appendCheckInterval)
	defer check.Stop()
	for {
		select {
		case results := <-s.done:
			return results
		case <-ctx.Done():
			return s.resultsWith(assist.StoreUnknown)
		case <-check.C:
			if outcome, abandoned := r.abandonIfStalled(s); abandoned {
				return s.resultsWith(outcome)
			}
		}
	}
}

// enqueue queues a submission for the next cycle and adds its jobs to the cell immediately, so
// that advice is requested for them while an append is in flight. It returns whether
// submissions are accepted at the moment and whether any record of this one was queued: those that
// are refused or stored already need no append.
func (r *Runner) enqueue(s *submission) (accepting, queued bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.stopped || r.cell == nil || r.storeUnavailable(now) {
		return false, false
	}
	backlog := r.currentBacklogs(now)
	for i := range s.records {
		r.admitRecord(s, i, backlog, now)
	}
	queued = len(s.recordsToStore()) > 0
	if queued {
		r.pendingSubmissions = append(r.pendingSubmissions, s)
	}
	return true, queued
}

// storeRefusalBackoff is how long submissions are refused without an attempt after the store
// has refused an append: calls that the store refuses are paid for, too.
const storeRefusalBackoff = 100 * time.Millisecond

// storeUnavailable reports whether an append has gone unanswered for so long, or the store has
// refused one so recently, that a submission need not be attempted. The caller holds r.mu.
func (r *Runner) storeUnavailable(now time.Time) bool {
	if now.Sub(r.storeRefusedAt) < storeRefusalBackoff {
		return true
	}
	return !r.appendPendingSince.IsZero() && now.Sub(r.appendPendingSince) > r.appendWaitLimit
}

// appendCheckInterval is the time between two checks of a waiting submission whether the store
// has stopped answering.
const appendCheckInterval = 100 * time.Millisecond

// abandonIfStalled reports whether an append has gone unanswered for so long that a submission
// should stop waiting, and returns its outcome: NotStored if it was still pending and has been
// withdrawn, StoreUnknown if its append is in flight.
func (r *Runner) abandonIfStalled(s *submission) (assist.StoreOutcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appendPendingSince.IsZero() || time.Since(r.appendPendingSince) < r.appendWaitLimit {
		return assist.StoreUnknown, false
	}
	for i, pending := range r.pendingSubmissions {
		if pending == s {
			r.pendingSubmissions = append(r.pendingSubmissions[:i:i], r.pendingSubmissions[i+1:]...)
			r.withdraw(s)
			return assist.NotStored, true
		}
	}
	return assist.StoreUnknown, true
}

// takePendingSubmissions returns and clears the pending submissions. Their jobs are in the cell
// already, so that their first starts become durable together with their submissions. The
// caller holds r.mu.
func (r *Runner) takePendingSubmissions() []*submission {
	submitted := r.pendingSubmissions
	r.pendingSubmissions = nil
	return submitted
}

// withdraw removes the jobs of a submission that was given up from the cell and returns them. Jobs whose submission
// was stored by another machine in the meantime stay. The caller holds r.mu.
func (r *Runner) withdraw(s *submission) []work.ID {
	var withdrawn []work.ID
	for _, id := range s.addedJobs {
		e, _ := r.cfg.Replica.Get(id)
		logger := r.cfg.Logger.WithFields(logrus.Fields{"job": id, "submitted": e.Submitted(), "cancelled": e.Cancelled, "record_offset": e.Offset()})
		if !r.cell.Withdraw(id) {
			r.cfg.JobCounters.Add(keptJobs, 1)
			logger.Info("job stays: its submission was stored by another machine")
			continue
		}
		r.cfg.JobCounters.Add(withdrawnJobs, 1)
		logger.Info("job is withdrawn: its submission was not stored")
		withdrawn = append(withdrawn, id)
	}
	return withdrawn
}

// store makes submitted records and the jobs' progress durable and answers the submissions. If
// the store refuses the append, the submitted jobs are withdrawn, because it is certain that
// this append stored nothing. Jobs that another machine has stored stay.
func (r *Runner) store(ctx context.Context, submitted []*submission, progress []plan.ProgressRecord) error {
	records, failed, err := r.encoder.encode(progress)
	if err != nil {
		completeAll(submitted, assist.NotStored) // otherwise the submissions would wait until their deadlines
		return err
	}
	r.failUnrecordable(failed)
	for len(submitted) > 0 {
		n := countFitting(submitted)
		batch := submitted[:n]
		part := recordsToStore(batch)
		if n == len(submitted) {
			part, records = fillUp(part, records)
		}
		switch err := r.storePart(ctx, part, true); {
		case errors.Is(err, platform.ErrUnavailable):
			return r.storeProgressOnly(ctx, submitted, progress)
		case err != nil:
			completeAll(submitted, failedOutcome(err))
			return err
		}
		completeAll(batch, assist.Stored)
		submitted = submitted[n:]
	}
	for _, part := range splitRecords(records) {
		if err := r.storePart(ctx, part, false); err != nil {
			return err
		}
	}
	return nil
}

// storePart makes one append, unless there are no records, and applies the records to the replica.
func (r *Runner) storePart(ctx context.Context, part []platform.Record, giveUp bool) error {
	if len(part) == 0 {
		return nil // all submitted records were refused
	}
	first, err := r.appendPart(ctx, part, giveUp)
	if err != nil {
		return err
	}
	r.cfg.Replica.ApplyRecords(first, part, time.Now())
	return nil
}

// failUnrecordable fails jobs whose progress the store can't take.
func (r *Runner) failUnrecordable(failed []unrecordable) {
	if len(failed) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range failed {
		r.cell.FailUnrecordable(f.id, f.size, r.encoder.maxBytes)
	}
}

// failedOutcome returns the outcome of submissions whose append ended with err.
func failedOutcome(err error) assist.StoreOutcome {
	if errors.Is(err, errNotApplied) {
		return assist.NotStored // the next leader may store them
	}
	return assist.StoreUnknown
}

// countFitting returns how many submissions, at least one, fit one append.
func countFitting(submitted []*submission) int {
	size := 0
	for i, s := range submitted {
		for _, record := range s.recordsToStore() {
			size += len(record.Value) + keyBytes
		}
		if i > 0 && size > maxAppendBytes {
			return i
		}
	}
	return len(submitted)
}

// recordsToStore returns the records of submissions that are to be stored.
func recordsToStore(submitted []*submission) []platform.Record {
	var out []platform.Record
	for _, s := range submitted {
		out = append(out, s.recordsToStore()...)
	}
	return out
}

// fillUp adds the first part of further records to an append with records, if all of them fit, and returns what
// is left.
func fillUp(part, further []platform.Record) (filled, rest []platform.Record) {
	if len(part) == 0 || len(further) == 0 {
		return part, further
	}
	all := slices.Concat(part, further)
	n := len(splitRecords(all)[0])
	if n <= len(part) {
		return part, further
	}
	return all[:n], all[n:]
}

// appendPart makes one append and keeps track of how long it goes unanswered.
func (r *Runner) appendPart(ctx context.Context, part []platform.Record, giveUp bool) (platform.Offset, error) {
	r.markAppendPending(time.Now())
	first, err := r.writer.append(ctx, part, giveUp)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.appendPendingSince = time.Time{}
		r.appendWaitLimit = max(minAppendWaitLimit, appendWaitFactor*r.writer.mean)
	case errors.Is(err, platform.ErrUnavailable):
		r.appendPendingSince = time.Time{} // nothing is in flight; the next submission tries again
		r.storeRefusedAt = time.Now()
	case errors.Is(err, platform.ErrTooLarge):
		r.appendPendingSince = time.Time{} // the store has answered
	}
	return first, err
}

// markAppendPending records when an append started that has not been answered. It keeps an
// earlier start.
func (r *Runner) markAppendPending(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.appendPendingSince.IsZero() {
		r.appendPendingSince = since
	}
}

// storeProgressOnly withdraws the jobs whose submissions the store has refused and stores the
// progress of those that stay. Their planned starts are sent afterwards.
func (r *Runner) storeProgressOnly(ctx context.Context, submitted []*submission, records []plan.ProgressRecord) error {
	withdrawn := make(map[work.ID]bool)
	r.mu.Lock()
	for _, s := range submitted {
		for _, id := range r.withdraw(s) {
			withdrawn[id] = true
		}
	}
	r.mu.Unlock()
	completeAll(submitted, assist.NotStored)
	var kept []plan.ProgressRecord
	for _, rec := range records {
		if !withdrawn[rec.Job] {
			kept = append(kept, rec)
		}
	}
	return r.store(ctx, nil, kept)
}

func completeAll(submitted []*submission, outcome assist.StoreOutcome) {
	for _, s := range submitted {
		s.complete(outcome)
	}
}
