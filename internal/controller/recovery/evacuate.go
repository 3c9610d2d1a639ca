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

// Cell is one data centre's cell as an evacuation sees it.
type Cell struct {
	DataCentre api.DataCentre
	Machine    *cell.StateMachine
	Proposer   journal.Proposer
	Authority  controller.Authority // of the lost cell; nil for the one that takes over
}

// MaxMovedJobs bounds the jobs moved with one entry.
const MaxMovedJobs = 200

// Evacuate moves at most MaxMoves jobs that wait in a lost data centre to
// another: it ends them there, submits them here and confirms that, in this
// order. Each step may be repeated by any later holder; a job arrives once.
// What still holds a VM waits until its lease has certainly lapsed. It
// returns how many jobs arrived.
func Evacuate(ctx context.Context, lost, target Cell, now time.Time, log logrus.FieldLogger) (int, error) {
	epoch, ok, _ := lost.Authority.Cell(now)
	if !ok {
		return 0, nil
	}
	if jobs := movable(lost.Machine, target.DataCentre); len(jobs) > 0 {
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

// movable lists the jobs to move next, in the order in which lost work is
// placed again.
func movable(m *cell.StateMachine, to api.DataCentre) []api.JobID {
	var views []cell.JobView
	for _, id := range m.Jobs() {
		view, ok := m.Job(id)
		if ok && mayMove(view, to) {
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

func mayMove(v cell.JobView, to api.DataCentre) bool {
	held := v.Counts[api.TaskStarting] + v.Counts[api.TaskRunning] + v.Counts[api.TaskStopping]
	if v.Cancelled || v.Ended || held > 0 || v.Counts[api.TaskPending] == 0 {
		return false
	}
	for _, dc := range v.Spec.DataCentres {
		if dc == to {
			return true
		}
	}
	return len(v.Spec.DataCentres) == 0
}

// submitMoved submits the moved jobs in order and stops at the first that
// can't be.
func submitMoved(ctx context.Context, lost, target Cell, now time.Time) ([]api.JobID, error) {
	var arrived []api.JobID
	for _, moving := range lost.Machine.UnconfirmedMoves() {
		if moving.To != target.DataCentre {
			continue
		}
		err := target.Proposer.Propose(ctx, cell.SubmitMovedEntry(moving, lost.DataCentre, now.UnixMilli()))
		if err != nil && !arrivedBefore(err) {
			return arrived, err
		}
		arrived = append(arrived, moving.Spec.ID)
	}
	return arrived, nil
}

func arrivedBefore(err error) bool {
	var r *cell.Rejection
	return errors.As(err, &r) && r.Reason == api.ReasonDuplicate
}
