package placement

import (
	"maps"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// noteWaits passes on why jobs wait. A plan names only the jobs whose verdict
// it worked out anew, so earlier notes stand until the job is dropped; the
// machine shows them only while the job has pending tasks.
func (f *feed) noteWaits(plan scheduler.Plan) {
	changed := f.dropped
	f.dropped = false
	for _, w := range plan.Waiting {
		changed = f.noteWait(w, false) || changed
	}
	for _, w := range plan.Infeasible {
		changed = f.noteWait(w, true) || changed
	}
	if changed {
		f.c.machine.SetWaitReasons(maps.Clone(f.waits))
	}
}

// noteWait notes why a job waits and reports whether that is news.
func (f *feed) noteWait(w scheduler.WaitingJob, never bool) bool {
	note := cell.WaitReason{Reason: w.Reason, Detail: w.Detail, NeverFits: never}
	if f.waits[w.Job] == note {
		return false
	}
	f.waits[w.Job] = note
	return true
}

// dropWait forgets why a job waited.
func (f *feed) dropWait(id api.JobID) {
	if _, noted := f.waits[id]; noted {
		delete(f.waits, id)
		f.dropped = true
	}
}
