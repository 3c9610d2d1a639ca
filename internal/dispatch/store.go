package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

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
	jobs    []work.ID                // that the cell has taken from it
	done    chan assist.StoreOutcome // takes one value
}

// Store stores records that clients handed in, together with the leader's
// own. It implements assist.Storer.
func (r *Runner) Store(ctx context.Context, records []platform.Record) assist.StoreOutcome {
	s := &submission{records: records, done: make(chan assist.StoreOutcome, 1)}
	r.mu.Lock()
	refuse := r.ended || r.cell == nil || (!r.stuck.IsZero() && time.Since(r.stuck) > stuckAfter)
	if !refuse {
		r.inbox = append(r.inbox, s)
	}
	r.mu.Unlock()
	if refuse {
		return assist.NotStored
	}
	r.Wake()
	look := time.NewTicker(stuckLook)
	defer look.Stop()
	for {
		select {
		case outcome := <-s.done:
			return outcome
		case <-ctx.Done():
			return assist.StoreUnknown
		case <-look.C:
			if outcome, hopeless := r.hopeless(s); hopeless {
				return outcome
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
	for _, s := range handedIn {
		for _, rec := range s.records {
			kind, id, err := work.ParseKey(rec.Key)
			if err != nil || kind != work.KindJob {
				continue
			}
			if e, known := r.cfg.Replica.Get(id); known && e.Job != nil {
				continue
			}
			job, err := work.DecodeJob(rec.Value)
			if err != nil {
				r.cfg.Events.WithError(err).WithField("job", id).Error("unreadable job was handed in")
				continue
			}
			if r.cell.AddJob(job, nil, now.UnixMilli(), now) {
				s.jobs = append(s.jobs, id)
			}
		}
	}
	return handedIn
}

// store makes what was handed in and the jobs' progress durable and answers
// those who handed in. When the store refuses, their jobs are taken back: it
// is certain that nothing was stored.
func (r *Runner) store(ctx context.Context, handedIn []*submission, records []plan.Record) error {
	parts, err := progress(records)
	if err != nil {
		return err
	}
	if len(handedIn) > 0 {
		parts = join(handedIn, parts)
	}
	for i, part := range parts {
		first, err := r.appendPart(ctx, part, i == 0 && len(handedIn) > 0)
		if errors.Is(err, platform.ErrUnavailable) && i == 0 && len(handedIn) > 0 {
			return r.storeWithout(ctx, handedIn, records)
		}
		if err != nil {
			answer(handedIn, assist.StoreUnknown)
			return err
		}
		r.cfg.Replica.Offer(first, part, time.Now())
		if i == 0 {
			answer(handedIn, assist.Stored)
			handedIn = nil
		}
	}
	return nil
}

// join puts what was handed in before the first part of the progress.
func join(handedIn []*submission, parts [][]platform.Record) [][]platform.Record {
	var first []platform.Record
	for _, s := range handedIn {
		first = append(first, s.records...)
	}
	if len(parts) == 0 {
		return [][]platform.Record{first}
	}
	parts[0] = append(first, parts[0]...)
	return parts
}

// appendPart makes one append and notes while it makes no headway.
func (r *Runner) appendPart(ctx context.Context, part []platform.Record, giveUp bool) (platform.Offset, error) {
	r.setStuck(time.Now())
	first, err := r.writer.append(ctx, part, giveUp)
	if err == nil {
		r.setStuck(time.Time{})
	}
	return first, err
}

func (r *Runner) setStuck(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since.IsZero() || r.stuck.IsZero() {
		r.stuck = since
	}
}

// storeWithout takes back the jobs that the store has refused and stores the
// progress of the others.
func (r *Runner) storeWithout(ctx context.Context, handedIn []*submission, records []plan.Record) error {
	refused := make(map[work.ID]bool)
	r.mu.Lock()
	for _, s := range handedIn {
		for _, id := range s.jobs {
			refused[id] = true
			r.cell.Withdraw(id)
		}
	}
	r.mu.Unlock()
	answer(handedIn, assist.NotStored)
	var kept []plan.Record
	for _, rec := range records {
		if !refused[rec.Job] {
			kept = append(kept, rec)
		}
	}
	return r.store(ctx, nil, kept)
}

func answer(handedIn []*submission, outcome assist.StoreOutcome) {
	for _, s := range handedIn {
		s.done <- outcome
	}
}
