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

// journalRetryAfter is the retry delay sent to callers whose entry could not be
// journaled.
const journalRetryAfter = time.Second

// jobService proposes callers' jobs and cancellations to the data centre's stream.
type jobService struct {
	cellState *cell.StateMachine
	proposer  journal.Proposer
	validate  func(api.JobSpec) (api.JobSpec, error) // validates a job and sets its defaults
	now       func() time.Time
}

// Submit implements front.Jobs. A job that is already known with the same
// specification was accepted before: a repeated submission gets the same answer.
func (j jobService) Submit(ctx context.Context, spec api.JobSpec) error {
	spec, err := j.validate(spec)
	if err != nil {
		return api.NotRun(api.ReasonMalformed, 0, err.Error())
	}
	return refusalOf(j.proposer.Propose(ctx, cell.SubmitEntry(spec, j.now().UnixMilli())))
}

// Cancel implements front.Jobs.
func (j jobService) Cancel(ctx context.Context, id api.JobID) error {
	if _, ok := j.cellState.Job(id); !ok {
		return api.NotRun(api.ReasonUnknownJob, 0, fmt.Sprintf("no job %q here", id))
	}
	return refusalOf(j.proposer.Propose(ctx, cell.CancelEntry([]api.JobID{id}, j.now().UnixMilli())))
}

// Status implements front.Jobs.
func (j jobService) Status(_ context.Context, id api.JobID) (front.JobStatus, error) {
	view, ok := j.cellState.Job(id)
	if !ok {
		return front.JobStatus{}, api.NotRun(api.ReasonUnknownJob, 0, fmt.Sprintf("no job %q here", id))
	}
	status := front.JobStatus{Spec: view.Spec, Tasks: make(map[string]uint32, len(view.Counts))}
	for state, n := range view.Counts {
		if n > 0 {
			status.Tasks[api.TaskState(state).String()] = n
		}
	}
	if e, ok := j.cellState.Explain(id); ok && e.Wait != nil {
		status.Reason, status.Detail = e.Wait.Reason, e.Wait.Detail
	}
	return status, nil
}

// refusalOf converts the result of a proposal to the answer for the caller.
func refusalOf(err error) error {
	var rejected *cell.Rejection
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejected):
		return api.NotRun(rejected.Reason, 0, rejected.Detail)
	case errors.Is(err, journal.ErrNotWritten):
		return api.NotRun(api.ReasonJournalUnavailable, journalRetryAfter, err.Error())
	default:
		return api.Unknown(api.ReasonJournalUnsettled, err.Error())
	}
}
