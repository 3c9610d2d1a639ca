package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Scheduler plans placements. It keeps no state of its own between cycles
// but its random source, so the same World, time and seed give the same
// plan, and a new policy is put in force by a new Scheduler on the same
// World. It is not safe for concurrent use.
type Scheduler struct {
	cfg  Config
	rand *rand.Rand
	vms  []*vmState    // scratch: VMs that passed the filter
	dcs  []*dataCentre // scratch: data centres a job may use
}

// New returns a scheduler. Zero fields of cfg take their defaults; call
// Config.Validate first on a cfg from outside.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return &Scheduler{cfg: cfg.WithDefaults(), rand: rnd}
}

// Cycle plans up to maxStarts starts at time now and reserves them in w. A
// gang counts as a whole: it may take the plan over maxStarts.
//
// Waits names a job when an attempt to place it failed in this cycle; jobs
// whose cached verdict still holds are left out, and World.Explain tells it.
func (s *Scheduler) Cycle(w *State, now time.Time, maxStarts int) Plan {
	c := &cycle{Scheduler: s, world: w, now: now}
	c.begin()
	for len(c.plan.Starts) < maxStarts && c.searches < s.cfg.MaxSearches {
		q := w.queue.next(w.fleet.total)
		if q == nil {
			break
		}
		c.place(q)
	}
	return c.plan
}

// cycle is the state of one call of Cycle.
type cycle struct {
	*Scheduler
	world    *State
	now      time.Time
	plan     Plan
	searches int
}

// begin applies what changed since the last cycle.
func (c *cycle) begin() {
	w := c.world
	w.clock = c.now
	if w.fleet.forget(c.now, c.cfg.CapacityRetention) {
		w.judgeAgain()
	}
	w.requeueCondemned()
	w.expireNominations(c.now)
	c.offerProbes()
	w.renewHolds(c.now, c.cfg.MaxHolds)
	w.wake()
	w.queue.promote(c.now, c.cfg.AgeStep)
}

// place takes the head of q through the stages. It always makes progress:
// the head starts, or q is parked, or the head leaves the queue.
func (c *cycle) place(q *shapeQueue) {
	j := q.head()
	if missing := c.world.missing(j); missing.reason != "" {
		c.condemn(j, missing)
		return
	}
	if j.isGang() {
		c.placeGang(j)
		return
	}
	c.placeTask(j)
}

// placeTask places one task of a job whose tasks start one by one.
func (c *cycle) placeTask(j *jobState) {
	if !j.team.allows(j.need()) {
		c.waitForQuota(j, j.need())
		return
	}
	if v := c.probeTarget(j); v != nil {
		c.startProbe(j, v)
		return
	}
	if j.queue.shape.answersFor(j) && !c.wantsHold(j) {
		j.queue.verdict = j.queue.shape.verdict
		c.world.parkOnCapacity(j.queue)
		return
	}
	c.searches++
	if v := j.nominated(); v != nil {
		c.start(j, v)
		return
	}
	found := c.filter(j)
	if best := c.score(j, found.vms); best != nil {
		c.start(j, best)
		return
	}
	c.notPlaced(j, found)
}

// notPlaced goes on with a task for which no VM has room: by preemption, by
// holding a VM for it, or by waiting.
func (c *cycle) notPlaced(j *jobState, found search) {
	switch c.preempt(j) {
	case preempting:
		return
	case preemptLater:
		c.wait(j, found.verdict(c.world, j))
		c.world.retryNext(j.queue)
		return
	}
	if c.starves(j) {
		c.holdFor(j, 1)
	}
	c.wait(j, found.verdict(c.world, j))
	c.remember(j, found)
	c.world.parkOnCapacity(j.queue)
}

// remember keeps what a vain search says of other tasks.
func (c *cycle) remember(j *jobState, found search) {
	s := j.queue.shape
	s.shortest = 0
	if found.held > 0 {
		s.shortest = j.runTime()
	}
	s.outright = found.noRoom(j)
	if s.outright {
		s.headroom = found.perAccelerator != nil
		c.world.frontier.add(s)
	}
}

// wait reports why j was not placed and keeps it for Explain.
func (c *cycle) wait(j *jobState, v verdict) {
	j.verdict = v
	j.queue.verdict = v
	j.queue.shape.verdict = v
	c.plan.Waiting = append(c.plan.Waiting, WaitingJob{Job: j.Spec.ID, Reason: v.reason, Detail: v.detail})
}

func (c *cycle) waitForQuota(j *jobState, need api.Resources) {
	v := quotaVerdict(j.team, need)
	j.verdict = v
	j.queue.verdict = v
	c.plan.Waiting = append(c.plan.Waiting, WaitingJob{Job: j.Spec.ID, Reason: v.reason, Detail: v.detail})
	c.world.parkOnQuota(j.queue)
}
