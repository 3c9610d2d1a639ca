// Package replica keeps, on every machine, the state of all jobs of a cell as held
// by the platform's store: submissions, cancellations, and the progress recorded by
// the leader. It replicates one keyed partition, of which only the newest record of
// each key counts.
//
// A machine that may have to plan keeps the content of the records. The others keep
// and receive only what clients may query (work.Summary): with many machines, the
// content of all records would saturate the leader's link.
package replica

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Entry is the replicated state of one job.
type Entry struct {
	Job       *work.Job      // nil: not submitted, or content isn't kept here
	Progress  *work.Progress // nil: nothing has started, or content isn't kept here
	Cancelled bool           // a client has cancelled it
	Outcome   *work.Outcome  // replaces the other records some time after the job's end

	submitted      bool             // the submission is known
	queue          string           // queue that accepted the job
	path           work.PathID      // where it did
	workspace      work.WorkspaceID // workspace that the job belongs to
	state          work.State       // from the newest progress record or summary
	stateKnown     bool             // state is set
	stateOffset    platform.Offset  // of the progress record or summary that set state
	progressOffset platform.Offset  // of Progress
	lastOffset     platform.Offset  // of the newest record
	restoreRound   uint64           // Replica.restoreRound when the last record was applied
	endedAt        time.Time        // when the end was applied; zero while the job has not ended
}

// State returns the state of the job.
func (e *Entry) State() work.State {
	switch {
	case e.Outcome != nil:
		return e.Outcome.State
	case e.state.Final():
		return e.state
	case e.Cancelled:
		return work.Cancelled
	default:
		return e.state
	}
}

// Submitted reports whether the job's submission or outcome is known.
func (e *Entry) Submitted() bool { return e.submitted || e.Outcome != nil }

// Queue returns the name of the queue that accepted the job, or an empty string if the
// job's submission isn't known.
func (e *Entry) Queue() string {
	switch {
	case e.Outcome != nil:
		return e.Outcome.Queue
	default:
		return e.queue
	}
}

// Path returns where the job was accepted, or 0 if that isn't known.
func (e *Entry) Path() work.PathID { return e.path }

// Workspace returns the workspace that the job belongs to, or 0 if it belongs to none or its
// submission isn't known.
func (e *Entry) Workspace() work.WorkspaceID { return e.workspace }

// Offset returns the offset of the newest record of the job, or of the summary that replaces it.
func (e *Entry) Offset() platform.Offset { return e.lastOffset }

// setOrigin records the workspace that the job belongs to and where it was accepted. Processes that know no
// workspaces or paths write outcomes and send summaries without them, which take nothing back.
func (e *Entry) setOrigin(w work.WorkspaceID, p work.PathID) {
	if w != 0 {
		e.workspace = w
	}
	if p != 0 {
		e.path = p
	}
}

// summary returns what clients may query about the job.
func (e *Entry) summary(id work.ID) work.Summary {
	return work.Summary{ID: id, Queue: e.Queue(), Path: e.path, Workspace: e.workspace, State: e.State(), Cancelled: e.Cancelled}
}

// setState sets the job's state as of an offset.
func (e *Entry) setState(s work.State, at platform.Offset) {
	e.state, e.stateOffset, e.stateKnown = s, at, true
}

// dropContent drops the content of the job's records.
func (e *Entry) dropContent() {
	e.Job = nil
	e.Progress = nil
}

// Change is the effect of one record on a job.
type Change struct {
	ID    work.ID
	Kind  work.Kind
	Entry Entry // after the record
}
