package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Start is a start that has been planned. It may be sent once the job's
// record is durable and Confirm has allowed it.
type Start struct {
	To            platform.ExecutorRef
	DataCentre    string // of the executor
	Run           platform.Run
	Specification string
	Checkpoint    string
	Ticket        string
	Token         uint64 // fencing token
}

// Plan starts what can be started now and takes the room for it.
func (c *Cell) Plan(now time.Time) []Start {
	c.now = now
	c.endTrials(now)
	c.releaseHeldBack(now)
	c.order(now)
	var starts []Start
	held := reservations{until: make(map[*vm]time.Time)}
	for _, s := range c.inTurn {
		s.advice.unused = false
		q := c.queue(s.job)
		advised := q != nil && q.Advice != nil
		if advised && len(s.advice.tickets) == 0 {
			continue // it isn't known where it may run
		}
		if now.Before(s.retryAt) {
			continue
		}
		tasks := s.unplaced()
		if len(tasks) == 0 {
			continue
		}
		if suspectOf(tasks) != nil {
			c.isolate(s, q, now)
		} else {
			s.endIsolation()
		}
		gathers := c.gathers(s, now)
		placed := c.placeStep(s, q, tasks, &held, now)
		if len(placed) > 0 {
			s.advice.expects = time.Time{}
		}
		if len(placed) == len(tasks) {
			c.unpromise(s)
			c.release(s)
			s.endIsolation()
		}
		for _, p := range placed {
			starts = append(starts, c.take(p, q, now))
		}
		if len(placed) == len(tasks) || !s.spec.Gang || gathers || c.gather(s, q, len(tasks), &held, now) {
			continue
		}
		if held.gangs < c.cfg.MaxReservedGangs {
			c.reserve(s, q, tasks, &held, now)
		}
	}
	return starts
}

// placement is a task with the executor chosen for it.
type placement struct {
	task *task
	vm   *vm
}

// placeStep chooses an executor for each task; for a gang, for all or none.
func (c *Cell) placeStep(s *step, q *queue.Queue, tasks []*task, held *reservations, now time.Time) []placement {
	if q != nil && q.Advice != nil && !s.advice.anyValid(now) {
		return nil // spares the look at each executor
	}
	room := &roomView{taken: make(map[*vm]api.Resources), count: make(map[*vm]int), closed: make(map[*vm]bool)}
	vms := c.eligible(s, q, held, now)
	var placed []placement
	for _, t := range suspectsFirst(tasks) {
		v := c.best(t, vms, room)
		if v == nil && t.suspected() && !s.spec.Gang {
			continue // the others needn't wait for an executor of its own
		}
		if v == nil {
			break
		}
		room.take(v, t)
		placed = append(placed, placement{task: t, vm: v})
	}
	if s.spec.Gang && len(placed) < len(tasks) {
		return nil
	}
	return placed
}

// roomView is the room that a step's own choices have taken so far.
type roomView struct {
	taken  map[*vm]api.Resources
	count  map[*vm]int
	closed map[*vm]bool // a suspected task has been placed there that should be alone
}

func (r *roomView) take(v *vm, t *task) {
	r.taken[v] = r.taken[v].Add(t.step.spec.Need)
	r.count[v]++
	// The members of a gang start together, and there may be fewer executors than those that
	// are suspected. A crash under several of them accuses their one job all the same.
	if t.suspected() && !t.step.spec.Gang {
		r.closed[v] = true
	}
}

// eligible returns the executors on which a task of the step may start now
// and has room.
func (c *Cell) eligible(s *step, q *queue.Queue, held *reservations, now time.Time) []*vm {
	var vms []*vm
	for _, v := range c.mayRunOn(s, q) {
		if !s.spec.Need.Fits(v.freeFor(s)) || !c.suits(s, q, v, now) || !held.admits(v, s, now) {
			continue
		}
		if q != nil && q.Advice != nil {
			if _, ok := s.advice.valid(v, now); !ok {
				continue
			}
		}
		vms = append(vms, v)
	}
	return vms
}

// mayRunOn returns the executors that the step is known to be allowed on, in
// a fixed order.
func (c *Cell) mayRunOn(s *step, q *queue.Queue) []*vm {
	if q == nil || q.Advice == nil {
		return c.sorted
	}
	if s.advice.vms == nil {
		for _, v := range c.sorted {
			if _, granted := s.advice.tickets[v]; granted {
				s.advice.vms = append(s.advice.vms, v)
			}
		}
	}
	return s.advice.vms
}

// suits reports whether the executor is one of those that the step asks for
// and may be given work at all.
func (c *Cell) suits(s *step, q *queue.Queue, v *vm, now time.Time) bool {
	service := s.job.spec.Service
	if q != nil {
		service = q.Service // which the configuration in force names
	} else if !c.table.Serves(service) {
		return false
	}
	if v.Service != service || !v.usable(now, &c.cfg) || v.closedTo(s, now) {
		return false
	}
	return s.spec.Label == "" || v.HasLabel(s.spec.Label)
}

