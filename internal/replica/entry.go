// Package replica keeps, on every machine, the state of all jobs of a cell as
// the platform's store has it: what was submitted, what was cancelled, and
// how far the leader says that each job has come. It follows one keyed
// partition; the newest record of each key is all that counts.
//
// A machine that may have to plan keeps the records' content. The others keep
// what clients ask for, and are told no more (work.Summary): the content of all
// records would fill the leader's link where there are many machines.
package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Entry is what is known of one job.
type Entry struct {
	Job       *work.Job      // nil: not submitted, or its content isn't kept here
	Progress  *work.Progress // nil: nothing has started, or its content isn't kept here
	Cancelled bool           // a client has cancelled it
	Outcome   *work.Outcome  // stands in place of the others some time after the job's end

	submitted  bool            // the submission is known
	queue      string          // that took it
	reached    work.State      // by the newest progress
	told       bool            // reached is known
	toldAt     platform.Offset // of the progress record, or as of which the summary, that told it
	progressAt platform.Offset // of Progress
	last       platform.Offset // of the newest record
	round      uint64          // of readings of the newest records, when the last record came
	ended      time.Time       // when the end was read; zero while the job is alive
}

// State returns where the job stands.
func (e *Entry) State() work.State {
	switch {
	case e.Outcome != nil:
		return e.Outcome.State
	case e.reached.Final():
		return e.reached
	case e.Cancelled:
		return work.Cancelled
	default:
		return e.reached
	}
}

// Submitted reports whether the job's submission is known, or was.
func (e *Entry) Submitted() bool { return e.submitted || e.Outcome != nil }

// Queue returns the name of the queue that took the job; empty if its
// submission isn't known.
func (e *Entry) Queue() string {
	switch {
	case e.Outcome != nil:
		return e.Outcome.Queue
	default:
		return e.queue
	}
}

// summary returns what clients may ask of the job.
func (e *Entry) summary(id work.ID) work.Summary {
	return work.Summary{ID: id, Queue: e.Queue(), State: e.State(), Cancelled: e.Cancelled}
}

// tell notes how far the job has come, as of an offset.
func (e *Entry) tell(s work.State, at platform.Offset) {
	e.reached, e.toldAt, e.told = s, at, true
}

// shed drops the content of the records.
func (e *Entry) shed() {
	e.Job = nil
	e.Progress = nil
}

// Change is one record that was read of a job.
type Change struct {
	ID    work.ID
	Kind  work.Kind
	Entry Entry // after the record
}
