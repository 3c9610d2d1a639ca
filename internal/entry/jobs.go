package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/front"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// journalRetry is told to callers whose entry could not be journaled.
const journalRetry = time.Second

// callerJobs takes callers' jobs into the data centre's stream.
type callerJobs struct {
	machine  *cell.Machine
	proposer journal.Proposer
	complete func(api.JobSpec) (api.JobSpec, error) // checks and fills in defaults
	now      func() time.Time
}

// Submit implements front.Jobs. A job that is known already under the same
// description was accepted before: repeats are answered alike.
func (j callerJobs) Submit(ctx context.Context, spec api.JobSpec) error {
	spec, err := j.complete(spec)
	if err != nil {
		return api.NotRun(api.ReasonMalformed, 0, err.Error())
	}
	return refusalOf(j.proposer.Propose(ctx, cell.SubmitEntry(spec, j.now().UnixMilli())))
}

// Cancel implements front.Jobs.
func (j callerJobs) Cancel(ctx context.Context, id api.JobID) error {
	if _, ok := j.machine.Job(id); !ok {
		return api.NotRun(api.ReasonUnknownJob, 0, fmt.Sprintf("no job %q here", id))
	}
	return refusalOf(j.proposer.Propose(ctx, cell.CancelEntry([]api.JobID{id}, j.now().UnixMilli())))
}

// Status implements front.Jobs.
func (j callerJobs) Status(_ context.Context, id api.JobID) (front.JobStatus, error) {
	view, ok := j.machine.Job(id)
	if !ok {
		return front.JobStatus{}, api.NotRun(api.ReasonUnknownJob, 0, fmt.Sprintf("no job %q here", id))
	}
	status := front.JobStatus{Spec: view.Spec, Tasks: make(map[string]uint32, len(view.Counts))}
	for state, n := range view.Counts {
		if n > 0 {
			status.Tasks[api.TaskState(state).String()] = n
		}
	}
	if e, ok := j.machine.Explain(id); ok && e.Wait != nil {
		status.Reason, status.Detail = e.Wait.Reason, e.Wait.Detail
	}
	return status, nil
}

// refusalOf turns what became of a proposal into the answer for its caller.
func refusalOf(err error) error {
	var rejected *cell.Rejection
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return api.NotRun(rejected.Reason, 0, rejected.Detail)
	case errors.Is(err, journal.ErrNotWritten):
		return api.NotRun(api.ReasonJournalUnavailable, journalRetry, err.Error())
	default:
		return api.Unknown(api.ReasonJournalUnsettled, err.Error())
	}
}
