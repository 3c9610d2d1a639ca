package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// stuckAfter is how long the store may give no answer before what is handed
// in is refused at once, rather than kept waiting without hope.
const stuckAfter = 500 * time.Millisecond

// submission is what a machine has handed in and waits for.
type submission struct {
	records []platform.Record
	results []assist.StoreResult      // of the records that are refused; the others share the append's
	jobs    []work.ID                 // that the cell has taken from it
	done    chan []assist.StoreResult // takes one value
}

// accepted returns the records that are to be stored.
func (s *submission) accepted() []platform.Record {
	var out []platform.Record
	for i, r := range s.records {
		if s.results[i].Outcome != assist.TooBusy {
			out = append(out, r)
		}
	}
	return out
}

// finish tells what became of the submission.
func (s *submission) finish(outcome assist.StoreOutcome) {
	for i := range s.results {
		if s.results[i].Outcome != assist.TooBusy {
			s.results[i].Outcome = outcome
		}
	}
	s.done <- s.results
}

// Store stores records that clients handed in, together with the leader's
// own. It implements assist.Storer.
func (r *Runner) Store(ctx context.Context, records []platform.Record) []assist.StoreResult {
	n := len(records)
	s := &submission{records: records, results: make([]assist.StoreResult, n), done: make(chan []assist.StoreResult, 1)}
	r.mu.Lock()
	refuse := r.ended || r.cell == nil || (!r.stuck.IsZero() && time.Since(r.stuck) > stuckAfter)
	if !refuse {
		r.inbox = append(r.inbox, s)
	}
	r.mu.Unlock()
	if refuse {
		return assist.Same(assist.NotStored, n)
	}
	r.Wake()
	look := time.NewTicker(stuckLook)
	defer look.Stop()
	for {
		select {
		case results := <-s.done:
			return results
		case <-ctx.Done():
			return assist.Same(assist.StoreUnknown, n)
		case <-look.C:
			if outcome, hopeless := r.hopeless(s); hopeless {
				return assist.Same(outcome, n)
			}
		}
	}
}

// stuckLook is how often a submission that waits looks whether the store has
// stopped answering.
const stuckLook = 100 * time.Millisecond

// hopeless reports whether the store has given no answer for so long that
// waiting on helps nobody, and what became of the submission: nothing, or
// unknown if its append is under way.
func (r *Runner) hopeless(s *submission) (assist.StoreOutcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stuck.IsZero() || time.Since(r.stuck) < stuckAfter {
		return assist.StoreUnknown, false
	}
	for i, waiting := range r.inbox {
		if waiting == s {
			r.inbox = append(r.inbox[:i:i], r.inbox[i+1:]...)
			return assist.NotStored, true
		}
	}
	return assist.StoreUnknown, true
}

// takeInbox returns what was handed in and gives its jobs to the cell, so
// that they are planned at once: their first starts and their submissions
// become durable together. r.mu is held.
func (r *Runner) takeInbox(now time.Time) []*submission {
	handedIn := r.inbox
	r.inbox = nil
	if len(handedIn) == 0 {
		return nil
	}
	backlog := r.cell.Backlog(now)
	for _, s := range handedIn {
		for i := range s.records {
			r.takeRecord(s, i, backlog, now)
		}
	}
	return slices.DeleteFunc(handedIn, (*submission).refused)
}

// refused answers a submission of which nothing is to be stored.
func (s *submission) refused() bool {
	if len(s.accepted()) > 0 {
		return false
	}
	s.finish(assist.TooBusy)
	return true
}

// takeRecord gives the job of a record to the cell, unless it could not be of
// use in time. Other records are only to be stored. r.mu is held.
func (r *Runner) takeRecord(s *submission, i int, backlog plan.Backlog, now time.Time) {
	kind, id, err := work.ParseKey(s.records[i].Key)
	if err != nil || kind != work.KindJob {
		return
	}
	if e, known := r.cfg.Replica.Get(id); (known && e.Job != nil) || r.cell.Knows(id) {
		return // handed in again
	}
	job, err := work.DecodeJob(s.records[i].Value)
	if err != nil {
		r.cfg.Events.WithError(err).WithField("job", id).Error("unreadable job was handed in")
		return
	}
	if excess, late := r.tooLate(job, backlog, now); late {
		s.results[i] = assist.StoreResult{Outcome: assist.TooBusy, RetryAfter: excess}
		return
	}
	if r.cell.AddJob(job, nil, now.UnixMilli(), now) {
		s.jobs = append(s.jobs, id)
	}
}

