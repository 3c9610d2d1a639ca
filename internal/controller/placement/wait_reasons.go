package placement

import (
	"maps"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// updateWaitReasons publishes why jobs wait. A plan names only the jobs that the cycle
// evaluated again, so earlier reasons remain until the job is dropped. The state machine
// shows them only while the job has pending tasks.
func (f *stateFeed) updateWaitReasons(plan scheduler.Plan) {
	changed := f.waitReasonDropped
	f.waitReasonDropped = false
	for _, w := range plan.Waiting {
		changed = f.setWaitReason(w, false) || changed
	}
	for _, w := range plan.Infeasible {
		changed = f.setWaitReason(w, true) || changed
	}
	if changed {
		f.controller.machine.SetWaitReasons(maps.Clone(f.waitReasons))
	}
}

// setWaitReason sets why a job waits and reports whether that has changed.
func (f *stateFeed) setWaitReason(w scheduler.WaitingJob, neverFits bool) bool {
	reason := cell.WaitReason{Reason: w.Reason, Detail: w.Detail, NeverFits: neverFits}
	if f.waitReasons[w.Job] == reason {
		return false
	}
	f.waitReasons[w.Job] = reason
	return true
}

// dropWaitReason drops why a job waited.
func (f *stateFeed) dropWaitReason(id api.JobID) {
	if _, known := f.waitReasons[id]; known {
		delete(f.waitReasons, id)
		f.waitReasonDropped = true
	}
}
