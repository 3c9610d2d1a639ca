package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/endlist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor may restart under the same ID. A vm is one incarnation of it, and what
// belongs to the incarnation (clock, numbers of ends, lease, tickets, runs) is dropped with
// the vm. Only an answer tells which incarnation is there, since a registry record may be
// late.
//
// Orders to a former incarnation may still reach the new one, which knows no token. The
// outcome of the former incarnation's runs is therefore left open until the new one has
// answered a call with a higher token and its list of ends is complete: it may have carried out
// such an order to its end.

// hasRestarted reports whether a report comes from a later incarnation than the reports
// before it.
func (v *vm) hasRestarted(r platform.ExecutorReport) bool {
	if !v.hasReported {
		return false
	}
	return !v.Ref.Incarnation().Matches(work.ExecutorIncarnation{ID: v.Ref.ID, StartTimeMs: r.StartTimeMs}) || r.Clock < v.clock
}

// holdAddress returns the address for a hold that opens a connection. If the newest record
// is of another incarnation, which may run elsewhere, holds alternate between its address
// and the known one.
func (v *vm) holdAddress() string {
	if v.registryRecord == nil || v.registryRecord.Ref.Incarnation().Matches(v.Ref.Incarnation()) {
		return v.Ref.Address
	}
	v.usedRegisteredAddress = !v.usedRegisteredAddress
	if v.usedRegisteredAddress {
		return v.registeredAddress
	}
	return v.Ref.Address
}

// setIncarnation records which incarnation has answered, if the answer says so.
func (v *vm) setIncarnation(startTimeMs int64) {
	if startTimeMs == 0 || startTimeMs == v.Ref.StartTimeMs {
		return
	}
	v.Ref.StartTimeMs = startTimeMs
	v.hasOwnRecord = v.registryRecord != nil && v.registryRecord.Ref.Incarnation().Matches(v.Ref.Incarnation())
}

// replaceIncarnation replaces an executor by its next incarnation, which has just answered.
// The runs of the former incarnation keep their capacity until the new one has answered
// once more.
func (c *Cell) replaceIncarnation(v *vm, ref platform.ExecutorRef, r platform.ExecutorReport, now time.Time) {
	l := c.describeLoss(v, OtherIncarnation, now)
	c.recordLossTime(v)
	c.logRestart(v, r)
	ref.StartTimeMs = r.StartTimeMs
	next := c.newVM(ref)
	next.Executor = v.Executor // until its own record is read
	next.Ref = ref
	next.registered, next.registeredAddress, next.registryRecord, next.formerIncarnations = v.registered, v.registeredAddress, v.registryRecord, v.formerIncarnations+1
	if next.registryRecord != nil && next.registryRecord.Ref.Incarnation().Matches(ref.Incarnation()) {
		next.describe(next.registryRecord, now)
	}
	next.inheritedLeaseExpiry = now.Add(c.cfg.maxLeaseDuration())
	next.former = &formerIncarnation{loss: l}
	if v.former != nil {
		next.former = v.former // no run has started there since
	}
	for _, alloc := range v.allocations {
		next.adopt(alloc)
	}
	c.replaceVM(v, next)
	c.endIncarnation(nil, l) // the runs that ended with its lease before
}

// formerIncarnation is an ended incarnation of an executor whose runs are not settled yet.
type formerIncarnation struct {
	loss executorLoss
}

// adopt takes over an allocation of the former incarnation.
func (v *vm) adopt(alloc *allocation) {
	if alloc.state != statePlanned && alloc.state != stateFormer {
		alloc.formerSign = alloc.lastSign()
		alloc.formerState, alloc.state = alloc.state, stateFormer
	}
	alloc.vm = v
	alloc.runningSince, alloc.progress = time.Time{}, progress{}
	alloc.lastAlive, alloc.absentSince = endlist.Report{}, endlist.Report{}
	v.allocations[alloc.run] = alloc
	v.used = v.used.Add(alloc.resources)
}

