package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// The tasks of a step run the same program. Where all of them crash their executors, a
// wide step takes many down before the first crash is known, and would again with
// each further start. A step under which several executors were lost is therefore on
// trial: it starts one task at a time, until one has done well. So is a new step of an
// image for which a job was given up.

const (
	// trialFrom is how many executors have to be lost under a step's tasks.
	trialFrom = 3
	// trialMargin is how much longer than any lost run of the step one has to be at work
	// to end the trial.
	trialMargin = time.Second
	// imageRemembered is for how long new steps of an image that was given up are tried.
	imageRemembered = 10 * time.Minute
)

// trial is what the tasks of a step have lost since one of them last did well.
type trial struct {
	executors map[string]struct{}
	longest   time.Duration // that a lost run had been at work
	on        bool
}

// onTrial reports whether the step starts one task at a time. The members of a gang only
// work together.
func (s *step) onTrial() bool {
	t := s.job.trials[s.index]
	return t != nil && t.on && !s.spec.Gang
}

// trialOf returns what the tasks of a step have lost.
func (j *job) trialOf(step int) *trial {
	if j.trials == nil {
		j.trials = make(map[int]*trial)
	}
	t := j.trials[step]
	if t == nil {
		t = &trial{executors: make(map[string]struct{})}
		j.trials[step] = t
	}
	return t
}

// tryStep counts a lost executor for the step of a lost run.
func (c *Cell) tryStep(cl *claim, l loss) {
	s := cl.task.step
	if l.evidence == Unregistered {
		return
	}
	t := s.job.trialOf(s.index)
	t.executors[l.executor] = struct{}{}
	if !cl.ordered.IsZero() {
		t.longest = max(t.longest, l.since.Sub(cl.ordered))
	}
	if !t.on && len(t.executors) >= trialFrom {
		t.on = true
		if s.onTrial() {
			c.events.WithFields(logrus.Fields{"step": s.key(), "executors": len(t.executors)}).Info("step is on trial: several executors were lost under its tasks")
		}
	}
}

// acquit ends the trial of a step of which a task did well.
func (c *Cell) acquit(s *step) {
	if s.onTrial() {
		c.events.WithField("step", s.key()).Info("trial of a step is over: a task of it did well")
	}
	delete(s.job.trials, s.index)
	delete(c.images, s.spec.Image)
	c.again(s)
}

// tryImages puts those steps of a new job on trial whose image was given up before.
func (c *Cell) tryImages(j *job, now time.Time) {
	for i := range j.spec.Steps {
		since, known := c.images[j.spec.Steps[i].Image]
		if known && now.Sub(since) < imageRemembered {
			j.trialOf(i).on = true
		}
	}
}

// acquitRunning ends the trial of a step whose run has been at work for longer than those
// that were lost.
func (c *Cell) acquitRunning(cl *claim, now time.Time) {
	s := cl.task.step
	if t := s.job.trials[s.index]; t != nil && now.Sub(cl.since) > 2*t.longest+trialMargin {
		c.acquit(s)
	}
}

// judgeStep learns from an end what that says of the step.
func (c *Cell) judgeStep(cl *claim, how platform.How) {
	if cl.task != nil && how == platform.EndDone && cl.task.step.job.trials[cl.task.step.index] != nil {
		c.acquit(cl.task.step)
	}
}

// tried returns the tasks of a step on trial that may start now, of those that wait: one,
// if nothing of the step runs.
func (s *step) tried(waiting []*task) []*task {
	if len(waiting) == 0 {
		return nil
	}
	for _, o := range s.job.running {
		if slices.ContainsFunc(o.steps[s.index].tasks, func(t *task) bool { return t.claims > 0 }) {
			return nil
		}
	}
	worst := slices.MaxFunc(waiting, func(a, b *task) int { return a.losses.all() - b.losses.all() })
	return []*task{worst}
}
