package scheduler

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Scheduler plans placements. Its only state between cycles is its random
// source, so the same State, time and seed give the same plan, and a new
// Scheduler with another policy can continue on the same State. It is not safe
// for concurrent use.
type Scheduler struct {
	cfg  Config
	rand *rand.Rand
	vms  []*vmState    // scratch space for VMs that passed the filter
	dcs  []*dataCentre // scratch space for data centres a job may use
}

// New returns a scheduler. Zero fields of cfg take their defaults. Call
// Config.Validate first on a cfg from an external source.
func New(cfg Config, rnd *rand.Rand) *Scheduler {
	return &Scheduler{cfg: cfg.WithDefaults(), rand: rnd}
}

// Cycle plans up to maxStarts starts at time now and reserves them in st. A gang
// is placed as a whole, so the plan may exceed maxStarts.
//
// Plan.Waiting lists the jobs that could not be placed in this cycle. Jobs whose
// cached status still applies are omitted; State.Explain returns their status.
func (s *Scheduler) Cycle(st *State, now time.Time, maxStarts int) Plan {
	c := &cycle{Scheduler: s, state: st, now: now}
	c.begin()
	for len(c.plan.Starts) < maxStarts && c.searches < s.cfg.MaxSearches {
		q := st.queue.next(st.fleet.total)
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
	state    *State
	now      time.Time
	plan     Plan
	searches int
}

// begin applies changes and timeouts since the last cycle and wakes waiting work.
func (c *cycle) begin() {
	st := c.state
	st.lastCycle = c.now
	if st.fleet.expirePeaks(c.now, c.cfg.CapacityRetention) {
		st.invalidateFeasibility()
	}
	st.requeueInfeasible()
	st.expireNominations(c.now)
	c.wakeForProbes()
	st.retryHolds(c.now, c.cfg.MaxHolds)
	st.wakeQueues()
	st.queue.promoteAged(c.now, c.cfg.AgeStep)
}

// place passes the head of q through the stages. It always makes progress: the
// head starts, or q is parked, or the head leaves the queue.
func (c *cycle) place(q *shapeQueue) {
	j := q.head()
	if missing := c.state.checkFeasibility(j); missing.reason != "" {
		c.markInfeasible(j, missing)
		return
	}
	if j.isGang() {
		c.placeGang(j)
		return
	}
	c.placeTask(j)
}

// placeTask places one task of a job that is not a gang.
func (c *cycle) placeTask(j *jobState) {
	if !j.team.allows(j.need()) {
		c.waitForQuota(j, j.need())
		return
	}
	if v := c.probeTarget(j); v != nil {
		c.startProbe(j, v)
		return
	}
	if j.queue.shape.statusAppliesTo(j) && !c.mayGetHold(j) {
		j.queue.status = j.queue.shape.status
		c.state.parkOnCapacity(j.queue)
		return
	}
	c.searches++
	if v := j.nominatedVM(); v != nil {
		c.start(j, v)
		return
	}
	found := c.filter(j)
	if best := c.score(j, found.vms); best != nil {
		c.start(j, best)
		return
	}
	c.handleUnplacedTask(j, found)
}

// handleUnplacedTask handles a task that fits no VM: by preemption, by holding a
// VM for it, or by parking its queue.
func (c *cycle) handleUnplacedTask(j *jobState, found search) {
	switch c.preempt(j) {
	case preemptNominated:
		return
	case preemptRetry:
		c.reportWaiting(j, found.status(c.state, j))
		c.state.retryNextCycle(j.queue)
		return
	}
	if c.isStarving(j) {
		c.createHold(j, 1)
	}
	c.reportWaiting(j, found.status(c.state, j))
	c.cacheFailedSearch(j, found)
	c.state.parkOnCapacity(j.queue)
}

// cacheFailedSearch records what a failed search implies for other tasks.
func (c *cycle) cacheFailedSearch(j *jobState, found search) {
	s := j.queue.shape
	s.minFailedRunTime = 0
	if found.held > 0 {
		s.minFailedRunTime = j.runTime()
	}
	s.fitsNoVM = found.foundNoCapacity(j)
	if s.fitsNoVM {
		s.headroomKept = found.averagePerAccelerator != nil
		c.state.frontier.add(s)
	}
}

// reportWaiting adds j to the plan's waiting jobs and keeps its status for Explain.
func (c *cycle) reportWaiting(j *jobState, s status) {
	j.status = s
	j.queue.status = s
	j.queue.shape.status = s
	c.plan.Waiting = append(c.plan.Waiting, WaitingJob{Job: j.Spec.ID, Reason: s.reason, Detail: s.detail})
}

func (c *cycle) waitForQuota(j *jobState, need api.Resources) {
	s := quotaStatus(j.team, need)
	j.status = s
	j.queue.status = s
	c.plan.Waiting = append(c.plan.Waiting, WaitingJob{Job: j.Spec.ID, Reason: s.reason, Detail: s.detail})
	c.state.parkOnQuota(j.queue)
}
