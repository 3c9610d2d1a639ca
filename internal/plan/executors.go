package plan

import (
	"iter"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// UpdateExecutors applies the executors that are registered now.
func (c *Cell) UpdateExecutors(registered map[string]*fleet.Executor, now time.Time) {
	c.registeredByService = make(map[string]int)
	defer c.decideActivation(now)
	moreCapacity := false
	for id, e := range registered {
		v := c.vms[id]
		if v == nil {
			v = c.addVM(e.Ref)
			moreCapacity = true
		}
		moreCapacity = moreCapacity || !e.Capacity.Fits(v.Capacity)
		v.register(e, now)
		if e.Draining {
			c.dropLossesOfLeaving(e.Ref)
		}
		c.registeredByService[e.Service]++
	}
	if moreCapacity {
		c.resetCallChecks()
	}
	c.unregisteredVMs = c.unregisteredVMs[:0]
	for id, v := range c.vms {
		switch {
		case registered[id] != nil:
		case !v.hasReported && len(v.allocations) == 0 && v.former == nil:
			c.removeVM(v) // nothing was ever started there
		default:
			v.registered = false
			c.unregisteredVMs = append(c.unregisteredVMs, v)
		}
	}
	sort.Slice(c.sortedVMs, func(a, b int) bool { return c.sortedVMs[a].Ref.ID < c.sortedVMs[b].Ref.ID })
	c.dropReplaced(now)
}

// dropReplaced removes executors whose address has been taken by another one. A record that
// names the address is no proof, since the record may be wrong or out of date: the other
// executor must have answered there, and later.
func (c *Cell) dropReplaced(now time.Time) {
	byAddress := make(map[string][]*vm)
	for _, v := range c.unregisteredVMs {
		if c.isUnregistered(v) {
			byAddress[v.Ref.Address] = append(byAddress[v.Ref.Address], v)
		}
	}
	if len(byAddress) == 0 {
		return
	}
	var replaced []*vm
	for _, other := range c.sortedVMs {
		for _, v := range byAddress[other.Ref.Address] {
			if v.isReplacedBy(other) {
				replaced = append(replaced, v)
			}
		}
	}
	c.removeReplaced(replaced, now)
}

// dropReplacedBy is dropReplaced for the executors whose address one executor has taken.
func (c *Cell) dropReplacedBy(other *vm, now time.Time) {
	var replaced []*vm
	for _, v := range c.unregisteredVMs {
		if v.Ref.Address == other.Ref.Address && c.isUnregistered(v) && v.isReplacedBy(other) {
			replaced = append(replaced, v)
		}
	}
	c.removeReplaced(replaced, now)
}

func (c *Cell) removeReplaced(replaced []*vm, now time.Time) {
	for _, v := range replaced {
		c.HandleExecutorLoss(v.Ref, AddressTaken, now)
	}
}

// isUnregistered reports whether an executor of the cell is not registered.
func (c *Cell) isUnregistered(v *vm) bool { return !v.registered && c.vms[v.Ref.ID] == v }

// addVM adds an executor of which only its reference is known.
func (c *Cell) addVM(ref platform.ExecutorRef) *vm {
	v := c.newVM(ref)
	v.formerIncarnations = c.formerIncarnations[ref.ID]
	c.vms[ref.ID] = v
	c.sortedVMs = append(c.sortedVMs, v)
	c.unregisteredVMs = append(c.unregisteredVMs, v)
	c.calledVMs = append(c.calledVMs, v) // until the next decision, which sorts them
	return v
}

// HandleExecutorLoss records that an incarnation of an executor has ended, and with it
// everything that ran on it.
func (c *Cell) HandleExecutorLoss(ref platform.ExecutorRef, e Evidence, now time.Time) {
	v := c.vms[ref.ID]
	if v == nil || !v.Ref.Incarnation().Matches(ref.Incarnation()) || ref.Address != v.Ref.Address {
		return
	}
	l := c.describeLoss(v, e, now)
	l.replaced = !l.unresponsive
	c.recordLossTime(v)
	c.logExecutorLoss(v, l, now)
	c.settleFormerRuns(v, v.formerAllocations(), l.unresponsive)
	if c.keepOtherIncarnations(v, l) {
		return
	}
	c.endIncarnation(v.newestFirst(), l)
	c.formerIncarnations[ref.ID] = v.formerIncarnations + 1
	c.removeVM(v)
}

// removeVM removes an executor without runs.
func (c *Cell) removeVM(v *vm) {
	c.detachFromSteps(v)
	delete(c.vms, v.Ref.ID)
	i := slices.Index(c.sortedVMs, v)
	c.sortedVMs = slices.Delete(c.sortedVMs, i, i+1)
	c.dropCalled(v)
}

// keepOtherIncarnations handles the loss of an executor that has not reported to this
// leader and whose place another one has taken. It ends the runs of the incarnation that
// the record names and keeps the executor for the runs of other incarnations: nothing is
// known of these, and the record may be of an earlier one. It reports whether the executor
// is kept.
func (c *Cell) keepOtherIncarnations(v *vm, l executorLoss) bool {
	if v.hasReported || l.unresponsive {
		return false
	}
	var ended []*allocation
	for _, alloc := range v.newestFirst() {
		if alloc.task == nil || alloc.task.incarnation.Matches(v.Ref.Incarnation()) {
			ended = append(ended, alloc)
		}
	}
	if len(ended) == len(v.allocations) {
		return false
	}
	c.endIncarnation(ended, l)
	v.Ref.Address = ""
	v.registered = false
	c.unregisteredVMs = append(c.unregisteredVMs, v)
	return true
}

// DropExpired ends the runs on executors whose lease has certainly expired, and removes
// those executors that are not registered.
func (c *Cell) DropExpired(now time.Time) {
	var expired []*vm
	for _, v := range c.calledVMs {
		if now.Sub(v.reportedAt) >= c.cfg.MaxReportAge && v.leaseExpired(now, c.cfg.ClockDrift) {
			expired = append(expired, v)
		}
	}
	for _, v := range expired {
		if !v.registered {
			c.HandleExecutorLoss(v.Ref, Unregistered, now)
			continue
		}
		c.settleFormerRuns(v, v.formerAllocations(), true)
		l := c.describeLoss(v, Unregistered, now)
		c.recordLossTime(v)
		for _, alloc := range v.newestFirst() {
			c.logger.WithFields(logrus.Fields{"executor": v.Ref.ID, "task": alloc.run.Task, "run": alloc.run.Number}).Info("lease is over without a report")
			c.loseRun(alloc, l)
		}
		v.Ref.Address = v.registeredAddress
	}
}

// CallableExecutors yields the executors that should be called.
func (c *Cell) CallableExecutors() iter.Seq[platform.ExecutorRef] {
	return func(yield func(platform.ExecutorRef) bool) {
		for _, v := range c.calledVMs {
			if c.shouldCall(v) && !yield(v.Ref) {
				return
			}
		}
	}
}

// shouldCall reports whether an executor should be called: it may run something, it lists ends
// until they are acknowledged, or it is active and registered for a service of the current
// configuration. An executor that has answered and is no longer registered is called until it is
// removed as unresponsive, since an unconfirmed order may be carried out there seconds later.
func (c *Cell) shouldCall(v *vm) bool {
	unregistered := v.hasReported && !v.registered
	hasListedEnds := v.appliedEnds > v.acknowledgedEnds
	return v.Ref.Address != "" && (len(v.allocations) > 0 || hasListedEnds || unregistered || c.isAwaited(v) || c.inService(v) && v.active)
}

// inService reports whether an executor is registered for a service of the current
// configuration.
func (c *Cell) inService(v *vm) bool { return v.registered && c.queueConfig.HasService(v.Service) }
