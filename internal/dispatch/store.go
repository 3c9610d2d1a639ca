package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// stuckAfter is how long the store may give no answer before what is handed
// in is refused at once, rather than kept waiting without hope. A slow store
// is given slowPatience times what its appends take.
const (
	stuckAfter   = 500 * time.Millisecond
	slowPatience = 3
)

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
	taken, waits := r.enqueue(s)
	switch {
	case !taken:
		return assist.UniformResults(assist.NotStored, n)
	case !waits:
		return s.results
	}
	r.Wake()
	signal(r.answered) // advice may be asked for what was taken
	look := time.NewTicker(stuckLook)
	defer look.Stop()
	for {
		select {
		case results := <-s.done:
			return results
		case <-ctx.Done():
			return assist.UniformResults(assist.StoreUnknown, n)
		case <-look.C:
			if outcome, hopeless := r.hopeless(s); hopeless {
				return assist.UniformResults(outcome, n)
			}
		}
	}
}

// enqueue has a submission stored with the next cycle and gives its jobs to the
// cell at once, so that advice is asked for them while an append is under way. It
// returns whether anything is taken at the moment, and whether something of the
// submission is: what was refused needs no append.
func (r *Runner) enqueue(s *submission) (taken, waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.ended || r.cell == nil || r.takesNothing(now) {
		return false, false
	}
	backlog := r.cell.Backlog(now)
	for i := range s.records {
		r.takeRecord(s, i, backlog, now)
	}
	waits = len(s.accepted()) > 0
	if waits {
		r.inbox = append(r.inbox, s)
	}
	return true, waits
}

// refusedPause is for how long submissions are refused without a try after the
// store has refused one: calls that it refuses are paid for too.
const refusedPause = 100 * time.Millisecond

// takesNothing reports whether the store has given no answer for so long, or
// has refused so lately, that a submission need not be tried; r.mu is held.
func (r *Runner) takesNothing(now time.Time) bool {
	if now.Sub(r.refused) < refusedPause {
		return true
	}
	return !r.stuck.IsZero() && now.Sub(r.stuck) > r.patience
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
	if r.stuck.IsZero() || time.Since(r.stuck) < r.patience {
		return assist.StoreUnknown, false
	}
	for i, waiting := range r.inbox {
		if waiting == s {
			r.inbox = append(r.inbox[:i:i], r.inbox[i+1:]...)
			r.withdraw(s)
			return assist.NotStored, true
		}
	}
	return assist.StoreUnknown, true
}

// takeInbox returns what was handed in. Its jobs are in the cell already, so their
// first starts and their submissions become durable together. r.mu is held.
func (r *Runner) takeInbox() []*submission {
	handedIn := r.inbox
	r.inbox = nil
	return handedIn
}

// withdraw takes the jobs of a submission back that was not stored; r.mu is held.
func (r *Runner) withdraw(s *submission) {
	for _, id := range s.jobs {
		r.cell.Withdraw(id)
	}
}

// fullRetry is after what time a client that was refused for a full link should
// come back: the load is that of about the last second.
const fullRetry = time.Second

// takeRecord gives the job of a record to the cell, unless it could not be of
// use in time. Other records are only to be stored. r.mu is held.
func (r *Runner) takeRecord(s *submission, i int, backlog plan.Backlog, now time.Time) {
	kind, id, err := work.ParseKey(s.records[i].Key)
	if err != nil || kind != work.KindJob {
		return
	}
	if e, _ := r.cfg.Replica.Get(id); e.Submitted() || e.Cancelled || r.cell.Knows(id) {
		return // handed in again, or cancelled already
	}
	job, err := work.DecodeJob(s.records[i].Value)
	if err != nil {
		r.cfg.Logger.WithError(err).WithField("job", id).Error("unreadable job was handed in")
		return
	}
	if r.cfg.LinkFull != nil && r.cfg.LinkFull() {
		s.results[i] = assist.StoreResult{Outcome: assist.TooBusy, RetryAfter: fullRetry}
		r.cfg.Logger.WithField("job", job.ID).Info("job refused: this machine's link is full")
		return
	}
	if verdict := r.admit(job, backlog, now); verdict.Reason != "" {
		s.results[i] = assist.StoreResult{Outcome: assist.TooBusy, RetryAfter: verdict.RetryAfter}
		return
	}
	if r.cell.AddJob(job, nil, now.UnixMilli(), now) {
		s.jobs = append(s.jobs, id)
	}
}

