// Package admission decides whether a leader accepts a job that is handed in. It holds
// neither clock nor sockets: what waits and the time come in, a verdict goes out.
//
// A job is refused if what comes before it takes longer than it can usefully wait. What
// has been accepted is protected as well: while more than LongestWait of it waits for a
// resource, new jobs get half of that resource. They aren't all refused, since what waits
// may be work that finds no room (gangs wider than the executors that are left) or that
// earns nothing any more, while there is room for jobs that would begin at once.
package admission

import "time"

// LongestWait is how long all executors, or all machines that make calls for advice,
// may need for what waits before new jobs are admitted at half the rate. What has been
// accepted has to be started within some 10 s when nothing new comes.
const LongestWait = 8 * time.Second

const (
	// newShare is the part of a crowded resource that new jobs get. What was accepted
	// keeps the other half, so it waits at most twice as long as if nothing new came.
	newShare = 0.5
	// burst is how much unused allowance is kept: what new jobs get of a resource in a
	// second.
	burst = time.Duration(newShare * float64(time.Second))
)

// Need is what a job needs of one resource.
type Need struct {
	Resource string
	Waiting  time.Duration // for which what waits keeps all of the resource busy
	Added    time.Duration // for which the job by itself does
}

// crowded reports whether what waits for the resource is to be protected.
func (n Need) crowded() bool { return n.Waiting > LongestWait }

// Request is a job that is handed in.
type Request struct {
	Wait   time.Duration // for its first start, behind what comes before it
	Useful time.Duration // the longest wait with which it is still of use
	Needs  []Need
}

// Reason says why a job is refused.
type Reason string

// Reasons of refusals.
const (
	TooLate Reason = "it would end too late to be of use"
	Crowded Reason = "too much waits"
)

// Verdict is the decision on a request; no reason: it is accepted.
type Verdict struct {
	Reason     Reason
	Resource   string        // that is crowded
	RetryAfter time.Duration // after which this will have changed
}

// Gate decides on the jobs that are handed in to one leader. Its user guards it.
type Gate struct {
	allowances map[string]*allowance
}

// Decide returns whether a job is accepted, and counts what it takes of crowded
// resources.
func (g *Gate) Decide(r Request, now time.Time) Verdict {
	if excess := r.Wait - r.Useful; excess > 0 {
		return Verdict{Reason: TooLate, RetryAfter: excess}
	}
	for _, n := range r.Needs {
		if !n.crowded() {
			continue
		}
		if wait := g.allowance(n.Resource, now).wait(n.Added); wait > 0 {
			return Verdict{Reason: Crowded, Resource: n.Resource, RetryAfter: min(wait, n.drained())}
		}
	}
	for _, n := range r.Needs { // of none before all are there
		if n.crowded() {
			g.allowance(n.Resource, now).left -= n.Added
		}
	}
	return Verdict{}
}

// drained returns after what time the resource will not be crowded any more, when new
// jobs take all that they may.
func (n Need) drained() time.Duration {
	return time.Duration(float64(n.Waiting-LongestWait) / (1 - newShare))
}

// allowance is what new jobs may take of a crowded resource.
type allowance struct {
	left time.Duration // negative after a job larger than burst
	at   time.Time     // up to which it was given
}

// allowance returns what new jobs may take of a resource now.
func (g *Gate) allowance(resource string, now time.Time) *allowance {
	a := g.allowances[resource]
	if a == nil {
		a = &allowance{left: burst, at: now}
		if g.allowances == nil {
			g.allowances = make(map[string]*allowance)
		}
		g.allowances[resource] = a
	}
	given := time.Duration(newShare * float64(now.Sub(a.at)))
	a.left = min(burst, a.left+given)
	a.at = now
	return a
}

// wait returns how long a job has to wait for its part; zero: not at all. One that
// needs more than burst waits for all of that, or it would never be accepted.
func (a *allowance) wait(added time.Duration) time.Duration {
	missing := min(added, burst) - a.left
	return time.Duration(float64(missing) / newShare)
}
