package plan

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/account"
)

// obstacles counts the permitted executors that can take a task of a step, and the others by what keeps
// them from it.
type obstacles struct {
	eligible, unavailable, processors, memory, reserved, ticket int
}

// arrivalStage returns the stage to which the time of a job before this leader knew it is attributed.
func arrivalStage(j *job, ledSince time.Time) account.Stage {
	if j.arrivedAt.Before(ledSince) {
		return account.Inherited
	}
	return account.Arrival
}

// waitStage returns what a step waits for that could not be placed as a whole.
func (c *Cell) waitStage(s *step) account.Stage {
	o := &s.obstacles
	switch {
	case s.spec.Gang && o.eligible > 0:
		return account.Gather
	case o.reserved > 0:
		return account.Reserved
	case o.ticket > 0:
		return account.Ticket
	case o.memory > 0:
		return account.Memory
	case o.processors > 0:
		return account.Processors
	default:
		return account.Unavailable
	}
}

// markWaiting attributes the time from now on of the step's tasks that wait for a start to a stage.
func (s *step) markWaiting(stage account.Stage, now time.Time) {
	if s.waitsFor == stage && !s.hasNewWaiters {
		return
	}
	s.waitsFor, s.hasNewWaiters = stage, false
	for _, t := range s.tasks {
		if t.placeable() {
			t.timeline.Enter(stage, now)
		}
	}
}

// beginTimelines begins the timelines of a step that has become ready after an earlier part of the job.
func (s *step) beginTimelines(before account.Times, now time.Time) {
	s.timeBefore = before
	for _, t := range s.tasks {
		t.timeline.Enter(account.Advice, now)
	}
	s.waitsFor = account.Advice
}

// accountOf returns the stages of the chain of tasks that ends with a task of the job.
func (t *task) accountOf(now time.Time) account.Times {
	t.timeline.Finish(t.step.spec.Estimate, now)
	times := t.step.timeBefore
	times.AddAll(&t.timeline.Times)
	return times
}

// addStages adds the fields of an account to those of a log line.
func addStages(fields logrus.Fields, times *account.Times) {
	for _, stage := range account.Stages() {
		if ms := times.Of(stage).Round(time.Millisecond).Milliseconds(); ms > 0 {
			fields["in_"+stage.String()+"_ms"] = ms
		}
	}
}