// admit decides whether a job is accepted, given what waits in the cell; r.mu is held.
func (r *Runner) admit(j *work.Job, backlog plan.Backlog, now time.Time) admission.Decision {
	q := r.cfg.Configuration().QueueNamed(j.Queue)
	ask := r.cell.FirstAdviceCall(q)
	before := backlog.AheadOf(j, q, now)
	beforeAdvice := r.cfg.Peers.EstimateWait(ask, before.AdviceCalls(), now)
	request := admission.Request{
		ExpectedWait:  before.ProcessingTime() + beforeAdvice,
		MaxUsefulWait: plan.MaxUsefulWait(j, q),
		Demands: []admission.Demand{{
			Resource: "room",
			Backlog:  backlog.ProcessingTime(),
			Added:    backlog.JobProcessingTime(j),
		}, {
			Resource: assist.ClassName(ask),
			Backlog:  r.cfg.Peers.EstimateWait(ask, backlog.AdviceCalls(), now),
			Added:    r.cfg.Peers.EstimateWait(ask, slices.Repeat([]queue.CallTime{ask}, len(j.Steps)), now),
		}},
	}
	verdict := r.gate.Decide(request, now)
	if verdict.Reason != "" {
		r.logRefusal(j, request, verdict, beforeAdvice, backlog.Processors())
	}
	return verdict
}

func (r *Runner) logRefusal(j *work.Job, request admission.Request, verdict admission.Decision, beforeAdvice time.Duration, processors int) {
	fields := logrus.Fields{
		"job": j.ID, "queue": j.Queue, "wait_ms": request.ExpectedWait.Milliseconds(), "wait_advice_ms": beforeAdvice.Milliseconds(),
		"useful_ms": request.MaxUsefulWait.Milliseconds(), "processors": processors, "retry_ms": verdict.RetryAfter.Milliseconds(),
	}
	for i, name := range []string{"room", "advice"} {
		fields["backlog_"+name+"_ms"] = request.Demands[i].Backlog.Milliseconds()
		fields["adds_"+name+"_ms"] = request.Demands[i].Added.Milliseconds()
	}
	if verdict.Resource != "" {
		fields["short_of"] = verdict.Resource
	}
	r.cfg.Logger.WithFields(fields).Info("job refused: " + string(verdict.Reason))
}

// store makes what was handed in and the jobs' progress durable and answers
// those who handed in. When the store refuses, their jobs are taken back: it
// is certain that nothing was stored.
func (r *Runner) store(ctx context.Context, handedIn []*submission, records []plan.ProgressRecord) error {
	parts, err := progress(records)
	if err != nil {
		answer(handedIn, assist.NotStored) // or those who handed in wait for their whole time
		return err
	}
	parts = join(handedIn, parts)
	if len(parts) == 0 {
		answer(handedIn, assist.Stored) // all were refused
		return nil
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
		r.cfg.Replica.ApplyRecords(first, part, time.Now())
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

// appendPart makes one append and notes while it makes no headway.
func (r *Runner) appendPart(ctx context.Context, part []platform.Record, giveUp bool) (platform.Offset, error) {
	r.setStuck(time.Now())
	first, err := r.writer.append(ctx, part, giveUp)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.stuck = time.Time{}
		r.patience = max(stuckAfter, slowPatience*r.writer.usual)
	case errors.Is(err, platform.ErrUnavailable):
		r.stuck = time.Time{} // nothing is under way; the next submission tries again
		r.refused = time.Now()
	case errors.Is(err, platform.ErrTooLarge):
		r.stuck = time.Time{} // the store has answered
	}
	return first, err
}

// setStuck notes since when an append is under way; it keeps the first time.
func (r *Runner) setStuck(since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stuck.IsZero() {
		r.stuck = since
	}
}

// storeWithout takes back the jobs that the store has refused and stores the
// progress of the others.
func (r *Runner) storeWithout(ctx context.Context, handedIn []*submission, records []plan.ProgressRecord) error {
	refused := make(map[work.ID]bool)
	r.mu.Lock()
	for _, s := range handedIn {
		for _, id := range s.jobs {
			refused[id] = true
		}
		r.withdraw(s)
	}
	r.mu.Unlock()
	answer(handedIn, assist.NotStored)
	var kept []plan.ProgressRecord
	for _, rec := range records {
		if !refused[rec.Job] {
			kept = append(kept, rec)
		}
	}
	return r.store(ctx, nil, kept)
}

func answer(handedIn []*submission, outcome assist.StoreOutcome) {
	for _, s := range handedIn {
		s.finish(outcome)
	}
}
