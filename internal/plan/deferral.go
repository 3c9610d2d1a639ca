package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An unconfirmed order may be carried out late and, where IDs are reused, by a later
// incarnation of the executor than the one that it was sent to. A ticket binds an order to
// one incarnation. Without a ticket nothing in the order does, since the later incarnation
// knows neither token nor run and its clock may be behind. A task with an unsettled order
// is deferred until the order can't be carried out any more.

// setOrderExpiry sets until when the order of an allocation that is sent now may be carried
// out.
func (c *Cell) setOrderExpiry(alloc *allocation, now time.Time) {
	alloc.orderExpiry = now.Add(c.cfg.MaxOrderDelay)
	if alloc.ticketBound {
		alloc.orderExpiry = alloc.task.step.advice.tickets[alloc.vm].validUntil.Add(c.cfg.TicketMargin)
	}
}

// setInheritedOrderExpiry sets until when the order of a former leader may be carried out.
// That leader may still send it.
func (c *Cell) setInheritedOrderExpiry(alloc *allocation, now time.Time) {
	validity := c.cfg.MaxOrderDelay
	if q := c.queueOf(alloc.task.step.job); q != nil && q.Advice != nil {
		alloc.ticketBound = true
		validity = q.Advice.TicketValidity
	}
	alloc.orderExpiry = now.Add(c.cfg.FormerLeaderRenewal + validity)
}

// startDeferral says when a deferred task may start again.
type startDeferral struct {
	order       *allocation // whose run may yet start; it counts in the usage of its workspace
	reportAfter time.Time   // a complete list of the ends up to a report that arrives after this time settles the order
	expires     time.Time   // from this time on the order and its run are certainly over; the end of the run may not be listed yet
}

// deferTask defers the task of a run that has ended until it is certain that no incarnation
// of the executor carries out its order. An incarnation that is in contact refuses the
// ticket of another one. A run that an unresponsive one has started may last as long as the
// longest lease.
func (c *Cell) deferTask(alloc *allocation, unresponsive bool) {
	t := alloc.task
	if t == nil || t.phase != work.Pending || t.lastRun != alloc.run.Number || t.step.job.state.Final() {
		return
	}
	reusesID := t.incarnation.StartTimeMs != 0 || alloc.vm.Ref.StartTimeMs != 0
	if !reusesID || alloc.orderExpiry.IsZero() || alloc.ticketBound && !unresponsive {
		return
	}
	d := &startDeferral{order: alloc, reportAfter: alloc.orderExpiry, expires: alloc.orderExpiry.Add(c.cfg.maxLeaseDuration())}
	if alloc.ticketBound {
		d.reportAfter = c.now
	}
	if !d.expires.After(c.now) {
		return
	}
	t.deferral = d
	d.order.workspace.add(d.order)
	c.deferredTasks = append(c.deferredTasks, t)
	c.markDirty(t.step.job)
}

// endDeferral ends the deferral of a task.
func (t *task) endDeferral() {
	if d := t.deferral; d != nil {
		t.deferral = nil
		d.order.workspace.remove(d.order)
	}
}

// releaseDeferred lets deferred tasks start again whose orders are settled.
func (c *Cell) releaseDeferred(now time.Time) {
	c.deferredTasks = slices.DeleteFunc(c.deferredTasks, func(t *task) bool {
		if t.deferral == nil {
			return true
		}
		if !c.isOrderSettled(t, now) {
			return false
		}
		t.endDeferral()
		if !t.step.job.state.Final() {
			c.markDirty(t.step.job)
			c.requeue(t.step)
		}
		return true
	})
}

// isOrderSettled reports whether the order of a deferred task is not carried out any more, and all ends that
// may be of its run are known.
func (c *Cell) isOrderSettled(t *task, now time.Time) bool {
	d := t.deferral
	v := c.vms[t.incarnation.ID]
	if v != nil && v.ends.Complete().ArrivedAt.After(d.reportAfter) {
		return true
	}
	isReporting := v != nil && v.reportedAt.After(d.reportAfter) && !v.leaseExpired(now, c.cfg.ClockDrift)
	return !isReporting && !now.Before(d.expires)
}

// adoptDeferredRun allocates a run that an executor lists if its task is deferred because
// of this run, and returns nil otherwise.
func (c *Cell) adoptDeferredRun(v *vm, run platform.Run) *allocation {
	t := c.findTask(run.Task)
	if t == nil || t.deferral == nil || t.lastRun != run.Number || t.step.spec.Gang {
		return nil
	}
	t.endDeferral()
	t.phase = work.Started
	t.incarnation = v.Ref.Incarnation()
	alloc := &allocation{run: run, task: t, resources: t.step.spec.TaskResources, workspace: t.step.job.workspace, expectedEnd: c.now.Add(t.step.spec.Estimate)}
	v.addAllocation(alloc)
	c.markDirty(t.step.job)
	return alloc
}
