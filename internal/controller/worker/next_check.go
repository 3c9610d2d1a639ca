package worker

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// overrunDivisor sets the minimum interval between checks of a task that overruns
// its declared run time: the declared run time divided by overrunDivisor. It limits
// the exchanges that a wrong declaration causes.
const overrunDivisor = 8

// untilNextCheck returns how long after a report to check whether a running task has
// ended. The first check is at the end of the declared run time. Later intervals
// grow, because a task that overruns by little is more likely to end soon.
func untilNextCheck(declared, ranFor time.Duration) time.Duration {
	if left := declared - ranFor; left > 0 {
		return left
	}
	return max(ranFor-declared, declared/overrunDivisor)
}

// scheduleNextCheck determines from a report when to check the tasks on the VM
// next. The VM must be locked.
func (c *Controller) scheduleNextCheck(v *vm, now time.Time, allocated []cell.AllocatedTask, reported map[lease.Attempt]platform.TaskReport) {
	interval, hasStops := v.cfg.Interval, false
	for _, task := range allocated {
		r, ok := reported[attemptOf(task)]
		if !ok || r.State != platform.RunRunning {
			continue
		}
		if task.State == api.TaskStopping {
			hasStops = true
			continue
		}
		if job, ok := c.machine.Job(task.Task.Job); ok && job.Spec.RunTime > 0 {
			interval = min(interval, untilNextCheck(job.Spec.RunTime, r.RunFor))
		}
	}
	v.stopCheckInterval = v.nextStopCheckInterval(hasStops)
	if hasStops {
		interval = min(interval, v.stopCheckInterval)
	}
	v.nextCheck = now.Add(interval)
}

// nextStopCheckInterval returns the interval until the next check of stops that were
// ordered and have not taken effect. It doubles with each check.
func (v *vm) nextStopCheckInterval(hasStops bool) time.Duration {
	switch {
	case !hasStops:
		return 0
	case v.stopCheckInterval == 0:
		return v.cfg.MinInterval
	}
	return min(2*v.stopCheckInterval, v.cfg.Interval)
}
