// Package baseline implements two simple schedulers with which package scheduler is
// compared in the same run: first fit and random fit.
//
// They use the same State, return the same Plan, check the same bounds and process
// jobs in order of arrival, but ignore classes of work and priorities and have neither
// holds nor preemption. A gang is placed task by task, as a whole or not at all.
package baseline

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// Policy determines which VM is chosen.
type Policy int

// Policies.
const (
	FirstFit Policy = iota // the first VM that fits, in order of IDs
	Random                 // the first VM that fits, starting at a random one
)

// String returns the name of the policy in reports.
func (p Policy) String() string {
	if p == Random {
		return "random"
	}
	return "first_fit"
}

// Scheduler plans with one of the policies. It is not safe for concurrent use.
type Scheduler struct {
	policy Policy
	rand   *rand.Rand
}

// New returns a scheduler with the given policy.
func New(policy Policy, rnd *rand.Rand) *Scheduler {
	return &Scheduler{policy: policy, rand: rnd}
}

// Cycle plans up to maxStarts starts at time now and reserves them in st. It
// reads the whole fleet and the whole queue.
func (s *Scheduler) Cycle(st *scheduler.State, now time.Time, maxStarts int) scheduler.Plan {
	c := &cycle{Scheduler: s, state: st, now: now, vms: st.VMs()}
	for _, j := range st.QueuedJobs() {
		if len(c.plan.Starts) >= maxStarts {
			break
		}
		c.place(j, maxStarts)
	}
	return c.plan
}

type cycle struct {
	*Scheduler
	state *scheduler.State
	now   time.Time
	vms   []api.VMID
	plan  scheduler.Plan
}

// place starts tasks of j until one fits no VM.
func (c *cycle) place(j scheduler.Job, maxStarts int) {
	gang := j.Spec.Class == api.ClassGang
	first := len(c.plan.Starts)
	for _, index := range j.Pending {
		if !gang && len(c.plan.Starts) >= maxStarts {
			return
		}
		if c.placeTask(api.TaskID{Job: j.Spec.ID, Index: index}, gang) {
			continue
		}
		if gang {
			c.undo(first)
		}
		c.plan.Waiting = append(c.plan.Waiting, scheduler.WaitingJob{Job: j.Spec.ID, Reason: api.ReasonNoCapacity})
		return
	}
}

func (c *cycle) placeTask(task api.TaskID, gang bool) bool {
	offset := 0
	if c.policy == Random && len(c.vms) > 0 {
		offset = c.rand.IntN(len(c.vms))
	}
	for i := range c.vms {
		vm := c.vms[(i+offset)%len(c.vms)]
		start, err := c.state.Reserve(task, vm, c.now)
		if err != nil {
			continue
		}
		start.Gang = gang
		c.plan.Starts = append(c.plan.Starts, start)
		return true
	}
	return false
}

// undo releases the starts from index first on.
func (c *cycle) undo(first int) {
	starts := c.plan.Starts[first:]
	for i := len(starts) - 1; i >= 0; i-- {
		c.state.Release(starts[i].Task)
	}
	c.plan.Starts = c.plan.Starts[:first]
}
