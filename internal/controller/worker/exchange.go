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

// exchange does one exchange with a VM and journals what it brought.
func (c *Controller) exchange(ctx context.Context, v *vm, timeout time.Duration) {
	defer v.done()
	v.changed.Store(false)
	held := c.machine.TasksOnVM(v.id)
	v.mu.Lock()
	address := v.address
	msg, out, ok := c.compose(v, held)
	v.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := c.send(ctx, v, address, msg)
	now := c.clock()
	if err != nil {
		c.failed(v, out, err)
		c.lapse(v, now, held)
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	restarted := out.grant.Incarnation != 0 && report.Incarnation != out.grant.Incarnation
	if !v.tracker.ApplyReport(now, out.grant.ExchangeID, report) {
		c.counters.Inc(counterGroup, "report_out_of_order")
		return
	}
	v.answered(now, report)
	c.judge(v, held, report, restarted)
	if out.grant.Expiry == 0 {
		v.changed.Store(true) // the first contact renewed and told nothing
	}
}

// outgoing is what an exchange was built from.
type outgoing struct {
	grant  lease.Grant
	starts []lease.Attempt
}

// compose builds the message. It needs the VM locked.
func (c *Controller) compose(v *vm, held []cell.AllocatedTask) (platform.WorkerSync, outgoing, bool) {
	msg := platform.WorkerSync{Epoch: v.tenure.epoch}
	var out outgoing
	if v.tracker.Incarnation() != 0 {
		for _, h := range held {
			a := attemptOf(h)
			if h.State == api.TaskStarting && !v.tracker.Known(a) {
				msg.Starts = append(msg.Starts, c.startOf(h))
				out.starts = append(out.starts, a)
			}
		}
		msg.Stops = c.stops(v, held)
	}
	grant, ok := v.tracker.BuildGrant(out.starts)
	out.grant = grant
	msg.Incarnation = grant.Incarnation
	msg.LeaseExpiry = grant.Expiry
	return msg, out, ok
}

func attemptOf(h cell.AllocatedTask) lease.Attempt {
	return lease.Attempt{Task: h.Task, Attempt: h.Attempt}
}

func (c *Controller) startOf(h cell.AllocatedTask) platform.TaskStart {
	job, _ := c.machine.Job(h.Task.Job)
	return platform.TaskStart{
		Task:      h.Task,
		Attempt:   h.Attempt,
		Resources: h.Resources,
		RunTime:   job.Spec.RunTime,
		Restore:   h.HasCheckpoint,
		Payload:   job.Spec.Payload,
	}
}

// stops orders what the log wants stopped, and lets the VM forget the
// attempts that, by the log, it no longer holds: a StopKill for an attempt
// that ended acknowledges its end.
func (c *Controller) stops(v *vm, held []cell.AllocatedTask) []platform.TaskStop {
	stops := c.observer.TakeThrottles(v.id)
	holds := make(map[lease.Attempt]bool, len(held))
	for _, h := range held {
		a := attemptOf(h)
		holds[a] = true
		if h.State == api.TaskStopping && v.tracker.Known(a) {
			stops = append(stops, platform.TaskStop{Task: h.Task, Attempt: h.Attempt, Mode: stopMode(h)})
		}
	}
	if v.report != nil {
		for _, r := range v.report.Tasks {
			if !holds[lease.Attempt{Task: r.Task, Attempt: r.Attempt}] {
				stops = append(stops, platform.TaskStop{Task: r.Task, Attempt: r.Attempt, Mode: platform.StopKill})
			}
		}
	}
	v.tracker.Prune(func(a lease.Attempt) bool { return holds[a] })
	return stops
}

func stopMode(h cell.AllocatedTask) platform.StopMode {
	if h.CheckpointOnStop {
		return platform.StopCheckpoint
	}
	return platform.StopKill
}

// errSuperseded: the message was built, but may not be sent any more.
var errSuperseded = errors.New("worker: hold not confirmed at the time of sending")

// send checks the hold after the message was built, so that a pause before
// the check costs the message and a pause after it is covered by the expiry
// in the message.
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

// failed counts a failed exchange and takes back starts that were certainly
// not delivered.
func (c *Controller) failed(v *vm, out outgoing, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failures++
	reason := api.Reason("uncertain")
	switch {
	case errors.Is(err, errSuperseded):
		reason = "superseded"
		v.tracker.RevertStarts(out.starts)
	case errors.Is(err, platform.ErrWorkerUnreachable):
		reason = "unreachable"
		v.tracker.RevertStarts(out.starts)
	case errors.Is(err, platform.ErrWorkerFenced):
		reason = "fenced" // a newer holder is about: nothing is told again
	}
	c.counters.Inc(counterGroup, reason)
	if v.failures == 1 {
		c.log.WithFields(logrus.Fields{"vm": v.id, "reason": reason, "error": err}).Warn("worker_sync_failed")
	}
}

// lapse gives up what a VM held when its lease has certainly lapsed.
func (c *Controller) lapse(v *vm, now time.Time, held []cell.AllocatedTask) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.tracker.Expired(now) {
		return
	}
	v.lapsed = true
	for _, h := range held {
		v.tracker.MarkEnded(attemptOf(h))
		c.journal.add(cell.Report{Task: h.Task, Attempt: h.Attempt, Status: cell.AttemptLost, Reason: api.ReasonLeaseExpired}, h)
	}
}

// answered notes a report. It needs the VM locked.
func (v *vm) answered(now time.Time, report platform.WorkerReport) {
	v.answeredAt = now
	v.failures = 0
	v.lapsed = false
	v.leaving = report.Leaving
	v.report = &report
}

// judge compares a report with what the log said before the exchange. It
// needs the VM locked.
func (c *Controller) judge(v *vm, held []cell.AllocatedTask, report platform.WorkerReport, restarted bool) {
	reported := make(map[lease.Attempt]platform.TaskReport, len(report.Tasks))
	for _, r := range report.Tasks {
		reported[lease.Attempt{Task: r.Task, Attempt: r.Attempt}] = r
		c.observer.ObserveReport(v.id, r)
	}
	c.expectEnds(v, v.answeredAt, held, reported)
	for _, h := range held {
		a := attemptOf(h)
		if r, ok := reported[a]; ok {
			c.present(h, r)
			continue
		}
		if h.State == api.TaskStarting && !v.tracker.Known(a) {
			continue // to be told with the next exchange
		}
		if v.tracker.ConfirmMissing(a) {
			c.journal.add(cell.Report{Task: h.Task, Attempt: h.Attempt, Status: cell.AttemptLost, Reason: missingReason(h, restarted)}, h)
		}
	}
}

func missingReason(h cell.AllocatedTask, restarted bool) api.Reason {
	switch {
	case h.State == api.TaskStopping:
		return h.Reason
	case restarted:
		return api.ReasonWorkerRestart
	}
	return api.ReasonWorkerLost
}

// present journals the change that a report of an attempt makes.
func (c *Controller) present(h cell.AllocatedTask, r platform.TaskReport) {
	report := cell.Report{Task: h.Task, Attempt: h.Attempt}
	switch r.State {
	case platform.RunRunning:
		if h.State != api.TaskStarting {
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
		if h.State != api.TaskStopping {
			report.Reason = api.ReasonLeaseExpired
		}
	default:
		c.counters.Inc(counterGroup, "unknown_run_state")
		return
	}
	c.journal.add(report, h)
}

// endingOf gives the ending that led to an event, as far as it shows.
func endingOf(e cell.Event) cell.AttemptStatus {
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
