package refusal

import (
	"cmp"
	"slices"
	"time"
)

// Rules by which a leader declares a queue and workspace as refused.
const (
	// minRefusing is how long all jobs must have been refused. Admission refuses single jobs while others
	// of the same queue are accepted: new jobs get half of an overloaded resource.
	minRefusing = 300 * time.Millisecond
	// minRefused is how many jobs must have been refused in this time.
	minRefused = 3
	// maxSilence is how long after the last refusal the declaration holds. It is renewed by the jobs that
	// the machines pass on.
	maxSilence = time.Second
	// boundsPeriod is the time between two renewals of the bounds, which cover between one and two periods.
	boundsPeriod = time.Second
	// passInterval is the time between two submissions of a queue and workspace that all machines together
	// pass to the leader, which notices by them that there is capacity again.
	passInterval = 200 * time.Millisecond
	// Spread of the return of refused callers: as long as the wait for capacity, within these limits.
	minSpread = 2 * time.Second
	maxSpread = 5 * time.Second
	// maxEntries bounds the list that is sent with each delivery; an entry takes about 50 bytes.
	maxEntries = 32
)

// Recorder records for one leader which queues and workspaces are refused.
type Recorder struct {
	streaks map[Key]*streak
}

// streak describes the refusals of a queue and workspace since the last accepted job.
type streak struct {
	since, last       time.Time // first and last refusal
	refused           int
	capacityAt        time.Time // when capacity is expected, by the last refusal
	current, previous Bounds    // of the jobs refused in this period and in the one before
	periodStart       time.Time
	unsettled         int // accepted jobs of which it is not known whether they are stored
}

func (r *Recorder) streak(k Key) *streak {
	s := r.streaks[k]
	if s == nil {
		s = &streak{}
		if r.streaks == nil {
			r.streaks = make(map[Key]*streak)
		}
		r.streaks[k] = s
	}
	return s
}

// Refused records that a job was refused and may be accepted after retryAfter. Refusals that would not
// hold for other jobs of the queue and workspace must not be recorded.
func (r *Recorder) Refused(k Key, size Size, retryAfter time.Duration, now time.Time) {
	s := r.streak(k)
	if s.refused == 0 || now.Sub(s.last) > maxSilence {
		*s = streak{since: now, periodStart: now, unsettled: s.unsettled}
	}
	if now.Sub(s.periodStart) > boundsPeriod {
		s.previous, s.current = s.current, Bounds{}
		s.periodStart = now
	}
	s.refused++
	s.last = now
	s.capacityAt = now.Add(retryAfter)
	s.current.add(size)
}

// Accepted records that a job was accepted. Until Settled is called for it nothing of its queue and
// workspace is declared as refused: other machines may not know the job yet, and a repeated submission of
// it must not be refused.
func (r *Recorder) Accepted(k Key) {
	s := r.streak(k)
	*s = streak{unsettled: s.unsettled + 1}
}

// Settled records that an accepted job is stored, so that deliveries tell the machines of it, or that it
// certainly won't be.
func (r *Recorder) Settled(k Key) {
	if s := r.streaks[k]; s != nil && s.unsettled > 0 {
		s.unsettled--
	}
}

// bounds returns the bounds of the jobs refused lately.
func (s *streak) bounds() Bounds {
	b := s.current
	if s.previous.any {
		b.add(s.previous.Smallest)
	}
	return b
}

// declared reports whether the queue and workspace is declared as refused.
func (s *streak) declared(now time.Time) bool {
	return s.unsettled == 0 && s.refused >= minRefused && now.Sub(s.last) <= maxSilence && now.Sub(s.since) >= minRefusing
}

// Entries returns what is refused at the moment. machines is the number of machines that get the list.
func (r *Recorder) Entries(machines int, now time.Time) []Entry {
	var out []Entry
	for k, s := range r.streaks {
		if s.unsettled == 0 && now.Sub(s.last) > maxSilence {
			delete(r.streaks, k)
			continue
		}
		if !s.declared(now) {
			continue
		}
		b, wait := s.bounds(), max(0, s.capacityAt.Sub(now))
		out = append(out, Entry{
			Queue: k.Queue, Workspace: k.Workspace,
			CapacityMs: wait.Milliseconds(), SpreadMs: min(max(wait, minSpread), maxSpread).Milliseconds(),
			IntervalMs: (time.Duration(max(1, machines)) * passInterval).Milliseconds(),
			Processing: b.Smallest.Processing, Memory: b.Smallest.Memory, ObjectiveMs: (b.Smallest.Objective + time.Millisecond - 1).Milliseconds(), // rounded up, so that equal jobs are within the bounds
		})
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(len(out), maxEntries)]
}
