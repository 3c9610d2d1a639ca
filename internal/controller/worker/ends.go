package worker

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// overrunShare is the share of a task's declared run time after which a task
// that overruns it is looked at again, at the earliest. It bounds the
// exchanges that a wrong declaration costs.
const overrunShare = 8

// untilEnd is how long after a report to look whether a running task has
// ended: when its declared run time is over, and then at growing intervals,
// since a task that overruns by a little is likelier to end soon.
func untilEnd(declared, ranFor time.Duration) time.Duration {
	if left := declared - ranFor; left > 0 {
		return left
	}
	return max(ranFor-declared, declared/overrunShare)
}

// expectEnds works out from a report when to look at the VM next. It needs
// the VM locked.
func (c *Controller) expectEnds(v *vm, now time.Time, held []cell.AllocatedTask, reported map[lease.Attempt]platform.TaskReport) {
	soonest, stopping := v.cfg.Interval, false
	for _, h := range held {
		r, ok := reported[attemptOf(h)]
		if !ok || r.State != platform.RunRunning {
			continue
		}
		if h.State == api.TaskStopping {
			stopping = true
			continue
		}
		if job, ok := c.machine.Job(h.Task.Job); ok && job.Spec.RunTime > 0 {
			soonest = min(soonest, untilEnd(job.Spec.RunTime, r.RunFor))
		}
	}
	v.stopGap = v.nextStopGap(stopping)
	if stopping {
		soonest = min(soonest, v.stopGap)
	}
	v.look = now.Add(soonest)
}

// nextStopGap is the time after which to look at stops that were told and
// have not taken effect: it doubles with each look.
func (v *vm) nextStopGap(stopping bool) time.Duration {
	switch {
	case !stopping:
		return 0
	case v.stopGap == 0:
		return v.cfg.MinInterval
	}
	return min(2*v.stopGap, v.cfg.Interval)
}