// tooLate reports whether a job would be of no use because of what waits
// before it, or whether too much waits in all, and after what time that will
// have changed.
func (r *Runner) tooLate(j *work.Job, backlog plan.Backlog, now time.Time) (time.Duration, bool) {
	q := r.cfg.Table().Named(j.Queue)
	ask := r.cell.AskCost(q)
	before := backlog.Before(j, q, now)
	wait := before.Room() + r.cfg.Helpers.Wait(ask, before.Advice(), now)
	all := max(backlog.Room(), r.cfg.Helpers.Wait(ask, backlog.Advice(), now))
	excess := max(wait-plan.UsefulWait(j, q), all-plan.LongestWait)
	if excess <= 0 {
		return 0, false
	}
	r.cfg.Events.WithFields(logrus.Fields{
		"job": j.ID, "queue": j.Queue, "wait_ms": wait.Milliseconds(), "backlog_ms": all.Milliseconds(),
	}).Info("job refused: it would end too late to be of use, or too much waits")
	return excess, true
}

// storeParts makes a batch's appends and returns their offsets. It fails with
// platform.ErrUnavailable when the store refused what was handed in, and
// certainly stored nothing of the batch.
func (r *Runner) storeParts(ctx context.Context, b *batch) ([]platform.Offset, error) {
	offsets := make([]platform.Offset, len(b.parts))
	for i, part := range b.parts {
		giveUp := len(b.parts) == 1 && len(b.handedIn) > 0
		first, err := r.appendPart(ctx, b.numbers[i], part, giveUp)
		if err != nil {
			return nil, err
		}
		offsets[i] = first
	}
	return offsets, nil
}

// join puts what was handed in before the first part of the progress.
func join(handedIn []*submission, parts [][]platform.Record) [][]platform.Record {
	var first []platform.Record
	for _, s := range handedIn {
		first = append(first, s.accepted()...)
	}
	if len(first) == 0 {
		return parts
	}
	if len(parts) == 0 {
		return [][]platform.Record{first}
	}
	parts[0] = append(first, parts[0]...)
	return parts
}

// appendPart makes one append and notes while none makes headway.
func (r *Runner) appendPart(ctx context.Context, number uint64, part []platform.Record, giveUp bool) (platform.Offset, error) {
	r.noteAppend(1)
	first, err := r.writer.appendAs(ctx, number, part, giveUp)
	r.noteAppend(-1)
	return first, err
}

// noteAppend counts the appends under way; whenever that changes, those that
// are left have until now to get stuck.
func (r *Runner) noteAppend(change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appends += change
	switch {
	case r.appends == 0:
		r.stuck = time.Time{}
	case change < 0 || r.stuck.IsZero():
		r.stuck = time.Now()
	}
}

// storeWithout takes back the jobs that the store has refused and stores the
// progress of the others.
func (r *Runner) storeWithout(ctx context.Context, b *batch) ([]platform.Offset, error) {
	refused := make(map[work.ID]bool)
	r.mu.Lock()
	for _, s := range b.handedIn {
		for _, id := range s.jobs {
			refused[id] = true
			r.cell.Withdraw(id)
		}
	}
	r.mu.Unlock()
	answer(b.handedIn, assist.NotStored)
	b.handedIn = nil
	var kept []plan.Record
	for _, rec := range b.records {
		if !refused[rec.Job] {
			kept = append(kept, rec)
		}
	}
	parts, err := progress(kept)
	if err != nil {
		return nil, err
	}
	b.parts, b.numbers = parts, nil
	r.mu.Lock()
	for range parts {
		b.numbers = append(b.numbers, r.writer.take())
	}
	r.mu.Unlock()
	return r.storeParts(ctx, b)
}

func answer(handedIn []*submission, outcome assist.StoreOutcome) {
	for _, s := range handedIn {
		s.finish(outcome)
	}
}
