package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/account"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Start is a planned start. It may be sent once the job's record is durable and Confirm has
// allowed it.
type Start struct {
	To            platform.ExecutorRef
	DataCentre    string // where the executor runs
	Run           platform.Run
	Specification string
	Checkpoint    string
	Ticket        string
	Token         uint64 // fencing token
}

// Plan starts the tasks that can start now and allocates their capacity.
func (c *Cell) Plan(now time.Time) []Start {
	c.now = now
	c.endTrials(now)
	c.releaseDeferred(now)
	c.releaseAwaiting(now)
	c.pruneLosses(now)
	c.updateActivation(now)
	c.refreshSpeeds(now)
	c.orderSteps(now)
	var starts []Start
	c.gangs.begin(now)
	for _, s := range c.orderedSteps {
		s.advice.hasNewAnswer = false
		q := c.queueOf(s.job)
		advised := q != nil && q.Advice != nil
		if advised && len(s.advice.tickets) == 0 {
			s.markWaiting(account.Advice, now)
			continue // it isn't known yet where the step may run
		}
		if now.Before(s.retryAt) {
			s.markWaiting(account.Backoff, now)
			continue
		}
		tasks := c.withinRecord(s, s.withinCap(s.tasksToPlace()))
		if len(tasks) == 0 {
			s.markWaiting(account.Cap, now)
			continue
		}
		if firstSuspect(tasks) != nil {
			c.isolate(s, q, now)
		} else {
			s.endIsolation()
		}
		preempting := c.isPreempting(s, now)
		s.offeredAt = now
		placed := c.placeStep(s, q, tasks, now)
		if len(placed) > 0 {
			s.advice.waitUntil = time.Time{}
		}
		if len(placed) == len(tasks) {
			c.clearTentative(s)
			c.releaseNominated(s)
			s.endIsolation()
			c.gangs.drop(s, gather.Started)
		}
		for _, p := range placed {
			starts = append(starts, c.allocate(p, q, now))
		}
		if len(placed) < len(tasks) {
			s.markWaiting(c.waitStage(s), now)
		}
		if len(placed) == len(tasks) || !s.spec.Gang || preempting {
			continue
		}
		if !s.waitsForRack() && c.preemptForGang(s, q, len(tasks), now) {
			c.gangs.drop(s, gather.Preempted)
			continue
		}
		c.gangs.gather(s, len(tasks), now)
	}
	c.noteFree(now)
	return starts
}

// placement is a task with the executor chosen for it.
type placement struct {
	task *task
	vm   *vm
}

// placeStep chooses an executor for each task. A gang gets executors for all of its tasks
// or for none.
func (c *Cell) placeStep(s *step, q *queue.Queue, tasks []*task, now time.Time) []placement {
	s.obstacles = obstacles{}
	if q != nil && q.Advice != nil && !s.advice.hasValidTicket(now) {
		s.obstacles.ticket = len(s.advice.tickets)
		return nil // avoids a check of every executor
	}
	usage := &placementUsage{used: make(map[*vm]api.Resources), runs: make(map[*vm]int), exclusive: make(map[*vm]bool)}
	vms := c.onChosenRacks(s, q, c.eligibleVMs(s, q, now), tasks, now)
	s.obstacles.eligible = len(vms)
	var placed []placement
	for _, t := range suspectsFirst(tasks) {
		v := c.bestVM(t, vms, usage)
		if v == nil && t.suspected() && !s.spec.Gang {
			continue // the other tasks needn't wait until this one gets an executor to itself
		}
		if v == nil {
			break
		}
		usage.add(v, t)
		placed = append(placed, placement{task: t, vm: v})
	}
	if s.spec.Gang && len(placed) < len(tasks) {
		return nil
	}
	return placed
}

// placementUsage is the capacity that the placements of the current step have used so far.
type placementUsage struct {
	used      map[*vm]api.Resources
	runs      map[*vm]int
	exclusive map[*vm]bool // a suspected task that should run alone has been placed there
}

func (u *placementUsage) add(v *vm, t *task) {
	u.used[v] = u.used[v].Add(t.step.spec.TaskResources)
	u.runs[v]++
	// The members of a gang start together, and there may be fewer executors than suspected
	// members. A crash under several of them counts against their common job all the same.
	if t.suspected() && !t.step.spec.Gang {
		u.exclusive[v] = true
	}
}

// eligibleVMs returns the executors on which a task of the step may start now and fits.
func (c *Cell) eligibleVMs(s *step, q *queue.Queue, now time.Time) []*vm {
	var vms []*vm
	for _, v := range c.permittedVMs(s, q) {
		if free := v.freeFor(s); !s.spec.TaskResources.Fits(free) {
			switch {
			case len(v.held) > 0 && s.spec.TaskResources.Fits(free.Add(v.heldFrom(s))):
				s.obstacles.reserved++
			case s.spec.TaskResources.MilliCPU <= free.MilliCPU:
				s.obstacles.memory++
			default:
				s.obstacles.processors++
			}
			continue
		}
		if !c.suitable(s, q, v, now) {
			s.obstacles.unavailable++
			continue
		}
		if q != nil && q.Advice != nil {
			if _, ok := s.advice.validTicket(v, now); !ok {
				s.obstacles.ticket++
				continue
			}
		}
		vms = append(vms, v)
	}
	return vms
}

