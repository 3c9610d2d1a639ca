package worker

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// exchange performs one exchange with a VM and journals the changes it reports.
func (c *Controller) exchange(ctx context.Context, v *vm, timeout time.Duration) {
	defer v.endExchange()
	v.changed.Store(false)
	allocated := c.machine.TasksOnVM(v.id)
	v.mu.Lock()
	address := v.address
	msg, sent, ok := c.buildSync(v, allocated)
	v.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := c.send(ctx, v, address, msg)
	now := c.clock()
	if err != nil {
		c.handleFailure(v, sent, err)
		c.expireLease(v, now, allocated)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	restarted := sent.grant.Incarnation != 0 && report.Incarnation != sent.grant.Incarnation
	if !v.tracker.ApplyReport(now, sent.grant.ExchangeID, report) {
		c.counters.Inc(counterGroup, "report_out_of_order")
		return
	}
	v.recordReport(now, report)
	c.compareReport(v, allocated, report, restarted)
	if sent.grant.Expiry == 0 {
		v.changed.Store(true) // the first exchange renewed no lease and carried no orders
	}
}

// sentSync holds the lease grant and the starts of an exchange.
type sentSync struct {
	grant  lease.Grant
	starts []lease.Attempt
}

// buildSync builds the message of an exchange. The VM must be locked.
func (c *Controller) buildSync(v *vm, allocated []cell.AllocatedTask) (platform.WorkerSync, sentSync, bool) {
	msg := platform.WorkerSync{Epoch: v.tenure.epoch}
	var sent sentSync
	if v.tracker.Incarnation() != 0 {
		for _, task := range allocated {
			a := attemptOf(task)
			if task.State == api.TaskStarting && !v.tracker.Known(a) {
				msg.Starts = append(msg.Starts, c.taskStart(task))
				sent.starts = append(sent.starts, a)
			}
		}
		msg.Stops = c.buildStops(v, allocated)
	}
	grant, ok := v.tracker.BuildGrant(sent.starts)
	sent.grant = grant
	msg.Incarnation = grant.Incarnation
	msg.LeaseExpiry = grant.Expiry
	return msg, sent, ok
}

func attemptOf(task cell.AllocatedTask) lease.Attempt {
	return lease.Attempt{Task: task.Task, Attempt: task.Attempt}
}

func (c *Controller) taskStart(task cell.AllocatedTask) platform.TaskStart {
	job, _ := c.machine.Job(task.Task.Job)
	return platform.TaskStart{
		Task:      task.Task,
		Attempt:   task.Attempt,
		Resources: task.Resources,
		RunTime:   job.Spec.RunTime,
		Restore:   task.HasCheckpoint,
		Payload:   job.Spec.Payload,
	}
}

// buildStops returns the throttles and stops for a VM: the stops ordered by the log,
// and a StopKill for each reported attempt that no longer holds the VM in the log.
// For an attempt that has ended, the StopKill acknowledges the end and lets the VM
// forget the attempt.
func (c *Controller) buildStops(v *vm, allocated []cell.AllocatedTask) []platform.TaskStop {
	stops := c.observer.TakeThrottles(v.id)
	isAllocated := make(map[lease.Attempt]bool, len(allocated))
	for _, task := range allocated {
		a := attemptOf(task)
		isAllocated[a] = true
		if task.State == api.TaskStopping && v.tracker.Known(a) {
			stops = append(stops, platform.TaskStop{Task: task.Task, Attempt: task.Attempt, Mode: stopMode(task)})
		}
	}
	if v.report != nil {
		for _, r := range v.report.Tasks {
			if !isAllocated[lease.Attempt{Task: r.Task, Attempt: r.Attempt}] {
				stops = append(stops, platform.TaskStop{Task: r.Task, Attempt: r.Attempt, Mode: platform.StopKill})
			}
		}
	}
	v.tracker.Prune(func(a lease.Attempt) bool { return isAllocated[a] })
	return stops
}

func stopMode(task cell.AllocatedTask) platform.StopMode {
	if task.CheckpointOnStop {
		return platform.StopCheckpoint
	}
	return platform.StopKill
}

// errSuperseded is returned for a message that was built but must not be sent any more.
var errSuperseded = errors.New("worker: hold not confirmed at the time of sending")

// send confirms the hold on the cell shard after the message was built. A pause
// before this check cancels the message; for a pause after it, the message carries
// its own lease expiry.
func (c *Controller) send(ctx context.Context, v *vm, address api.VM, msg platform.WorkerSync) (platform.WorkerReport, error) {
	if address.Address == "" {
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	}
	epoch, ok, takeover := c.auth.Cell(c.clock())
	if !ok || (tenure{epoch: epoch, takeover: takeover}) != v.tenure {
		return platform.WorkerReport{}, errSuperseded
	}
	return c.workers.Sync(ctx, address, msg)
}

// handleFailure counts a failed exchange and reverts starts that were certainly not
// delivered.
func (c *Controller) handleFailure(v *vm, sent sentSync, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures++
	reason := api.Reason("uncertain")
	switch {
	case errors.Is(err, errSuperseded):
		reason = "superseded"
		v.tracker.RevertStarts(sent.starts)
	case errors.Is(err, platform.ErrWorkerUnreachable):
		reason = "unreachable"
		v.tracker.RevertStarts(sent.starts)
	case errors.Is(err, platform.ErrWorkerFenced):
		reason = "fenced" // a newer holder exists, so the starts are not sent again
	}
	c.counters.Inc(counterGroup, reason)
	if v.failures == 1 {
		c.log.WithFields(logrus.Fields{"vm": v.id, "reason": reason, "error": err}).Warn("worker_sync_failed")
	}
}

// expireLease reports all tasks of a VM as lost if its lease has certainly expired.
func (c *Controller) expireLease(v *vm, now time.Time, allocated []cell.AllocatedTask) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.tracker.Expired(now) {
		return
	}
	v.leaseExpired = true
	for _, task := range allocated {
		v.tracker.MarkEnded(attemptOf(task))
		c.batcher.add(cell.Report{Task: task.Task, Attempt: task.Attempt, Status: cell.AttemptLost, Reason: api.ReasonLeaseExpired}, task)
	}
}

