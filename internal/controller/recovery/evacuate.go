package recovery

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Cell is the cell of one data centre in an evacuation.
type Cell struct {
	DataCentre api.DataCentre
	Machine    *cell.StateMachine
	Proposer   journal.Proposer
	Authority  controller.Authority // needed only for the lost cell; nil for the target
}

// MaxMovedJobs is the maximum number of jobs moved with one entry.
const MaxMovedJobs = 200

// Evacuate moves up to MaxMovedJobs waiting jobs from a lost data centre to another
// one and returns how many arrived. It ends the jobs in the lost cell, submits them to
// the target cell and confirms the moves, in this order. Any later holder may repeat
// each step; a job arrives only once. Jobs with a task that holds a VM are not moved
// until its lease has certainly expired.
func Evacuate(ctx context.Context, lost, target Cell, now time.Time, log logrus.FieldLogger) (int, error) {
	epoch, ok, _ := lost.Authority.Cell(now)
	if !ok {
		return 0, nil
	}
	if jobs := movableJobs(lost.Machine, target.DataCentre); len(jobs) > 0 {
		if err := lost.Proposer.Propose(ctx, lost.Machine.MoveJobsEntry(epoch, target.DataCentre, jobs)); err != nil {
			return 0, err
		}
	}
	arrived, err := submitMoved(ctx, lost, target, now)
	if len(arrived) == 0 {
		return 0, err
	}
	if confirmErr := lost.Proposer.Propose(ctx, lost.Machine.ConfirmMovesEntry(epoch, arrived)); confirmErr != nil {
		return 0, confirmErr
	}
	log.WithFields(logrus.Fields{"from": lost.DataCentre, "to": target.DataCentre, "jobs": len(arrived)}).Info("jobs_evacuated")
	return len(arrived), err
}

// movableJobs returns the jobs to move next, in the order in which lost tasks are
// placed again.
func movableJobs(m *cell.StateMachine, to api.DataCentre) []api.JobID {
	var views []cell.JobView
	for _, id := range m.Jobs() {
		view, ok := m.Job(id)
		if ok && isMovable(view, to) {
			views = append(views, view)
		}
	}
	Sort(views, func(v cell.JobView) Order { return OrderOf(v, api.TaskID{Job: v.Spec.ID}) })
	ids := make([]api.JobID, 0, MaxMovedJobs)
	for _, v := range views[:min(len(views), MaxMovedJobs)] {
		ids = append(ids, v.Spec.ID)
	}
	return ids
}

func isMovable(v cell.JobView, to api.DataCentre) bool {
	allocated := v.Counts[api.TaskStarting] + v.Counts[api.TaskRunning] + v.Counts[api.TaskStopping]
	if v.Cancelled || v.Ended || allocated > 0 || v.Counts[api.TaskPending] == 0 {
		return false
	}
	for _, dc := range v.Spec.DataCentres {
		if dc == to {
			return true
		}
	}
	return len(v.Spec.DataCentres) == 0
}

// submitMoved submits the moved jobs in order and stops at the first failure. It
// returns the jobs that have arrived.
func submitMoved(ctx context.Context, lost, target Cell, now time.Time) ([]api.JobID, error) {
	var arrived []api.JobID
	for _, moved := range lost.Machine.UnconfirmedMoves() {
		if moved.To != target.DataCentre {
			continue
		}
		err := target.Proposer.Propose(ctx, cell.SubmitMovedEntry(moved, lost.DataCentre, now.UnixMilli()))
		if err != nil && !isDuplicate(err) {
			return arrived, err
		}
		arrived = append(arrived, moved.Spec.ID)
	}
	return arrived, nil
}

// isDuplicate reports whether a submission was rejected because the job arrived before.
func isDuplicate(err error) bool {
	var r *cell.Rejection
	return errors.As(err, &r) && r.Reason == api.ReasonDuplicate
}
