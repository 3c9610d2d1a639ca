package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An order without an answer may be carried out late, and where ids are reused by a later life
// of the executor than it was sent to. A ticket binds an order to one life; without one
// nothing in the order does, since the later life knows neither token nor run and its clock
// may be behind. A task whose order isn't settled is held back until it can't be carried
// out any more.

// openOrder notes until when the order of a claim may be carried out that is sent now.
func (c *Cell) openOrder(cl *claim, now time.Time) {
	cl.openUntil = now.Add(c.cfg.MaxOrderDelay)
	if cl.bound {
		cl.openUntil = cl.task.step.advice.tickets[cl.vm].until.Add(c.cfg.TicketMargin)
	}
}

// inheritOrder does so for an order of a former leader, which may yet be sent.
func (c *Cell) inheritOrder(cl *claim, now time.Time) {
	lasts := c.cfg.MaxOrderDelay
	if q := c.queue(cl.task.step.job); q != nil && q.Advice != nil {
		cl.bound = true
		lasts = q.Advice.Valid
	}
	cl.openUntil = now.Add(c.cfg.FormerLeaderRenewal + lasts)
}

// heldBack is what keeps a task from starting.
type heldBack struct {
	heard time.Time // a report that comes after this settles it
	until time.Time // when it is certainly over in any case
}

// holdBack keeps the task of a run that is over from starting until it is certain that no
// life of the executor carries out its order. A life that is in touch refuses the ticket of
// another one; what one that is silent has begun may last as long as the longest lease.
func (c *Cell) holdBack(cl *claim, silent bool) {
	t := cl.task
	if t == nil || t.phase != work.Pending || t.run != cl.run.Number || t.step.job.state.Final() {
		return
	}
	reusesID := t.vm.Born != 0 || cl.vm.Ref.Born != 0
	if !reusesID || cl.openUntil.IsZero() || cl.bound && !silent {
		return
	}
	held := &heldBack{heard: cl.openUntil, until: cl.openUntil.Add(c.cfg.longestLease())}
	if cl.bound {
		held.heard = c.now
	}
	if !held.until.After(c.now) {
		return
	}
	t.held = held
	c.held = append(c.held, t)
	c.mark(t.step.job)
}

// releaseHeldBack lets tasks start again whose orders are settled.
func (c *Cell) releaseHeldBack(now time.Time) {
	c.held = slices.DeleteFunc(c.held, func(t *task) bool {
		if t.held == nil || t.step.job.state.Final() {
			return true
		}
		v := c.vms[t.vm.ID]
		heard := v != nil && v.known && v.clockAt.After(t.held.heard)
		if !heard && now.Before(t.held.until) {
			return false
		}
		t.held = nil
		c.mark(t.step.job)
		c.again(t.step)
		return true
	})
}

// found takes in that an executor lists a run whose task is held back for it.
func (c *Cell) found(v *vm, run platform.Run) *claim {
	t := c.task(run.Task)
	if t == nil || t.held == nil || t.run != run.Number || t.step.spec.Gang {
		return nil
	}
	t.held = nil
	t.phase = work.Started
	t.vm = v.Ref.Life()
	cl := &claim{run: run, task: t, need: t.step.spec.Need, ends: c.now.Add(t.step.spec.Estimate)}
	v.add(cl)
	c.mark(t.step.job)
	return cl
}
