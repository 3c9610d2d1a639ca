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

	progressAt platform.Offset // of the newest progress record
	ended      time.Time       // when the end was read; zero while the job is alive
}

// State returns where the job stands.
func (e *Entry) State() work.State {
	switch {
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

// Change is one record that was read of a job.
type Change struct {
	ID    work.ID
	Kind  work.Kind
	Entry Entry // after the record
}
