// Package admission decides whether a leader accepts a submitted job. It does no I/O and
// reads no clock: the caller passes in the backlog and the time.
//
// A job is refused if the work ahead of it takes longer than the job can usefully wait.
// Accepted work is protected as well: while its backlog for a resource exceeds
// BacklogThreshold, new jobs get half of that resource. They are not all refused, because
// the backlog may consist of work that fits nowhere (gangs wider than the remaining
// executors) or that is no longer of use, while there is free capacity for jobs that
// would start immediately.
package admission

import "time"

// BacklogThreshold is the time that all executors, or all machines that make advice calls,
// may need for the backlog before new jobs are admitted at half the rate. Accepted work
// must be started within about 10 s when no new jobs arrive.
const BacklogThreshold = 8 * time.Second

const (
	// newJobShare is the share of an overloaded resource that new jobs get. Accepted work
	// keeps the other half, so it waits at most twice as long as without new jobs.
	newJobShare = 0.5
	// burst bounds the unused budget that is kept: what new jobs get of a resource in
	// one second.
	burst = time.Duration(newJobShare * float64(time.Second))
)

// Demand is the load on one resource: the backlog and what a job adds to it.
type Demand struct {
	Resource string
	Backlog  time.Duration // time for which the waiting work occupies the whole resource
	Added    time.Duration // time for which the job alone occupies it
}

// overloaded reports whether the backlog of the resource must be protected.
func (d Demand) overloaded() bool { return d.Backlog > BacklogThreshold }

// Request describes a submitted job.
type Request struct {
	ExpectedWait  time.Duration // time until its first start, behind the work ahead of it
	MaxUsefulWait time.Duration // longest wait after which the job is still of use
	Demands       []Demand
}

// Reason says why a job is refused.
type Reason string

// Reasons for refusing a job.
const (
	TooLate    Reason = "it would end too late to be of use"
	Overloaded Reason = "too much waits"
	ExceedsCap Reason = "it needs more at once than its workspace's cap allows"
)

// Decision is the outcome of a request. The job is accepted if Reason is empty.
type Decision struct {
	Reason     Reason
	Resource   string        // the overloaded resource
	RetryAfter time.Duration // time after which a retry may be accepted
}

// Controller decides on the jobs submitted to one leader. It is not safe for concurrent use.
type Controller struct {
	budgets map[string]*budget
}

// Decide returns whether a job is accepted and charges an accepted job to the budgets of
// the overloaded resources.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	if excess := r.ExpectedWait - r.MaxUsefulWait; excess > 0 {
		return Decision{Reason: TooLate, RetryAfter: excess}
	}
	for _, d := range r.Demands {
		if !d.overloaded() {
			continue
		}
		if wait := c.budget(d.Resource, now).waitFor(d.Added); wait > 0 {
			return Decision{Reason: Overloaded, Resource: d.Resource, RetryAfter: min(wait, d.drainTime())}
		}
	}
	for _, d := range r.Demands { // charged only after every resource has accepted the job
		if d.overloaded() {
			c.budget(d.Resource, now).available -= d.Added
		}
	}
	return Decision{}
}

// drainTime returns the time until the resource is no longer overloaded if new jobs use
// their whole share.
func (d Demand) drainTime() time.Duration {
	return time.Duration(float64(d.Backlog-BacklogThreshold) / (1 - newJobShare))
}

// budget is the amount of an overloaded resource that new jobs may use, as a token bucket.
type budget struct {
	available time.Duration // negative after a job larger than the budget
	updatedAt time.Time     // time up to which the budget was refilled
}

// budget returns the budget of a resource, refilled up to now.
func (c *Controller) budget(resource string, now time.Time) *budget {
	b := c.budgets[resource]
	if b == nil {
		b = &budget{available: burst, updatedAt: now}
		if c.budgets == nil {
			c.budgets = make(map[string]*budget)
		}
		c.budgets[resource] = b
	}
	refill := time.Duration(newJobShare * float64(now.Sub(b.updatedAt)))
	b.available = min(burst, b.available+refill)
	b.updatedAt = now
	return b
}

// waitFor returns how long a job must wait until the budget covers it; zero or less means
// no wait. A job that needs more than burst waits only for burst, or it would never be
// accepted.
func (b *budget) waitFor(added time.Duration) time.Duration {
	missing := min(added, burst) - b.available
	return time.Duration(float64(missing) / newJobShare)
}
