package dispatch

import (
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/internal/admission"
	"github.com/skylarklock/skylarklock/internal/refusal"
	"github.com/skylarklock/skylarklock/internal/work"
)

// refusals records what admission refuses, for the entry machines. It is safe for concurrent use.
type refusals struct {
	startedAt time.Time

	mu       sync.Mutex
	recorder refusal.Recorder
}

// news returns the list for a number of machines, or nil if nothing is refused.
func (f *refusals) news(machines int, now time.Time) *refusal.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := f.recorder.Entries(machines, now)
	if len(entries) == 0 {
		return nil
	}
	return &refusal.News{AtMs: now.Sub(f.startedAt).Milliseconds(), Refused: entries}
}

// recordRefusal records that admission refused a job. A refusal because of the job's own width says
// nothing about other jobs.
func (r *Runner) recordRefusal(j *work.Job, d admission.Decision, now time.Time) {
	if !r.cfg.Plan.Overload || d.Reason == admission.ExceedsCap || !refusal.Concerns(j) {
		return
	}
	r.returning.Refused(j.ID, j.AcceptedMs, now)
	q := r.cfg.Configuration().QueueNamed(j.Queue)
	r.refusals.mu.Lock()
	defer r.refusals.mu.Unlock()
	r.refusals.recorder.Refused(refusal.KeyOf(j), refusal.SizeOf(j, q), d.RetryAfter, now)
}

// recordAccepted records that a job of a submission was accepted and awaits its append.
func (r *Runner) recordAccepted(s *submission, j *work.Job) {
	if !r.cfg.Plan.Overload {
		return
	}
	s.refusals = &r.refusals
	s.unsettled = append(s.unsettled, refusal.KeyOf(j))
	r.refusals.mu.Lock()
	defer r.refusals.mu.Unlock()
	r.refusals.recorder.Accepted(refusal.KeyOf(j))
}

// settle records that the jobs of a submission are stored, or certainly won't be. Further calls have no
// effect.
func (s *submission) settle() {
	if len(s.unsettled) == 0 {
		return
	}
	s.refusals.mu.Lock()
	defer s.refusals.mu.Unlock()
	for _, k := range s.unsettled {
		s.refusals.recorder.Settled(k)
	}
	s.unsettled = nil
}
