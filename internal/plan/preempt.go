package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/startorder"
)

// Runs of less urgent queues are preempted for gangs that don't fit. This is needed when wide
// gangs with little spare time compete with narrow tasks that have much of it: the narrow
// tasks take any capacity that becomes free, so there is never enough for a whole gang at one
// moment, however much becomes free over time.
//
// A run is preempted only if that costs its job nothing but spare time: its progress is
// saved, its job can still be in time, and it has not been preempted often before.

const (
	// maxPreemptions is how often a task may be preempted.
	maxPreemptions = 2
	// preemptionSlack is the spare time that a job must have, beside the work of the
	// preempted step, for a new advice call and the wait for capacity.
	preemptionSlack = 2 * time.Second
	// minPreemptedRunTime is how long a run must have been running before it may be preempted.
	// Stopping a run that has just started would waste its start.
	minPreemptedRunTime = 300 * time.Millisecond
	// nominationTimeout is how long capacity stays nominated to a gang: executors stop a
	// run within 0.4 s, and the report of it follows at once.
	nominationTimeout = 600 * time.Millisecond
	// maxGangPreemptions is how often runs may be preempted for one gang.
	maxGangPreemptions = 3
	// preemptionRetryDelay is the pause after a search for capacity for a gang that found
	// too little.
	preemptionRetryDelay = 50 * time.Millisecond
)

// gangPreemption is the capacity that is nominated to a gang while runs that are in its way
// are stopped.
type gangPreemption struct {
	until       time.Time
	nominated   map[*vm]api.Resources
	attempts    int       // how often runs were preempted for the step
	nextAttempt time.Time // no capacity is searched for again before this time
}

// preemptible reports whether a run may be stopped for a step of a queue.
func (c *Cell) preemptible(alloc *allocation, q *queue.Queue, now time.Time) bool {
	if alloc.task == nil || alloc.state != stateRunning || alloc.stopRequested || now.Sub(alloc.runningSince) < minPreemptedRunTime || alloc.task.preemptions >= maxPreemptions || alloc.task.suspected() {
		return false
	}
	s := alloc.task.step
	victimQueue := c.queueOf(s.job)
	if victimQueue == nil || victimQueue.Priority <= q.Priority || !s.spec.SavesCheckpoints || s.spec.Gang || s.spec.LongRunning {
		return false
	}
	return c.rankOf(s, now).LatestStart.Sub(now) > preemptionSlack
}

// preemptibleRuns returns the runs on an executor that may be stopped for a step of the
// queue, those whose jobs have the most spare time first.
func (c *Cell) preemptibleRuns(v *vm, q *queue.Queue, now time.Time) []*allocation {
	var runs []*allocation
	for _, alloc := range v.allocations {
		if c.preemptible(alloc, q, now) {
			runs = append(runs, alloc)
		}
	}
	slices.SortFunc(runs, func(a, b *allocation) int {
		x, y := c.rankOf(a.task.step, now).LatestStart, c.rankOf(b.task.step, now).LatestStart
		if !x.Equal(y) {
			return y.Compare(x)
		}
		return cmp.Or(cmp.Compare(a.run.Task.String(), b.run.Task.String()), cmp.Compare(a.run.Number, b.run.Number))
	})
	return runs
}

// preemptibleResources returns the resources of the runs on an executor that may be stopped
// for a step of the queue.
func (c *Cell) preemptibleResources(v *vm, q *queue.Queue, now time.Time) api.Resources {
	var total api.Resources
	for _, alloc := range v.allocations {
		if c.preemptible(alloc, q, now) {
			total = total.Add(alloc.resources)
		}
	}
	return total
}

// preemptionSource is an executor that could have capacity for tasks of a gang.
type preemptionSource struct {
	vm        *vm
	freeSlots int             // slots that are free without preemption
	victims   [][]*allocation // runs to be stopped for each further slot, in the order of their use
}

// preemptionSourceOf returns the slots that an executor could provide for a step.
func (c *Cell) preemptionSourceOf(v *vm, s *step, q *queue.Queue, now time.Time) preemptionSource {
	src := preemptionSource{vm: v, freeSlots: v.slotsIn(s, v.freeFor(s))}
	free, slots := v.freeFor(s), src.freeSlots
	var stopped []*allocation
	for _, alloc := range c.preemptibleRuns(v, q, now) {
		free = free.Add(alloc.resources)
		stopped = append(stopped, alloc)
		if n := v.slotsIn(s, free); n > slots {
			src.victims = append(src.victims, stopped)
			for range n - slots - 1 {
				src.victims = append(src.victims, nil)
			}
			slots, stopped = n, nil
		}
	}
	return src
}

