// Package replica keeps, on every machine, the state of all jobs of a cell as
// the platform's store has it: what was submitted, what was cancelled, and
// how far the leader says that each job has come. It follows one keyed
// partition; the newest record of each key is all that counts.
package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Entry is what is stored of one job.
type Entry struct {
	Job       *work.Job      // nil until its submission was read
	Progress  *work.Progress // nil: nothing has started
	Cancelled bool           // a client has cancelled it
	Outcome   *work.Outcome  // stands in place of the others some time after the job's end

	progressAt platform.Offset // of the newest progress record
	last       platform.Offset // of the newest record
	round      uint64          // of readings of the newest records, when the last record came
	ended      time.Time       // when the end was read; zero while the job is alive
}

// State returns where the job stands.
func (e *Entry) State() work.State {
	switch {
	case e.Outcome != nil:
		return e.Outcome.State
	case e.Progress != nil && e.Progress.State.Final():
		return e.Progress.State
	case e.Cancelled:
		return work.Cancelled
	case e.Progress != nil:
		return e.Progress.State
	default:
		return work.Queued
	}
}

// Submitted reports whether the job's submission is known, or was.
func (e *Entry) Submitted() bool { return e.Job != nil || e.Outcome != nil }

// Queue returns the name of the queue that took the job; empty if its
// submission isn't known.
func (e *Entry) Queue() string {
	switch {
	case e.Outcome != nil:
		return e.Outcome.Queue
	case e.Job != nil:
		return e.Job.Queue
	default:
		return ""
	}
}

// Change is one record that was read of a job.
type Change struct {
	ID    work.ID
	Kind  work.Kind
	Entry Entry // after the record
}
