package plan

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A task may take down each executor that starts it. The runs that are lost with an
// executor are therefore counted for their tasks, durably, and a task that has lost too
// many isn't started again. docs/design/crashes.md weighs how the task that is to blame is
// told from those that ran beside it.

const (
	// mostLosses is how many runs of a task may be lost with their executors. The
	// platform allows two more starts after three executors have crashed under a task,
	// so from boundedFrom losses on each run counts that ends without a result.
	mostLosses  = 5
	boundedFrom = 3
	// forgetAfter is for how long a run of a task that lasts has to have been at work for
	// earlier losses to be forgotten: in its life a service sees executors crash that
	// it hasn't harmed.
	forgetAfter = time.Minute
)

// losses counts the runs of a task that were lost with their executors.
type losses struct {
	crashes  int // the executor's life had ended, and the run was confirmed
	unproved int // the executor may have been cut off, or the run may not have begun
}

func (l losses) all() int { return l.crashes + l.unproved }

// record returns the counts in the form of the durable record.
func (l losses) record() (crashes, unproved uint8) {
	return uint8(min(l.crashes, 255)), uint8(min(l.unproved, 255))
}

// loss is what is known of the end of an executor's life.
type loss struct {
	executor   work.Life
	since      time.Time // of its first sign of silence
	evidence   Evidence
	left       bool // the executor had said that it leaves
	only       *job // to which all runs there belonged; nil: there were several, or that isn't known
	correlated bool // another executor fell silent at about the same time
	silent     bool // nothing answers under its id
	replaced   bool // another executor is where it was: no order that was sent there is carried out
}

// lose ends a run that was lost with its executor, and the job if its task has lost too
// many.
func (c *Cell) lose(cl *claim, l loss) {
	c.over(cl, platform.EndLapsed, "")
	if !l.replaced {
		c.holdBack(cl, l.silent)
	}
	c.countLoss(cl, l)
}

// lapse ends a run whose executor is silent and may be alive, which counts as a loss until
// that is known.
func (c *Cell) lapse(cl *claim) {
	c.lose(cl, loss{executor: cl.vm.Ref.Life(), since: cl.vm.lastSign(), evidence: Unregistered, silent: true})
	cl.vm.lapsed = append(cl.vm.lapsed, cl)
}

// takeBackLapse takes back that a run counted as lost with a silent executor.
func (c *Cell) takeBackLapse(cl *claim) {
	if t := cl.task; t != nil && t.losses.unproved > 0 && cl.state != planned && !t.step.job.state.Final() {
		t.losses.unproved--
		c.mark(t.step.job)
	}
}

// countLoss counts a lost run for its task, unless that certainly hasn't begun or its
// executor has left as it said.
func (c *Cell) countLoss(cl *claim, l loss) {
	if !l.counts(cl) {
		return
	}
	t := cl.task
	if l.evidence != Unregistered && (cl.state == atWork || cl.state == stopping) {
		t.losses.crashes++
	} else {
		t.losses.unproved++
	}
	t.lostOn = l.executor
	c.mark(t.step.job)
	if t.losses.all() >= mostLosses || t.blames(l) {
		c.failCrashing(cl, l)
	}
}

// countRestart counts a run that has ended without a result for a task that has lost so
// many that its starts are bounded.
func (c *Cell) countRestart(cl *claim, how platform.How) {
	t := cl.task
	if t == nil || how == platform.EndDone || t.losses.all() < boundedFrom || t.phase == work.Done || t.step.job.state.Final() {
		return
	}
	t.losses.unproved++
	c.mark(t.step.job)
	if t.losses.all() >= mostLosses {
		c.failCrashing(cl, loss{executor: cl.vm.Ref.Life()})
	}
}

// counts reports whether a run that was lost counts for its task.
func (l loss) counts(cl *claim) bool {
	t := cl.task
	return t != nil && !l.left && cl.state != planned && t.phase != work.Done && !t.step.job.state.Final()
}

// failCrashing ends the job of a task under which too many executors were lost.
func (c *Cell) failCrashing(cl *claim, l loss) {
	t := cl.task
	c.events.WithFields(logrus.Fields{
		"job": t.step.job.spec.ID, "task": t.key(), "run": cl.run.Number, "executor": l.executor.ID,
		"crashes": t.losses.crashes, "unproved": t.losses.unproved, "alone": l.only != nil, "correlated": l.correlated,
	}).Warn("job is given up: executors were lost under one of its tasks again and again")
	if image := t.step.spec.Image; image != "" {
		c.images[image] = c.now
	}
	c.end(t.step.job, work.Failed)
}

// forgetLosses forgets the losses of a task that lasts once a run of it has been at work for long.
func (c *Cell) forgetLosses(cl *claim, now time.Time) {
	t := cl.task
	if t.losses == (losses{}) || !t.step.spec.LongRunning || now.Sub(cl.since) < forgetAfter {
		return
	}
	t.losses = losses{}
	c.mark(t.step.job)
}