// preemptForGang stops runs that are in the way of a gang if the whole gang then fits, and
// nominates their capacity to the gang until it starts. It reports whether it did.
func (c *Cell) preemptForGang(s *step, q *queue.Queue, tasks int, now time.Time) bool {
	if q == nil || s.lateness == overdue || s.preemption.attempts >= maxGangPreemptions || now.Before(s.preemption.nextAttempt) {
		return false
	}
	s.preemption.nextAttempt = now.Add(preemptionRetryDelay)
	var sources []preemptionSource
	slots := 0
	for _, v := range c.permittedVMs(s, q) {
		if !c.suitable(s, q, v, now) || !s.permittedUntil(q, v, now.Add(nominationTimeout)) {
			continue
		}
		src := c.preemptionSourceOf(v, s, q, now)
		if src.freeSlots+len(src.victims) > 0 {
			sources = append(sources, src)
			slots += src.freeSlots + len(src.victims)
		}
	}
	if slots < tasks {
		return false
	}
	slices.SortStableFunc(sources, func(a, b preemptionSource) int { return startorder.CompareBools(!a.vm.holdsFor(s), !b.vm.holdsFor(s)) })
	c.preempt(s, sources, tasks, now)
	s.preemption.attempts++
	s.preemption.until = now.Add(nominationTimeout)
	return true
}

// permittedUntil reports whether the step may be started on an executor up to a time.
func (s *step) permittedUntil(q *queue.Queue, v *vm, until time.Time) bool {
	if q.Advice == nil {
		return true
	}
	_, ok := s.advice.validTicket(v, until)
	return ok
}

// preempt nominates free slots first, and then those for which the fewest runs have to be
// stopped.
func (c *Cell) preempt(s *step, sources []preemptionSource, tasks int, now time.Time) {
	s.preemption.nominated = make(map[*vm]api.Resources)
	for _, src := range sources {
		for range min(src.freeSlots, tasks) {
			c.nominate(s, src.vm)
			tasks--
		}
	}
	for tasks > 0 {
		best := slices.MinFunc(slices.DeleteFunc(slices.Clone(sources), func(o preemptionSource) bool { return len(o.victims) == 0 }), func(a, b preemptionSource) int {
			return cmp.Compare(len(a.victims[0]), len(b.victims[0]))
		})
		for _, alloc := range best.victims[0] {
			alloc.stopRequested = true
			alloc.task.preemptions++
			c.stopRun(alloc)
			c.preemptedRuns++
		}
		c.nominate(s, best.vm)
		tasks--
		for i := range sources {
			if sources[i].vm == best.vm {
				sources[i].victims = sources[i].victims[1:]
			}
		}
	}
}

// nominate nominates the capacity for one more task of a gang on an executor.
func (c *Cell) nominate(s *step, v *vm) {
	s.preemption.nominated[v] = s.preemption.nominated[v].Add(s.spec.TaskResources)
	v.nominated = v.nominated.Add(s.spec.TaskResources)
}

// releaseNominated releases the capacity that is nominated to a step.
func (c *Cell) releaseNominated(s *step) {
	for v, resources := range s.preemption.nominated {
		v.nominated = v.nominated.Sub(resources)
	}
	s.preemption.nominated = nil
}

// isPreempting reports whether capacity is nominated to the step. A nomination that has
// timed out is released.
func (c *Cell) isPreempting(s *step, now time.Time) bool {
	if s.preemption.nominated != nil && !now.Before(s.preemption.until) {
		c.releaseNominated(s)
	}
	return s.preemption.nominated != nil
}

// freeFor returns the free capacity of the executor that a step may use.
func (v *vm) freeFor(s *step) api.Resources {
	free := v.free()
	if v.nominated != (api.Resources{}) {
		free = free.Sub(v.nominated).Add(s.preemption.nominated[v])
	}
	if len(v.held) > 0 {
		free = free.Sub(v.heldFrom(s))
	}
	return free
}