// best returns the executor on which a task should start: near its data, not
// slow, not where it has just failed or was lost, and with the least room left over, which keeps
// whole executors free for large tasks.
func (c *Cell) best(t *task, vms []*vm, room *roomView) *vm {
	s := t.step
	var best *vm
	var bestScore float64
	for _, v := range vms {
		left := v.freeFor(s).Sub(room.taken[v]).Sub(s.spec.Need)
		if left.MilliCPU < 0 || left.MemoryMB < 0 || left.Accelerators < 0 {
			continue
		}
		if v.onTrial(&c.cfg) && room.count[v] > 0 {
			continue
		}
		if room.closed[v] || t.suspected() && !s.alone(v, room, c.now) {
			continue
		}
		if s.spec.MaxPerVM > 0 && v.countOf(s)+room.count[v] >= s.spec.MaxPerVM {
			continue
		}
		score := c.score(s, v, left)
		if v == t.failedAt || v.Ref.ID == t.lostOn.ID {
			score += failedWeight
		}
		score += lostWithWeight * float64(v.lostWith(t))
		if t.suspected() {
			score += lostWithWeight * float64(len(v.claims)+room.count[v])
		}
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

// Weights of the score: a share of the executor left over counts 1.
const (
	failedWeight   = 4.0 // where the task has just failed or was lost; any other executor comes first
	lostWithWeight = 4.0 // for each run there that may crash the executor, or that the task may take with it
	slowWeight     = 1.0 // for each time that the executor is slower than the fleet
)

// score says how badly the executor fits; left is the room that would remain.
func (c *Cell) score(s *step, v *vm, left api.Resources) float64 {
	score := share(left.MilliCPU, v.Capacity.MilliCPU) + share(left.MemoryMB, v.Capacity.MemoryMB)
	score += slowWeight * (v.slow(c.now) - 1)
	if s.spec.DataRack != "" && v.Rack() != s.spec.DataRack {
		score += c.cfg.RemoteFactor
	}
	return score
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// countOf returns how many runs of the step's occurrence the executor holds.
func (v *vm) countOf(s *step) int {
	n := 0
	for _, cl := range v.claims {
		if cl.task != nil && cl.task.step == s {
			n++
		}
	}
	return n
}

// take books a placement: the task has a new run whose room is held.
func (c *Cell) take(p placement, q *queue.Queue, now time.Time) Start {
	t, s := p.task, p.task.step
	t.run = c.nextRun(t)
	t.phase = work.Started
	t.vm = p.vm.Ref.Life()
	cl := &claim{
		run:     platform.Run{Task: t.key(), Number: t.run},
		task:    t,
		need:    s.spec.Need,
		state:   planned,
		resumed: t.checkpoint != "",
		ends:    now.Add(time.Duration(float64(s.spec.Estimate) * p.vm.slow(now))),
	}
	p.vm.add(cl)
	c.mark(s.job)
	start := Start{To: p.vm.Ref, DataCentre: p.vm.Zone, Run: cl.run, Specification: s.job.spec.Specification, Checkpoint: t.checkpoint, Token: c.token(p.vm)}
	if q != nil && q.Advice != nil {
		start.Ticket = s.advice.tickets[p.vm].text
	}
	return start
}

// nextRun returns the number of the task's next run, which all tasks of a
// gang share.
func (c *Cell) nextRun(t *task) uint32 {
	if !t.step.spec.Gang {
		return t.run + 1
	}
	highest := uint32(0)
	for _, o := range t.step.tasks {
		if o.phase != work.Started {
			highest = max(highest, o.run)
		}
	}
	for _, o := range t.step.tasks {
		if o.phase == work.Started {
			return o.run // set for an earlier task of this gang
		}
	}
	return highest + 1
}

// ConfirmedStart is a start that may be sent now.
type ConfirmedStart struct {
	Start Start
	Order platform.StartOrder
}

// Confirm checks planned starts again right before they are sent, after their
// records have become durable. It returns the orders of those that are still
// right and gives the room of the others back. A gang is sent whole or not at
// all.
func (c *Cell) Confirm(starts []Start, now time.Time) []ConfirmedStart {
	wrong := make(map[*step]bool)
	for _, st := range starts {
		if cl := c.planned(st); cl != nil && !c.stillRight(st, cl, now) {
			wrong[cl.task.step] = true
		}
	}
	var orders []ConfirmedStart
	for _, st := range starts {
		cl := c.planned(st)
		if cl == nil {
			continue
		}
		s := cl.task.step
		if !c.stillRight(st, cl, now) || (s.spec.Gang && wrong[s]) {
			c.over(cl, platform.EndStopped, "")
			continue
		}
		orders = append(orders, ConfirmedStart{Start: st, Order: c.orderOf(cl, st, now)})
	}
	return orders
}

// planned returns the claim of a start that has not been sent, or nil.
func (c *Cell) planned(st Start) *claim {
	v := c.vms[st.To.ID]
	if v == nil {
		return nil
	}
	cl := v.claims[st.Run]
	if cl == nil || cl.state != planned {
		return nil
	}
	return cl
}

// orderOf returns the start order of a claim, which counts as sent from now on.
func (c *Cell) orderOf(cl *claim, st Start, now time.Time) platform.StartOrder {
	v := cl.vm
	cl.state = sent
	cl.ordered = now
	cl.voidAt = v.clockNow(now, 0).Add(c.cfg.StartValidity)
	cl.bound = st.Ticket != ""
	c.openOrder(cl, now)
	v.lease = max(v.lease, cl.voidAt)
	return platform.StartOrder{
		Run:           st.Run,
		Specification: st.Specification,
		Checkpoint:    st.Checkpoint,
		LeaseUntil:    cl.voidAt,
		Token:         st.Token,
		Ticket:        st.Ticket,
	}
}

// stillRight reports whether a planned start may be sent.
func (c *Cell) stillRight(st Start, cl *claim, now time.Time) bool {
	v := cl.vm
	if cl.unwanted || c.life(st.To, st.Token) != v || !v.known || !c.serves(v) || v.Service != c.service(cl.task.step.job) {
		return false
	}
	if since, leaves := v.leaves(now); leaves && now.Sub(since) > c.cfg.DrainMargin {
		return false
	}
	if now.Sub(v.clockAt) > c.cfg.MaxReportAge || v.free().Negative() {
		return false
	}
	s := cl.task.step
	if q := c.queue(s.job); q != nil && q.Advice != nil {
		_, ok := s.advice.valid(v, now)
		return ok
	}
	return true
}
