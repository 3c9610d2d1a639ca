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
	// platform allows two more starts after three executors have crashed under a task.
	mostLosses = 5
	// provenAfter is for how long a run of a task that lasts has to have been at work for
	// earlier losses to be forgotten: in its life a service sees executors crash that
	// it hasn't harmed.
	provenAfter = time.Minute
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
	executor string
	since    time.Time // of its first sign of silence
	evidence Evidence
	left     bool // the executor had said that it leaves
	only     *job // to which all runs there belonged; nil: there were several, or that isn't known
	together bool // another executor fell silent at about the same time
}

// lose ends a run that was lost with its executor, and the job if its task has lost too
// many.
func (c *Cell) lose(cl *claim, l loss) {
	c.over(cl, platform.EndLapsed, "")
	c.countLoss(cl, l)
}

// countLoss counts a lost run for its task. A run that certainly hasn't begun, or whose
// executor has left as it said, doesn't count.
func (c *Cell) countLoss(cl *claim, l loss) {
	t := cl.task
	if t == nil || l.left || cl.state == planned || t.phase == work.Done || t.step.job.state.Final() {
		return
	}
	if l.evidence != Unregistered && (cl.state == atWork || cl.state == stopping) {
		t.losses.crashes++
	} else {
		t.losses.unproved++
	}
	t.lostOn = l.executor
	c.mark(t.step.job)
	c.tryStep(cl, l)
	if t.losses.all() >= mostLosses || t.convicts(l) {
		c.giveUp(cl, l)
	}
}

// giveUp ends the job of a task under which too many executors were lost.
func (c *Cell) giveUp(cl *claim, l loss) {
	t := cl.task
	c.events.WithFields(logrus.Fields{
		"job": t.step.job.spec.ID, "task": t.key(), "run": cl.run.Number, "executor": l.executor,
		"crashes": t.losses.crashes, "unproved": t.losses.unproved, "alone": l.only != nil, "together": l.together,
	}).Warn("job is given up: executors were lost under one of its tasks again and again")
	if image := t.step.spec.Image; image != "" {
		c.images[image] = c.now
	}
	c.end(t.step.job, work.Failed)
}

// prove forgets the losses of a task that lasts once a run of it has been at work for long.
func (c *Cell) prove(cl *claim, now time.Time) {
	t := cl.task
	if t.losses == (losses{}) || !t.step.spec.LongRunning || now.Sub(cl.since) < provenAfter {
		return
	}
	t.losses = losses{}
	c.mark(t.step.job)
}
