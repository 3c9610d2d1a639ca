package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A crash takes everything on its executor with it, so a lost run accuses all tasks that
// were there. They start again apart from each other; one that loses a second executor is
// suspected and starts alone on an executor. If that crashes too, it is to blame.

const (
	// suspectCrashes and suspectLosses are how many executors have to crash under a task,
	// and how many of its runs have to be lost in all, for it to be suspected.
	suspectCrashes = 2
	suspectLosses  = 3
	// crashesToBlame is how many executors have to have crashed under a task for a crash
	// while nothing but its job was there to end the job; crashesToBlameCanary is that
	// of a step that starts one task at a time.
	crashesToBlame       = 3
	crashesToBlameCanary = 2
	// correlatedWithin is the time within which so many other executors have to fall silent
	// (correlatedOthers) for one cause to be assumed that is no task: a rack, a data
	// centre, an operator.
	correlatedWithin = 500 * time.Millisecond
	correlatedOthers = 2
	// isolateWithin is for how long an executor is kept from other work until a suspected
	// task can start alone there. After that it starts with what is left beside it.
	isolateWithin = 2 * time.Second
	// isolatedTime is for how long a suspected run keeps others off its executor.
	isolatedTime = 10 * time.Second
	// isolatedShare bounds the executors that are kept for suspected tasks at a time: one
	// in so many.
	isolatedShare = 8
)

// suspected reports whether a task may be what crashes its executors.
func (t *task) suspected() bool {
	return t.losses.crashes >= suspectCrashes || t.losses.all() >= suspectLosses || t.step.inCanary()
}

// blames reports whether the crash of an executor shows that a task is to blame for it.
func (t *task) blames(l loss) bool {
	need := crashesToBlame
	if t.step.inCanary() {
		need = crashesToBlameCanary
	}
	return l.evidence != Unregistered && l.only == t.step.job && !l.correlated && t.losses.crashes >= need
}

// lossOf returns what is known of the end of an executor's life.
func (c *Cell) lossOf(v *vm, e Evidence, now time.Time) loss {
	_, left := v.leaves(now)
	l := loss{executor: v.Ref.Life(), since: v.lastSign(), evidence: e, left: left, correlated: c.silentTogether(v), silent: e == Unregistered}
	if !v.clockAt.IsZero() { // else it isn't known what ran there
		l.only = v.soleJob()
	}
	c.noteSilence(v.lastSign())
	return l
}

// soleJob returns the job to which all runs on the executor belong that may have begun;
// nil: there are several, or none.
func (v *vm) soleJob() *job {
	var only *job
	for _, cl := range v.claims {
		switch {
		case cl.state == planned:
		case cl.task == nil, only != nil && only != cl.task.step.job:
			return nil
		default:
			only = cl.task.step.job
		}
	}
	return only
}

// noteSilence remembers when an executor that is lost fell silent.
func (c *Cell) noteSilence(at time.Time) {
	c.silences = slices.DeleteFunc(c.silences, func(o time.Time) bool { return at.Sub(o) > longestAge })
	c.silences = append(c.silences, at)
}

// silentTogether reports whether other executors fell silent at about the same time.
func (c *Cell) silentTogether(v *vm) bool {
	at, others := v.lastSign(), 0
	count := func(o time.Time) {
		if at.Sub(o).Abs() <= correlatedWithin {
			others++
		}
	}
	for _, o := range c.silences {
		count(o)
	}
	for _, o := range c.sorted {
		if o != v && o.silentFrom.After(o.clockAt) {
			count(o.silentFrom)
		}
	}
	return others >= correlatedOthers
}

// isolation is an executor that is kept from other work for a suspected task.
type isolation struct {
	vm    *vm
	until time.Time
}

// closedTo reports whether an executor is kept for a suspected task of another step, or has
// one that should be alone.
func (v *vm) closedTo(s *step, now time.Time) bool {
	if v.suspect != nil && v.suspect.isolates(now) {
		return true
	}
	// The step may never start, as when its queue is removed.
	return v.isolatedFor != nil && v.isolatedFor != s && now.Before(v.isolatedFor.isolation.until.Add(isolateWithin))
}

// isolates reports whether a suspected run, or one that is about to begin, keeps others
// off its executor.
func (cl *claim) isolates(now time.Time) bool {
	began := cl.ordered
	if began.IsZero() {
		began = cl.since // a former leader ordered it
	}
	return began.IsZero() || now.Sub(began) < isolatedTime
}

// suspectOf returns a suspected task among those of a step that wait; nil: there is none.
func suspectOf(tasks []*task) *task {
	for _, t := range tasks {
		if t.suspected() {
			return t
		}
	}
	return nil
}

// isolate keeps an executor for a suspected task of a step that waits: of those that may
// run it, the one on which least will be left when it starts.
func (c *Cell) isolate(s *step, q *queue.Queue, now time.Time) {
	if s.isolation.vm != nil || !s.isolation.until.IsZero() {
		return
	}
	s.isolation.until = now.Add(isolateWithin)
	kept, usable := 0, 0
	for _, v := range c.sorted {
		if v.isolatedFor != nil || v.suspect != nil {
			kept++
		}
		if v.usable(now, &c.cfg) {
			usable++
		}
	}
	if kept >= max(1, usable/isolatedShare) {
		return
	}
	least := 0
	for _, v := range c.mayRunOn(s, q) {
		if v.isolatedFor != nil || !c.suits(s, q, v, now) || fits(v.Capacity, s.spec.Need) == 0 {
			continue
		}
		left := 0
		for _, cl := range v.claims {
			if cl.endsFrom(now).After(s.isolation.until) {
				left++
			}
		}
		if s.isolation.vm == nil || left < least {
			s.isolation.vm, least = v, left
		}
	}
	if v := s.isolation.vm; v != nil {
		v.isolatedFor = s
		c.events.WithFields(logrus.Fields{"step": s.key(), "executor": v.Ref.ID, "runs": len(v.claims), "stay": least}).Info("executor is kept for a task that may crash it")
	}
}

// endIsolation gives up the executor that is kept for a step.
func (s *step) endIsolation() {
	if v := s.isolation.vm; v != nil {
		v.isolatedFor = nil
	}
	s.isolation = isolation{}
}

// alone reports whether an executor runs nothing, or a suspected task has waited for that
// for long enough.
func (s *step) alone(v *vm, room *roomView, now time.Time) bool {
	return len(v.claims) == 0 && room.count[v] == 0 || !now.Before(s.isolation.until)
}

// lostWith returns how many runs on an executor belong to tasks that were lost together
// with a task.
func (v *vm) lostWith(t *task) int {
	if t.lostOn == (work.Life{}) {
		return 0
	}
	n := 0
	for _, cl := range v.claims {
		if cl.task != nil && cl.task.lostOn == t.lostOn {
			n++
		}
	}
	return n
}

// suspectsFirst returns the tasks of a step in the order in which they are placed: the
// suspected ones have least choice.
func suspectsFirst(tasks []*task) []*task {
	if suspectOf(tasks) == nil {
		return tasks
	}
	sorted := slices.Clone(tasks)
	slices.SortStableFunc(sorted, func(a, b *task) int {
		switch {
		case a.suspected() == b.suspected():
			return 0
		case a.suspected():
			return -1
		default:
			return 1
		}
	})
	return sorted
}
