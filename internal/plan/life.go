package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor may start again under the id that it had. A vm is one life of it: what
// belongs to the life (clock, numbers of ends, lease, tickets, what it ran) goes with the
// vm. Only an answer tells which life is there, since a registry's record may be late.
//
// Orders to a former life may still reach the new one, which knows no token. So nothing is
// concluded about its runs before the new life has answered a call with a higher token.

// startedAgain reports whether a report comes from a later life than the reports before it.
func (v *vm) startedAgain(r platform.ExecutorReport) bool {
	if !v.known {
		return false
	}
	return !v.Ref.Life().Same(work.Life{ID: v.Ref.ID, Born: r.Born}) || r.Clock < v.clock
}

// callAt returns where a hold that opens a connection should go: by turns to where a record
// of another life says, which may have begun elsewhere.
func (v *vm) callAt() string {
	if v.record == nil || v.record.Ref.Life().Same(v.Ref.Life()) {
		return v.Ref.Address
	}
	v.elsewhere = !v.elsewhere
	if v.elsewhere {
		return v.address
	}
	return v.Ref.Address
}

// isLife notes which life has answered, once that is told.
func (v *vm) isLife(born int64) {
	if born == 0 || born == v.Ref.Born {
		return
	}
	v.Ref.Born = born
	v.described = v.record != nil && v.record.Ref.Life().Same(v.Ref.Life())
}

// nextLife replaces an executor by its next life, which has just answered. The runs of
// the former life keep their room until that has answered once more.
func (c *Cell) nextLife(v *vm, ref platform.ExecutorRef, r platform.ExecutorReport, now time.Time) {
	l := c.lossOf(v, OtherIncarnation, now)
	c.logNextLife(v, r)
	ref.Born = r.Born
	n := newVM(ref)
	n.Executor = v.Executor // until its own record is read
	n.Ref = ref
	n.listed, n.address, n.record, n.lives = v.listed, v.address, v.record, v.lives+1
	if n.record != nil && n.record.Ref.Life().Same(ref.Life()) {
		n.describe(n.record, now)
	}
	n.lapses = now.Add(c.cfg.longestLease())
	n.former = &formerLife{loss: l, lapsed: v.lapsed}
	if v.former != nil {
		n.former = v.former // nothing has run there since
	}
	for _, cl := range v.claims {
		n.takeOver(cl)
	}
	c.replace(v, n)
}

// formerLife is the end of a life of an executor.
type formerLife struct {
	loss   loss
	lapsed []*claim // runs that were over with the lease, while it wasn't known whether it was
}

// takeOver takes over a claim of the life before.
func (v *vm) takeOver(cl *claim) {
	if cl.state != planned && cl.state != former {
		cl.was, cl.state = cl.state, former
	}
	cl.vm = v
	cl.since, cl.progress = time.Time{}, progress{}
	v.claims[cl.run] = cl
	v.used = v.used.Add(cl.need)
}

// replace puts a new life into the place of an executor.
func (c *Cell) replace(v, n *vm) {
	c.leaveSteps(v)
	c.vms[n.Ref.ID] = n
	c.sorted[slices.Index(c.sorted, v)] = n
}

// leaveSteps has no step count on an executor any more.
func (c *Cell) leaveSteps(v *vm) {
	if v.isolatedFor != nil {
		v.isolatedFor.endIsolation()
	}
	for _, s := range c.waiting {
		s.advice.forget(v)
	}
}

// settleFormer takes in that these runs of the life before are over; silent: the new life
// has not been heard of since.
func (c *Cell) settleFormer(v *vm, runs []*claim, silent bool) {
	before := v.former
	v.former = nil
	if before == nil {
		return
	}
	for _, cl := range runs {
		cl.state = cl.was
	}
	l := before.loss
	l.silent = silent
	c.endLife(runs, before.lapsed, l)
}

// formerRuns returns the claims of the life before, the newest orders first.
func (v *vm) formerRuns() []*claim {
	if v.former == nil {
		return nil
	}
	return slices.DeleteFunc(v.youngestFirst(), func(cl *claim) bool { return cl.state != former })
}

// endLife takes in that a life of an executor is over with these runs, and others that were
// over with its lease before.
func (c *Cell) endLife(runs, lapsed []*claim, l loss) {
	for _, cl := range runs {
		c.lose(cl, l)
	}
	for _, cl := range lapsed {
		c.takeBackLapse(cl)
		c.countLoss(cl, l)
	}
	for _, cl := range slices.Concat(runs, lapsed) { // canaries begin after a crash, not with it
		c.countForStep(cl, l)
	}
}

// life returns the executor to which a call was sent with a token, or nil if another life
// has answered since or it was let go of.
func (c *Cell) life(ref platform.ExecutorRef, token uint64) *vm {
	v := c.vms[ref.ID]
	if v == nil || !v.Ref.Life().Same(ref.Life()) || token != c.token(v) {
		return nil
	}
	return v
}

// token returns the fencing token of calls to an executor.
func (c *Cell) token(v *vm) uint64 { return platform.FencingToken(c.cfg.Epoch, v.lives) }

// IsTokenOutdated reports whether a call's token is one that this leader used for a former life of
// the executor: it was refused for what this leader has sent since.
func (c *Cell) IsTokenOutdated(id string, token uint64) bool {
	lives := c.lives[id]
	if v := c.vms[id]; v != nil {
		lives = v.lives
	}
	return token < platform.FencingToken(c.cfg.Epoch, lives)
}

// logNextLife logs that an executor has started again under its id.
func (c *Cell) logNextLife(v *vm, r platform.ExecutorReport) {
	c.events.WithFields(logrus.Fields{
		"executor": v.Ref.ID, "address": v.Ref.Address, "born_ms": r.Born, "former_born_ms": v.Ref.Born,
		"clock_ms": int64(r.Clock), "former_clock_ms": int64(v.clock), "ends_listed": len(r.Ended),
		"ends_applied": v.taken, "ends_acknowledged": v.seen, "runs": len(v.claims), "lost": v.describeRuns(),
	}).Info("executor has started again under its id")
}
