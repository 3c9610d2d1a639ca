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

// BacklogThreshold is how long all executors, or all machines that make calls for advice,
// may need for what waits before new jobs are admitted at half the rate. What has been
// accepted has to be started within some 10 s when nothing new comes.
const BacklogThreshold = 8 * time.Second

const (
	// newShare is the part of a crowded resource that new jobs get. What was accepted
	// keeps the other half, so it waits at most twice as long as if nothing new came.
	newShare = 0.5
	// burst is how much unused allowance is kept: what new jobs get of a resource in a
	// second.
	burst = time.Duration(newShare * float64(time.Second))
)

// Demand is what a job needs of one resource.
type Demand struct {
	Resource string
	Backlog  time.Duration // for which what waits keeps all of the resource busy
	Added    time.Duration // for which the job by itself does
}

// crowded reports whether what waits for the resource is to be protected.
func (n Demand) crowded() bool { return n.Backlog > BacklogThreshold }

// Request is a job that is handed in.
type Request struct {
	ExpectedWait  time.Duration // for its first start, behind what comes before it
	MaxUsefulWait time.Duration // the longest wait with which it is still of use
	Demands       []Demand
}

// Reason says why a job is refused.
type Reason string

// Reasons of refusals.
const (
	TooLate    Reason = "it would end too late to be of use"
	Overloaded Reason = "too much waits"
)

// Decision is the decision on a request; no reason: it is accepted.
type Decision struct {
	Reason     Reason
	Resource   string        // that is crowded
	RetryAfter time.Duration // after which this will have changed
}

// Controller decides on the jobs that are handed in to one leader. Its user guards it.
type Controller struct {
	allowances map[string]*allowance
}

// Decide returns whether a job is accepted, and counts what it takes of crowded
// resources.
func (g *Controller) Decide(r Request, now time.Time) Decision {
	if excess := r.ExpectedWait - r.MaxUsefulWait; excess > 0 {
		return Decision{Reason: TooLate, RetryAfter: excess}
	}
	for _, n := range r.Demands {
		if !n.crowded() {
			continue
		}
		if wait := g.allowance(n.Resource, now).wait(n.Added); wait > 0 {
			return Decision{Reason: Overloaded, Resource: n.Resource, RetryAfter: min(wait, n.drained())}
		}
	}
	for _, n := range r.Demands { // of none before all are there
		if n.crowded() {
			g.allowance(n.Resource, now).left -= n.Added
		}
	}
	return Decision{}
}

// drained returns after what time the resource will not be crowded any more, when new
// jobs take all that they may.
func (n Demand) drained() time.Duration {
	return time.Duration(float64(n.Backlog-BacklogThreshold) / (1 - newShare))
}

// allowance is what new jobs may take of a crowded resource.
type allowance struct {
	left time.Duration // negative after a job larger than burst
	at   time.Time     // up to which it was given
}

// allowance returns what new jobs may take of a resource now.
func (g *Controller) allowance(resource string, now time.Time) *allowance {
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
