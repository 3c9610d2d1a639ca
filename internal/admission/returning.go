package admission

import "time"

// returnWindow is how long a refused job is remembered. Clients come back within the Retry-After that
// they were told, at most a few times.
const returnWindow = 15 * time.Second

// maxReturning bounds the refused jobs that are remembered; beyond it the others count as new.
const maxReturning = 20_000

// Returning remembers when clients first submitted the jobs that were refused. A client counts the time
// of its job from its first attempt, so a job that comes back has less time left than a new one. It is lost
// with the leader; a job then counts as new. It is not safe for concurrent use.
type Returning[ID comparable] struct {
	first map[ID]firstAttempt
	order []ID // by time of the first refusal
}

// firstAttempt is the first submission of a job that was refused.
type firstAttempt struct {
	submittedMs int64 // wall clock, milliseconds since 1970
	refusedAt   time.Time
}

// Refused remembers a job that is refused at now and that was submitted at a wall clock time, in
// milliseconds since 1970.
func (r *Returning[ID]) Refused(id ID, submittedMs int64, now time.Time) {
	r.forget(now)
	if _, known := r.first[id]; known || len(r.order) >= maxReturning {
		return
	}
	if r.first == nil {
		r.first = make(map[ID]firstAttempt)
	}
	r.first[id] = firstAttempt{submittedMs, now}
	r.order = append(r.order, id)
}

// FirstSubmittedMs returns the time of a job's first submission: that of the one that was refused before,
// or the given one. A clock that was set back since then doesn't make a job older than the window.
func (r *Returning[ID]) FirstSubmittedMs(id ID, submittedMs int64, now time.Time) int64 {
	r.forget(now)
	a, known := r.first[id]
	if !known {
		return submittedMs
	}
	return min(submittedMs, max(a.submittedMs, submittedMs-returnWindow.Milliseconds()))
}

// forget drops the jobs that were refused before the window.
func (r *Returning[ID]) forget(now time.Time) {
	n := 0
	for n < len(r.order) && now.Sub(r.first[r.order[n]].refusedAt) > returnWindow {
		delete(r.first, r.order[n])
		n++
	}
	if n > 0 {
		r.order = append(r.order[:0], r.order[n:]...)
	}
}