// permittedVMs returns the executors that the step is known to be permitted on, in a fixed
// order.
func (c *Cell) permittedVMs(s *step, q *queue.Queue) []*vm {
	if q == nil || q.Advice == nil {
		return c.calledVMs
	}
	if s.advice.ticketVMs == nil {
		for v := range s.advice.tickets {
			if c.vms[v.Ref.ID] == v {
				s.advice.ticketVMs = append(s.advice.ticketVMs, v)
			}
		}
		slices.SortFunc(s.advice.ticketVMs, func(a, b *vm) int { return strings.Compare(a.Ref.ID, b.Ref.ID) })
	}
	return s.advice.ticketVMs
}

// suitable reports whether the executor has the service and label that the step asks for
// and may be given work at all.
func (c *Cell) suitable(s *step, q *queue.Queue, v *vm, now time.Time) bool {
	service := c.serviceOf(s.job)
	if q == nil && !c.queueConfig.HasService(service) {
		return false
	}
	if v.Service != service || !v.usable(now, &c.cfg) || v.closedTo(s, now) || v.tooSlowFor(s, now) {
		return false
	}
	return s.spec.RequiredLabel == "" || v.HasLabel(s.spec.RequiredLabel)
}

// bestVM returns the executor on which a task should start: near its data, not slow, not
// where it has just failed or was lost, and with the least capacity left over, which keeps
// whole executors free for large tasks.
func (c *Cell) bestVM(t *task, vms []*vm, usage *placementUsage) *vm {
	s := t.step
	var best *vm
	var bestScore float64
	for _, v := range vms {
		remaining := v.freeFor(s).Sub(usage.used[v]).Sub(s.spec.TaskResources)
		if remaining.MilliCPU < 0 || remaining.MemoryMB < 0 || remaining.Accelerators < 0 {
			continue
		}
		if v.onTrial(&c.cfg) && usage.runs[v] > 0 {
			continue
		}
		if usage.exclusive[v] || t.suspected() && !s.maySuspectStartOn(v, usage, c.now) {
			continue
		}
		if s.spec.MaxPerVM > 0 && v.runsOf(s)+usage.runs[v] >= s.spec.MaxPerVM {
			continue
		}
		score := c.score(s, v, remaining)
		if v.delaysGang(s, remaining) {
			score += heldPenalty
		}
		if v == t.lastFailedOn || v.Ref.ID == t.lastLostOn.ID {
			score += failurePenalty
		}
		score += colocationPenalty * float64(v.runsLostWith(t))
		if t.suspected() {
			score += colocationPenalty * float64(len(v.allocations)+usage.runs[v])
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// Weights of the score. The fraction of the executor that is left over has weight 1.
const (
	failurePenalty    = 4.0 // where the task has just failed or was lost; any other executor is preferred
	colocationPenalty = 4.0 // for each run there that may crash the executor, or that the task may take down with it
	slownessWeight    = 1.0 // for each multiple by which the executor is slower than the fleet
)

// score returns how badly the executor fits the step, given the capacity that would remain.
// Lower is better.
func (c *Cell) score(s *step, v *vm, remaining api.Resources) float64 {
	score := fraction(remaining.MilliCPU, v.Capacity.MilliCPU) + fraction(remaining.MemoryMB, v.Capacity.MemoryMB)
	score += slownessWeight*(v.slowdown(c.now)-1) + c.speedPenalty(s, v)
	if s.spec.DataRack != "" && v.Rack() != s.spec.DataRack {
		score += c.cfg.RemoteFactor
	}
	return score
}

// dominantShare returns the largest share that a part takes of any resource of the whole.
func dominantShare(part, whole api.Resources) float64 {
	return max(fraction(part.MilliCPU, whole.MilliCPU), fraction(part.MemoryMB, whole.MemoryMB), fraction(part.Accelerators, whole.Accelerators))
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// runsOf returns how many runs of the step the executor holds.
func (v *vm) runsOf(s *step) int {
	n := 0
	for _, alloc := range v.allocations {
		if alloc.task != nil && alloc.task.step == s {
			n++
		}
	}
	return n
}

// allocate gives the task of a placement a new run, allocates its capacity and returns its
// start.
func (c *Cell) allocate(placed placement, q *queue.Queue, now time.Time) Start {
	t, s := placed.task, placed.task.step
	t.lastRun = c.nextRunNumber(t)
	t.phase = work.Started
	if s.spec.Gang {
		t.failures = s.gangFailures // so that a member with more failures than others is one that has failed in the newest run
	}
	t.timeline.Enter(account.Record, now)
	t.incarnation = placed.vm.Ref.Incarnation()
	alloc := &allocation{
		run:         platform.Run{Task: t.key(), Number: t.lastRun},
		task:        t,
		resources:   s.spec.TaskResources,
		workspace:   s.job.workspace,
		state:       statePlanned,
		plannedAt:   now,
		resumed:     t.checkpoint != "",
		lastAlive:   placed.vm.ends.Newest(),
		expectedEnd: now.Add(time.Duration(float64(placed.vm.expectedTime(s, now)) * c.rackFactor(s))),
	}
	placed.vm.addAllocation(alloc)
	c.markDirty(s.job)
	start := Start{To: placed.vm.Ref, DataCentre: placed.vm.Zone, Run: alloc.run, Specification: s.job.spec.Specification, Checkpoint: t.checkpoint, Token: c.fencingToken(placed.vm)}
	if q != nil && q.Advice != nil {
		start.Ticket = s.advice.tickets[placed.vm].text
	}
	return start
}

// nextRunNumber returns the number of the task's next run, which all tasks of a gang share.
func (c *Cell) nextRunNumber(t *task) uint32 {
	if !t.step.spec.Gang {
		return t.lastRun + 1
	}
	highest := uint32(0)
	for _, other := range t.step.tasks {
		if other.phase != work.Started {
			highest = max(highest, other.lastRun)
		}
	}
	for _, other := range t.step.tasks {
		if other.phase == work.Started {
			return other.lastRun // already set for an earlier task of this gang
		}
	}
	return highest + 1
}

// ConfirmedStart is a start that may be sent now, with its order.
type ConfirmedStart struct {
	Start Start
	Order platform.StartOrder
}

// Confirm checks planned starts again right before they are sent, after their records have
// become durable. It returns those that are still valid with their orders, and frees the
// capacity of the others. A gang is sent whole or not at all.
func (c *Cell) Confirm(starts []Start, now time.Time) []ConfirmedStart {
	invalid := make(map[*step]bool)
	overCap := c.startsOverCap(starts)
	for _, st := range starts {
		if alloc := c.plannedAllocation(st); alloc != nil && (overCap[alloc] || !c.stillValid(st, alloc, now)) {
			invalid[alloc.task.step] = true
		}
	}
	var orders []ConfirmedStart
	for _, st := range starts {
		alloc := c.plannedAllocation(st)
		if alloc == nil {
			continue
		}
		s := alloc.task.step
		if overCap[alloc] || !c.stillValid(st, alloc, now) || (s.spec.Gang && invalid[s]) {
			c.endRun(alloc, platform.EndStopped, "")
			continue
		}
		orders = append(orders, ConfirmedStart{Start: st, Order: c.startOrder(alloc, st, now)})
	}
	return orders
}

// plannedAllocation returns the allocation of a start that has not been sent, or nil.
func (c *Cell) plannedAllocation(st Start) *allocation {
	v := c.vms[st.To.ID]
	if v == nil {
		return nil
	}
	alloc := v.allocations[st.Run]
	if alloc == nil || alloc.state != statePlanned {
		return nil
	}
	return alloc
}

// startOrder returns the start order of an allocation, which counts as sent from now on.
func (c *Cell) startOrder(alloc *allocation, st Start, now time.Time) platform.StartOrder {
	v := alloc.vm
	alloc.state = stateSent
	alloc.task.timeline.Enter(account.Order, now)
	alloc.orderedAt = now
	alloc.orderVoidAt = v.minClock(now, 0).Add(c.cfg.StartValidity)
	alloc.ticketBound = st.Ticket != ""
	c.setOrderExpiry(alloc, now)
	v.leaseEnd = max(v.leaseEnd, alloc.orderVoidAt)
	return platform.StartOrder{
		Run:           st.Run,
		Specification: st.Specification,
		Checkpoint:    st.Checkpoint,
		LeaseExpiry:   alloc.orderVoidAt,
		FencingToken:  st.Token,
		Ticket:        st.Ticket,
	}
}

// stillValid reports whether a planned start may still be sent.
func (c *Cell) stillValid(st Start, alloc *allocation, now time.Time) bool {
	v := alloc.vm
	if alloc.stopRequested || c.currentVM(st.To, st.Token) != v || !v.hasReported || !c.inService(v) || v.Service != c.serviceOf(alloc.task.step.job) {
		return false
	}
	if since, leaving := v.isLeaving(now); leaving && now.Sub(since) > c.cfg.DrainMargin {
		return false
	}
	if now.Sub(v.reportedAt) > c.cfg.MaxReportAge || v.free().HasNegative() {
		return false
	}
	s := alloc.task.step
	if q := c.queueOf(s.job); q != nil && q.Advice != nil {
		_, ok := s.advice.validTicket(v, now)
		return ok
	}
	return true
}