// replaceVM puts a new incarnation in the place of an executor.
func (c *Cell) replaceVM(v, next *vm) {
	c.detachFromSteps(v)
	c.vms[next.Ref.ID] = next
	if !next.registered {
		c.unregisteredVMs = append(c.unregisteredVMs, next)
	}
	c.sortedVMs[slices.Index(c.sortedVMs, v)] = next
	next.active = v.active
	if i := slices.Index(c.calledVMs, v); i >= 0 {
		c.calledVMs[i] = next
	}
}

// detachFromSteps drops an executor from the isolation and the advice of all steps.
func (c *Cell) detachFromSteps(v *vm) {
	if v.isolatedFor != nil {
		v.isolatedFor.endIsolation()
	}
	for _, s := range c.waitingSteps {
		s.advice.forgetVM(v)
	}
}

// settleFormerRuns ends these runs of the former incarnation. unresponsive says that the
// new incarnation has not answered since.
func (c *Cell) settleFormerRuns(v *vm, runs []*allocation, unresponsive bool) {
	previous := v.former
	v.former = nil
	if previous == nil {
		return
	}
	for _, alloc := range runs {
		alloc.state = alloc.formerState
	}
	l := previous.loss
	l.unresponsive = unresponsive
	c.endIncarnation(runs, l)
}

// formerAllocations returns the allocations of the former incarnation, newest orders first.
func (v *vm) formerAllocations() []*allocation {
	if v.former == nil {
		return nil
	}
	return slices.DeleteFunc(v.newestFirst(), func(alloc *allocation) bool { return alloc.state != stateFormer })
}

// endIncarnation handles the end of an executor incarnation with runs that end now. Runs that ended before with its lease are
// settled if the end is proven.
func (c *Cell) endIncarnation(runs []*allocation, l executorLoss) {
	for _, alloc := range runs {
		c.loseRun(alloc, l)
	}
	for _, alloc := range runs { // after all runs are counted, since a canary starts after the crash and not with it
		c.countStepLoss(alloc, l)
	}
	if l.evidence == Unregistered {
		return
	}
	for _, e := range slices.Clone(c.lost.byID[l.executor.ID]) {
		if e.executor.Matches(l.executor) {
			c.proveCrash(e, l.evidence)
		}
	}
}

// currentVM returns the executor that a call with this token was sent to, or nil if it was
// removed or another incarnation has answered since.
func (c *Cell) currentVM(ref platform.ExecutorRef, token uint64) *vm {
	v := c.vms[ref.ID]
	if v == nil || !v.Ref.Incarnation().Matches(ref.Incarnation()) || token != c.fencingToken(v) {
		return nil
	}
	return v
}

// fencingToken returns the fencing token of calls to an executor.
func (c *Cell) fencingToken(v *vm) uint64 {
	return platform.FencingToken(c.cfg.Epoch, v.formerIncarnations)
}

// IsTokenOutdated reports whether this leader used a call's token for a former incarnation
// of the executor. Such a call was refused because of what this leader itself has sent
// since.
func (c *Cell) IsTokenOutdated(id string, token uint64) bool {
	incarnations := c.formerIncarnations[id]
	if v := c.vms[id]; v != nil {
		incarnations = v.formerIncarnations
	}
	return token < platform.FencingToken(c.cfg.Epoch, incarnations)
}

// logRestart logs that an executor has restarted under its ID.
func (c *Cell) logRestart(v *vm, r platform.ExecutorReport) {
	c.logger.WithFields(logrus.Fields{
		"executor": v.Ref.ID, "address": v.Ref.Address, "born_ms": r.StartTimeMs, "former_born_ms": v.Ref.StartTimeMs,
		"clock_ms": int64(r.Clock), "former_clock_ms": int64(v.clock), "ends_listed": len(r.Ended),
		"ends_applied": v.appliedEnds, "ends_acknowledged": v.durableEnds, "runs": len(v.allocations), "lost": v.describeRuns(),
	}).Info("executor has started again under its id")
}
