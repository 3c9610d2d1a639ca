// Package account attributes the time that a job takes to the stages that it passes through. A
// timeline is in exactly one stage at any time, so the times of the stages add up to the whole.
// It does no I/O and reads no clock.
package account

import (
	"math"
	"time"
)

// Stage is what a task does or waits for.
type Stage uint8

// Stages, in the order in which a task usually passes through them.
const (
	Arrival     Stage = iota // the leader does not know the job yet
	Inherited                // from arrival until this leader took over from the one before
	Advice                   // no executor is known to be permitted
	Ticket                   // the tickets of the permitted executors have expired
	Cap                      // the cap of the workspace allows no further start
	Reserved                 // capacity is there, but kept for a gang
	Gather                   // capacity is there for some members of a gang, but not for all
	Processors               // no permitted executor has enough free processors
	Memory                   // permitted executors have free processors, but not enough memory
	Unavailable              // all permitted executors are avoided, on trial, draining or silent
	Backoff                  // executors have refused the start
	Record                   // the record of the start is being stored
	Order                    // the start order is on its way
	Run                      // running, up to the estimate
	Overrun                  // running, beyond the estimate
	Repeated                 // attempts that failed, were stopped or got lost
	StageCount  int   = iota
)

var stageNames = [StageCount]string{
	"arrival", "inherited", "advice", "ticket", "cap", "reserved", "gather", "processors", "memory", "unavailable",
	"backoff", "record", "order", "run", "overrun", "repeated",
}

// String returns the name of the stage in log fields.
func (s Stage) String() string { return stageNames[s] }

// Stages returns all stages in order.
func Stages() []Stage {
	stages := make([]Stage, StageCount)
	for i := range stages {
		stages[i] = Stage(i)
	}
	return stages
}

// Times is the time spent in each stage, in microseconds. It is compact because a leader keeps one
// for each task; a time above 71 minutes counts as that.
type Times [StageCount]uint32

// Add adds time to a stage. A negative time, after a step of the clock, adds nothing.
func (t *Times) Add(s Stage, d time.Duration) {
	sum := int64(t[s]) + max(0, d.Microseconds())
	t[s] = uint32(min(sum, math.MaxUint32))
}

// AddAll adds the times of another timeline that came before.
func (t *Times) AddAll(o *Times) {
	for s := range t {
		t.Add(Stage(s), o.Of(Stage(s)))
	}
}

// Of returns the time spent in a stage.
func (t *Times) Of(s Stage) time.Duration { return time.Duration(t[s]) * time.Microsecond }

// Total returns the time spent in all stages.
func (t *Times) Total() time.Duration {
	total := time.Duration(0)
	for s := range t {
		total += t.Of(Stage(s))
	}
	return total
}

// move attributes time of one stage to another, at most what was spent there.
func (t *Times) move(from, to Stage, d time.Duration) {
	d = min(d, t.Of(from))
	t[from] -= uint32(d.Microseconds())
	t.Add(to, d)
}

// Timeline is the time of one task since its step became ready. The zero Timeline has not begun.
type Timeline struct {
	Times
	stage Stage
	since time.Time
}

// Enter ends the present stage and begins another one.
func (t *Timeline) Enter(s Stage, now time.Time) {
	if !t.since.IsZero() {
		if s == t.stage {
			return
		}
		t.Add(t.stage, now.Sub(t.since))
	}
	t.stage, t.since = s, now
}

// Stop ends the present stage. Enter begins another one.
func (t *Timeline) Stop(now time.Time) {
	if !t.since.IsZero() {
		t.Add(t.stage, now.Sub(t.since))
		t.since = time.Time{}
	}
}

// Repeat ends an attempt to run the task that has to be repeated, and waits in stage s from now on.
func (t *Timeline) Repeat(s Stage, now time.Time) {
	t.Stop(now)
	for _, attempt := range []Stage{Record, Order, Run} {
		t.move(attempt, Repeated, t.Of(attempt))
	}
	t.Enter(s, now)
}

// Finish ends the timeline of a task that was estimated to run for some time.
func (t *Timeline) Finish(estimate time.Duration, now time.Time) {
	t.Stop(now)
	if over := t.Of(Run) - estimate; over > 0 {
		t.move(Run, Overrun, over)
	}
}
