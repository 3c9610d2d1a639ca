package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The tasks of a step run the same program. Where all of them crash their executors, a
// wide step takes many down before the first crash is known, and would again with each
// further start. A step under which several executors were lost therefore starts with a
// canary: one task, alone, until one has done well. So does a new step of an image for
// which a job was given up.

const (
	// canaryFrom is how many executors have to be lost under a step's tasks.
	canaryFrom = 3
	// canaryMargin is how much longer than any lost run of the step one has to be at work
	// to count as well.
	canaryMargin = time.Second
	// imageRemembered is for how long new steps of an image that was given up start with
	// a canary.
	imageRemembered = 10 * time.Minute
)

// canary is what the tasks of a step have lost since one of them last did well.
type canary struct {
	executors map[work.Life]struct{}
	longest   time.Duration // that a lost run had been at work
	on        bool          // the step starts one task at a time
}

// inCanary reports whether the step starts one task at a time. The members of a gang only
// work together.
func (s *step) inCanary() bool {
	c := s.job.canaries[s.index]
	return c != nil && c.on && !s.spec.Gang
}

// canaryOf returns what the tasks of a step have lost.
func (j *job) canaryOf(step int) *canary {
	if j.canaries == nil {
		j.canaries = make(map[int]*canary)
	}
	t := j.canaries[step]
	if t == nil {
		t = &canary{executors: make(map[work.Life]struct{})}
		j.canaries[step] = t
	}
	return t
}

// countForStep counts a lost executor for the step of a lost run.
func (c *Cell) countForStep(cl *claim, l loss) {
	if l.evidence == Unregistered || !l.counts(cl) {
		return
	}
	s := cl.task.step
	t := s.job.canaryOf(s.index)
	t.executors[l.executor] = struct{}{}
	if !cl.ordered.IsZero() {
		t.longest = max(t.longest, l.since.Sub(cl.ordered))
	}
	if !t.on && len(t.executors) >= canaryFrom {
		t.on = true
		if s.inCanary() {
			c.events.WithFields(logrus.Fields{"step": s.key(), "executors": len(t.executors)}).Info("step starts one task at a time: several executors were lost under its tasks")
		}
	}
}

// endCanary lets all tasks of a step start again, one of which did well.
func (c *Cell) endCanary(s *step) {
	if s.inCanary() {
		c.events.WithField("step", s.key()).Info("step starts all its tasks again: one of them did well")
	}
	delete(s.job.canaries, s.index)
	delete(c.images, s.spec.Image)
	c.again(s)
}

// useCanaries has those steps of a new job start with a canary whose image was given up
// before.
func (c *Cell) useCanaries(j *job, now time.Time) {
	for i := range j.spec.Steps {
		since, known := c.images[j.spec.Steps[i].Image]
		if known && now.Sub(since) < imageRemembered {
			j.canaryOf(i).on = true
		}
	}
}

// judgeRunningCanary lets all tasks of a step start again whose run has been at work for
// longer than those that were lost.
func (c *Cell) judgeRunningCanary(cl *claim, now time.Time) {
	s := cl.task.step
	if t := s.job.canaries[s.index]; t != nil && now.Sub(cl.since) > 2*t.longest+canaryMargin {
		c.endCanary(s)
	}
}

// judgeEndedCanary lets all tasks of a step start again whose run has ended as done.
func (c *Cell) judgeEndedCanary(cl *claim, how platform.How) {
	if cl.task != nil && how == platform.EndDone && cl.task.step.job.canaries[cl.task.step.index] != nil {
		c.endCanary(cl.task.step)
	}
}

// nextCanary returns which of the waiting tasks may start now of a step that starts one at a
// time: the one that has lost most, if nothing of the step runs.
func (s *step) nextCanary(waiting []*task) []*task {
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
