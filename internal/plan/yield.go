package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// Runs of less urgent queues yield to gangs that find no room. The load it answers: wide
// gangs with little to spare beside narrow work with much. The narrow work fills every
// gap that opens, so the room for a gang is never there at one moment, however much is
// free in all.
//
// A run yields only if that costs its own job nothing but time that it has: its progress
// is saved, its job can still be in time, and it has not yielded often before.

const (
	// mostYields is how often a task may be stopped for others.
	mostYields = 2
	// yieldSlack is what a job has to have to spare, beside the work of the step that
	// yields, for its new call for advice and its wait for room.
	yieldSlack = 2 * time.Second
	// settledRun is for how long a run has to have been at work: one that has just begun
	// would be started twice for nothing.
	settledRun = 300 * time.Millisecond
	// stopTakes is for how long room is kept for a gang: executors stop a run within
	// 0.4 s, and the report of it follows at once.
	stopTakes = 600 * time.Millisecond
	// mostGathers is how often room may be gathered for one gang.
	mostGathers = 3
	// gatherAgain is the pause after room for a gang was looked for in vain.
	gatherAgain = 50 * time.Millisecond
)

// gathering is room that is kept for a gang while runs that are in its way are stopped.
type gathering struct {
	until time.Time
	kept  map[*vm]api.Resources
	times int       // that room was gathered for the step
	look  time.Time // not before this is room looked for again
}

// yieldsTo reports whether a run may be stopped for a step of a queue.
func (c *Cell) yieldsTo(cl *claim, q *queue.Queue, now time.Time) bool {
	if cl.task == nil || cl.state != atWork || cl.unwanted || now.Sub(cl.since) < settledRun || cl.task.yields >= mostYields || cl.task.suspected() {
		return false
	}
	s := cl.task.step
	of := c.queue(s.job)
	if of == nil || of.Priority <= q.Priority || !s.spec.Checkpoints || s.spec.Gang || s.spec.LongRunning {
		return false
	}
	return c.turnOf(s, now).latest.Sub(now) > yieldSlack
}

// yielding returns the runs on an executor that may be stopped for a step of the queue,
// those whose jobs have most time to spare first.
func (c *Cell) yielding(v *vm, q *queue.Queue, now time.Time) []*claim {
	var runs []*claim
	for _, cl := range v.claims {
		if c.yieldsTo(cl, q, now) {
			runs = append(runs, cl)
		}
	}
	slices.SortFunc(runs, func(a, b *claim) int {
		x, y := c.turnOf(a.task.step, now).latest, c.turnOf(b.task.step, now).latest
		if !x.Equal(y) {
			return y.Compare(x)
		}
		return cmp.Or(cmp.Compare(a.run.Task.String(), b.run.Task.String()), cmp.Compare(a.run.Number, b.run.Number))
	})
	return runs
}

// yieldable returns the room of the runs on an executor that may be stopped for a step
// of the queue.
func (c *Cell) yieldable(v *vm, q *queue.Queue, now time.Time) api.Resources {
	var room api.Resources
	for _, cl := range v.claims {
		if c.yieldsTo(cl, q, now) {
			room = room.Add(cl.need)
		}
	}
	return room
}

// source is an executor that could have room for tasks of a gang.
type source struct {
	vm    *vm
	slots int        // that are free
	more  [][]*claim // runs to be stopped for one further slot each, in turn
}

// sourceOf returns what an executor could give a step.
func (c *Cell) sourceOf(v *vm, s *step, q *queue.Queue, now time.Time) source {
	out := source{vm: v, slots: v.slotsIn(s, v.freeFor(s))}
	room, slots := v.freeFor(s), out.slots
	var stopped []*claim
	for _, cl := range c.yielding(v, q, now) {
		room = room.Add(cl.need)
		stopped = append(stopped, cl)
		if got := v.slotsIn(s, room); got > slots {
			out.more = append(out.more, stopped)
			for range got - slots - 1 {
				out.more = append(out.more, nil)
			}
			slots, stopped = got, nil
		}
	}
	return out
}

// gather has runs stopped that are in the way of a gang, if that makes room for all of
// it, and keeps the room until it starts. It reports whether room is being gathered.
func (c *Cell) gather(s *step, q *queue.Queue, tasks int, held *reservations, now time.Time) bool {
	if q == nil || s.stands == overdue || s.gathered.times >= mostGathers || now.Before(s.gathered.look) {
		return false
	}
	s.gathered.look = now.Add(gatherAgain)
	var sources []source
	slots := 0
	for _, v := range c.mayRunOn(s, q) {
		if !c.suits(s, q, v, now) || !held.admits(v, s, now) || !s.holds(q, v, now.Add(stopTakes)) {
			continue
		}
		one := c.sourceOf(v, s, q, now)
		if one.slots+len(one.more) > 0 {
			sources = append(sources, one)
			slots += one.slots + len(one.more)
		}
	}
	if slots < tasks {
		return false
	}
	c.stopFor(s, sources, tasks, now)
	s.gathered.times++
	s.gathered.until = now.Add(stopTakes)
	return true
}

// holds reports whether the step may be started on an executor up to some time.
func (s *step) holds(q *queue.Queue, v *vm, until time.Time) bool {
	if q.Advice == nil {
		return true
	}
	_, ok := s.advice.valid(v, until)
	return ok
}

// stopFor takes free slots first, and then those for which least is stopped.
func (c *Cell) stopFor(s *step, sources []source, tasks int, now time.Time) {
	s.gathered.kept = make(map[*vm]api.Resources)
	for _, one := range sources {
		for range min(one.slots, tasks) {
			c.keep(s, one.vm)
			tasks--
		}
	}
	for tasks > 0 {
		best := slices.MinFunc(slices.DeleteFunc(slices.Clone(sources), func(o source) bool { return len(o.more) == 0 }), func(a, b source) int {
			return cmp.Compare(len(a.more[0]), len(b.more[0]))
		})
		for _, cl := range best.more[0] {
			cl.unwanted = true
			cl.task.yields++
			c.stop(cl)
			c.yielded++
		}
		c.keep(s, best.vm)
		tasks--
		for i := range sources {
			if sources[i].vm == best.vm {
				sources[i].more = sources[i].more[1:]
			}
		}
	}
}

// keep keeps the room of one more task of a gang on an executor.
func (c *Cell) keep(s *step, v *vm) {
	s.gathered.kept[v] = s.gathered.kept[v].Add(s.spec.Need)
	v.kept = v.kept.Add(s.spec.Need)
}

// release gives up the room that is kept for a step.
func (c *Cell) release(s *step) {
	for v, room := range s.gathered.kept {
		v.kept = v.kept.Sub(room)
	}
	s.gathered.kept = nil
}

// gathers reports whether room is kept for the step; what was kept for too long is
// released.
func (c *Cell) gathers(s *step, now time.Time) bool {
	if s.gathered.kept != nil && !now.Before(s.gathered.until) {
		c.release(s)
	}
	return s.gathered.kept != nil
}

// freeFor returns the room on the executor that a step may use.
func (v *vm) freeFor(s *step) api.Resources {
	if v.kept == (api.Resources{}) {
		return v.free()
	}
	return v.free().Sub(v.kept).Add(s.gathered.kept[v])
}