// recordReport records that the VM has answered with report. The VM must be locked.
func (v *vm) recordReport(now time.Time, report platform.WorkerReport) {
	v.answeredAt = now
	v.failures = 0
	v.leaseExpired = false
	v.leaving = report.Leaving
	v.report = &report
}

// compareReport compares a report with the state of the log before the exchange and
// journals the differences. The VM must be locked.
func (c *Controller) compareReport(v *vm, allocated []cell.AllocatedTask, report platform.WorkerReport, restarted bool) {
	reported := make(map[lease.Attempt]platform.TaskReport, len(report.Tasks))
	for _, r := range report.Tasks {
		reported[lease.Attempt{Task: r.Task, Attempt: r.Attempt}] = r
		c.observer.ObserveReport(v.id, r)
	}
	c.scheduleNextCheck(v, v.answeredAt, allocated, reported)
	for _, task := range allocated {
		a := attemptOf(task)
		if r, ok := reported[a]; ok {
			c.reportChange(task, r)
			continue
		}
		if task.State == api.TaskStarting && !v.tracker.Known(a) {
			continue // the next exchange will send the start
		}
		if v.tracker.ConfirmMissing(a) {
			c.batcher.add(cell.Report{Task: task.Task, Attempt: task.Attempt, Status: cell.AttemptLost, Reason: missingReason(task, restarted)}, task)
		}
	}
}

func missingReason(task cell.AllocatedTask, restarted bool) api.Reason {
	switch {
	case task.State == api.TaskStopping:
		return task.Reason
	case restarted:
		return api.ReasonWorkerRestart
	}
	return api.ReasonWorkerLost
}

// reportChange journals the change of status in the report of an attempt, if any.
func (c *Controller) reportChange(task cell.AllocatedTask, r platform.TaskReport) {
	report := cell.Report{Task: task.Task, Attempt: task.Attempt}
	switch r.State {
	case platform.RunRunning:
		if task.State != api.TaskStarting {
			return
		}
		report.Status = cell.AttemptRunning
	case platform.RunSucceeded:
		report.Status = cell.AttemptSucceeded
	case platform.RunFailed:
		report.Status = cell.AttemptFailed
		report.Reason = api.ReasonTaskFailed
	case platform.RunCheckpointed:
		report.Status = cell.AttemptCheckpointed
	case platform.RunKilled:
		report.Status = cell.AttemptKilled
		if task.State != api.TaskStopping {
			report.Reason = api.ReasonLeaseExpired
		}
	default:
		c.counters.Inc(counterGroup, "unknown_run_state")
		return
	}
	c.batcher.add(report, task)
}

// endedStatus returns the final status of the attempt of an EventTaskFreed, as far as
// the event shows it.
func endedStatus(e cell.Event) cell.AttemptStatus {
	switch {
	case e.State == api.TaskFinished:
		return cell.AttemptSucceeded
	case e.Reason == api.ReasonTaskFailed || e.Reason == api.ReasonFailsEverywhere:
		return cell.AttemptFailed
	case e.Reason == api.ReasonWorkerLost || e.Reason == api.ReasonLeaseExpired || e.Reason == api.ReasonWorkerRestart:
		return cell.AttemptLost
	}
	return cell.AttemptKilled
}
