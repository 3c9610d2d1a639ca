package plan

import (
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// UpdateExecutors takes in who is registered now.
func (c *Cell) UpdateExecutors(listed map[string]*fleet.Executor, now time.Time) {
	c.pools = make(map[string]int)
	for id, e := range listed {
		v := c.vms[id]
		if v == nil {
			v = c.addVM(e.Ref)
			c.lookAgain()
		}
		if !e.Capacity.Fits(v.Capacity) {
			c.lookAgain()
		}
		v.register(e, now)
		c.pools[e.Service]++
	}
	for id, v := range c.vms {
		if listed[id] == nil {
			v.listed = false
		}
	}
	sort.Slice(c.sorted, func(a, b int) bool { return c.sorted[a].Ref.ID < c.sorted[b].Ref.ID })
	c.dropReplaced(now)
}

// dropReplaced lets go of executors whose address another life has taken. That
// a record names the address is no proof, since it may be somebody else's: the
// other life has to have answered there, and later.
func (c *Cell) dropReplaced(now time.Time) {
	var replaced []platform.ExecutorRef
	for _, v := range c.sorted {
		if !v.listed && slices.ContainsFunc(c.sorted, v.isFollowedBy) {
			replaced = append(replaced, v.Ref)
		}
	}
	for _, ref := range replaced {
		c.HandleExecutorLoss(ref, AddressTaken, now)
	}
}

// addVM adds an executor of which nothing is known but how it is called.
func (c *Cell) addVM(ref platform.ExecutorRef) *vm {
	v := newVM(ref)
	v.lives = c.lives[ref.ID]
	c.vms[ref.ID] = v
	c.sorted = append(c.sorted, v)
	return v
}

// HandleExecutorLoss takes in that a life of an executor is over, and with it everything that ran
// on it.
func (c *Cell) HandleExecutorLoss(ref platform.ExecutorRef, e Evidence, now time.Time) {
	v := c.vms[ref.ID]
	if v == nil || !v.Ref.Life().Same(ref.Life()) || ref.Address != v.Ref.Address {
		return
	}
	l := c.lossOf(v, e, now)
	l.replaced = !l.silent
	c.logLost(v, l, now)
	c.settleFormer(v, v.formerRuns(), l.silent)
	if c.keepOthers(v, l) {
		return
	}
	c.endLife(v.youngestFirst(), v.lapsed, l)
	c.leaveSteps(v)
	c.lives[ref.ID] = v.lives + 1
	delete(c.vms, ref.ID)
	i := slices.Index(c.sorted, v)
	c.sorted = slices.Delete(c.sorted, i, i+1)
}

// keepOthers ends the runs of the life that a record names, whose place another executor
// has taken, and keeps an executor for those of other lives: nothing was heard of these, and
// the record may be of an earlier one.
func (c *Cell) keepOthers(v *vm, l loss) bool {
	if v.known || l.silent {
		return false
	}
	var over []*claim
	for _, cl := range v.youngestFirst() {
		if cl.task == nil || cl.task.vm.Same(v.Ref.Life()) {
			over = append(over, cl)
		}
	}
	if len(over) == len(v.claims) {
		return false
	}
	c.endLife(over, nil, l)
	v.Ref.Address = ""
	v.listed = false
	return true
}

// DropExpired lets go of the runs on executors whose lease is certainly over,
// and of executors that are not registered and hold nothing.
func (c *Cell) DropExpired(now time.Time) {
	for _, v := range append([]*vm(nil), c.sorted...) {
		if now.Sub(v.clockAt) < c.cfg.MaxReportAge || !v.leaseOver(now, c.cfg.ClockDrift) {
			continue
		}
		if !v.listed {
			c.HandleExecutorLoss(v.Ref, Unregistered, now)
			continue
		}
		c.settleFormer(v, v.formerRuns(), true)
		for _, cl := range v.youngestFirst() {
			c.events.WithFields(logrus.Fields{"executor": v.Ref.ID, "task": cl.run.Task, "run": cl.run.Number}).Info("lease is over without a report")
			c.lapse(cl)
		}
		v.Ref.Address = v.address
	}
}

// CallableExecutors returns the executors that should be called.
func (c *Cell) CallableExecutors() []platform.ExecutorRef {
	refs := make([]platform.ExecutorRef, 0, len(c.sorted))
	for _, v := range c.sorted {
		if c.calls(v) {
			refs = append(refs, v.Ref)
		}
	}
	return refs
}

// calls reports whether an executor should be called: it may run something, or
// it is registered for a service that the configuration in force names. One that
// has answered and isn't registered any more is called until it is silent, since
// an order without an answer may be carried out there seconds later.
func (c *Cell) calls(v *vm) bool {
	late := v.known && !v.listed
	return v.Ref.Address != "" && (len(v.claims) > 0 || late || c.serves(v))
}

// serves reports whether an executor is registered for a service that the
// configuration in force names.
func (c *Cell) serves(v *vm) bool { return v.listed && c.table.Serves(v.Service) }
