package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Names of the counters of jobs. They count since the process started.
const (
	withdrawnJobs = "withdrawn"     // removed from the planner, since their submissions were not stored
	keptJobs      = "kept"          // submissions given up whose jobs another machine had stored
	confirmedJobs = "stored_before" // records that were stored already when they were submitted
	missingJobs   = "missing"       // stored jobs that the planner didn't know
)

// missingSightings is the number of successive checks in which the planner must lack a job. The replica applies a
// record a moment before the planner is told of it.
const missingSightings = 2

// planMissingJobs adds the stored jobs to the cell that it should know and doesn't. There are none unless a job was
// lost between the replica and the planner.
func (r *Runner) planMissingJobs() {
	unfinished := r.cfg.Replica.UnfinishedJobs()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sightings := make(map[work.ID]int)
	for _, id := range unfinished {
		if r.cell.Knows(id) {
			continue
		}
		sightings[id] = r.missingSightings[id] + 1
		if sightings[id] != missingSightings {
			continue
		}
		e, _ := r.cfg.Replica.Get(id)
		if e.Job == nil || e.State().Final() {
			continue
		}
		added := r.cell.AddJob(e.Job, e.Progress, now.UnixMilli(), now)
		r.cfg.JobCounters.Add(missingJobs, 1)
		r.cfg.Logger.WithFields(logrus.Fields{
			"job": id, "state": e.State(), "has_progress": e.Progress != nil, "planned_now": added, "record_offset": e.Offset(),
		}).Error("stored job was missing from the planner")
	}
	r.missingSightings = sightings
}
