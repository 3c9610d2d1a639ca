package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/loss"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// A task may crash every executor that starts it. The runs that are lost with an executor are therefore recorded durably for
// their tasks, and a task under which too many executors have crashed isn't started again. An executor that has only fallen
// silent may be alive: such a loss is open until an answer tells (lost_executors.go), and ends no job.
// docs/design/crashes.md explains how the task to blame is distinguished from those that ran beside it.

// Evidence says how the leader knows that an executor incarnation has ended.
type Evidence = loss.Evidence

// Kinds of evidence.
const (
	Unregistered     = loss.Unregistered
	OtherIncarnation = loss.OtherIncarnation
	AddressTaken     = loss.AddressTaken
)

// lossForgetTime is how long a run of a long-running task has to run for earlier losses to be forgotten: in its lifetime a
// service sees executors crash that it hasn't harmed.
const lossForgetTime = time.Minute

// executorLoss is what is known of the end of an executor incarnation.
type executorLoss struct {
	executor          work.ExecutorIncarnation
	address           string    // where it was called; "" if that isn't known
	unresponsiveSince time.Time // when the executor became unresponsive; zero if it has not reported to this leader
	evidence          Evidence
	leaving           bool // the executor had announced that it leaves
	soleJob           *job // job to which all runs there belonged; nil if there were several or that isn't known
	correlated        bool // other executors became unresponsive at about the same time
	unresponsive      bool // nothing answers under the executor's ID
	replaced          bool // another executor has its address, so no order that was sent there is carried out
}

// loseRun ends a run that was lost with its executor, and the job if too many executors have crashed under its task.
func (c *Cell) loseRun(alloc *allocation, l executorLoss) {
	c.endRun(alloc, platform.EndLeaseExpired, "")
	if !l.replaced {
		c.deferTask(alloc, l.unresponsive)
	}
	c.countLoss(alloc, l)
}

// countLoss counts a lost run for its task, unless the run certainly hasn't started or its executor left as announced.
func (c *Cell) countLoss(alloc *allocation, l executorLoss) {
	if !l.countsFor(alloc) {
		return
	}
	t := alloc.task
	l.executor = alloc.incarnation(l.executor)
	c.addLoss(alloc, l)
	t.losses.EndRun(l.executor)
	t.lastLostOn = l.executor
	c.checkCrashes(t, l)
	c.awaitVerdict(t)
}

// addLoss adds a lost run to the losses of its task.
func (c *Cell) addLoss(alloc *allocation, l executorLoss) {
	t := alloc.task
	if l.unresponsiveSince.IsZero() {
		l.unresponsiveSince = c.ledSince
	}
	isThere := (alloc.state == stateRunning || alloc.state == stateStopping) && l.unresponsiveSince.Sub(alloc.lastSign()) <= c.cfg.MaxReportAge
	runTime := time.Duration(0)
	if !alloc.orderedAt.IsZero() {
		runTime = l.unresponsiveSince.Sub(alloc.orderedAt)
	}
	t.losses.Add(loss.Loss{
		Executor: l.executor, Address: l.address, Certain: isThere, Epoch: c.cfg.Epoch,
		At: l.unresponsiveSince, RunTime: runTime, VerdictDue: l.unresponsiveSince.Add(loss.VerdictTime),
	})
	t.losses.Prove(l.executor, c.proofFor(t, l))
	if l.evidence == Unregistered {
		c.lost.add(l, lostRun{task: t, alloc: alloc})
	}
	c.markDirty(t.step.job)
}

// lastSign returns when the run was last known to be at work. An executor that reports lists it at least every hold wait; after
// a longer silence the run may have ended unreported before the executor crashed.
func (alloc *allocation) lastSign() time.Time {
	return later(alloc.formerSign, later(alloc.runningSince, alloc.lastAlive.ArrivedAt))
}

// incarnation returns the incarnation that the run was ordered to, given the one that was called for it last. For a run of a
// former leader the record tells; the one that was called may be that of an out-of-date registry record.
func (alloc *allocation) incarnation(called work.ExecutorIncarnation) work.ExecutorIncarnation {
	if alloc.state == stateInherited && alloc.task.incarnation.StartTimeMs != 0 {
		return alloc.task.incarnation
	}
	return called
}

// proofFor returns what the end of an executor proves for a task.
func (c *Cell) proofFor(t *task, l executorLoss) loss.Proof {
	return loss.Proof{
		Evidence: l.evidence, Alone: l.pointsTo(t),
		Silent: c.now.Sub(l.unresponsiveSince), Awaited: c.now.Sub(later(l.unresponsiveSince, c.ledSince)),
	}
}

// pointsTo reports whether a crash leaves no doubt that a suspected task was on the executor, although its start wasn't
// confirmed: it was started there alone for this reason.
func (l executorLoss) pointsTo(t *task) bool {
	return l.evidence != Unregistered && t.losses.IsSuspected() && l.soleJob == t.step.job && !l.correlated
}

// countRestart counts a run that has ended without a result, if so many executors have crashed under its task that its
// restarts are bounded.
func (c *Cell) countRestart(alloc *allocation, reason platform.EndReason) {
	t := alloc.task
	if t == nil || reason == platform.EndDone || t.phase == work.Done || t.step.job.state.Final() || !t.losses.EndRun(work.ExecutorIncarnation{}) {
		return
	}
	c.markDirty(t.step.job)
	c.checkCrashes(t, executorLoss{executor: alloc.vm.Ref.Incarnation()})
}

// countsFor reports whether the loss of a run counts for its task.
func (l executorLoss) countsFor(alloc *allocation) bool {
	t := alloc.task
	return t != nil && !l.leaving && alloc.state != statePlanned && t.isUnfinished()
}

// isUnfinished reports whether the task has not ended as done and its job is still planned.
func (t *task) isUnfinished() bool { return t.phase != work.Done && !t.step.job.state.Final() }

// checkCrashes fails the job of a task if executors have crashed under it and a new crash shows that it is to blame, or it may
// not start again.
func (c *Cell) checkCrashes(t *task, l executorLoss) {
	crash := loss.Crash{Alone: l.soleJob == t.step.job, Correlated: l.correlated, Canary: t.step.inCanary()}
	guilty := l.evidence != Unregistered && t.losses.ShowsGuilt(crash)
	if !guilty && (t.phase != work.Pending || !t.losses.IsExhausted()) {
		return
	}
	c.logger.WithFields(logrus.Fields{
		"job": t.step.job.spec.ID, "task": t.key(), "run": t.lastRun, "executor": l.executor.ID, "epoch": c.cfg.Epoch,
		"crashes": t.losses.Crashes(), "later": t.losses.Later(), "losses": t.losses.Describe(c.now), "alone": crash.Alone, "correlated": crash.Correlated,
	}).Warn("job is given up: executors were lost under one of its tasks again and again")
	if image := t.step.spec.Image; image != "" {
		c.failedImages[image] = c.now
	}
	c.endJob(t.step.job, work.Failed)
}

// awaitVerdict keeps a pending task from starting while its open losses may turn out to be crashes.
func (c *Cell) awaitVerdict(t *task) {
	if t.phase == work.Pending && t.isUnfinished() && !t.awaitsVerdict && t.losses.WaitsUntil().After(c.now) {
		t.awaitsVerdict = true
		c.awaitingVerdict = append(c.awaitingVerdict, t)
	}
}

// releaseAwaiting lets tasks start again whose open losses are settled or don't delay them any more.
func (c *Cell) releaseAwaiting(now time.Time) {
	c.awaitingVerdict = slices.DeleteFunc(c.awaitingVerdict, func(t *task) bool {
		if t.phase == work.Pending && t.isUnfinished() && t.losses.WaitsUntil().After(now) {
			return false
		}
		t.awaitsVerdict = false
		c.requeue(t.step)
		return true
	})
}

// forgetFailures clears the failures of a long-running step once a run of it has been running for
// lossForgetTime.
func (c *Cell) forgetFailures(alloc *allocation, now time.Time) {
	if s := alloc.task.step; s.spec.LongRunning && now.Sub(alloc.runningSince) >= lossForgetTime {
		s.failures.ForgetFailures()
	}
}

// forgetLosses clears the losses of a long-running task once a run of it has been running
// for lossForgetTime.
func (c *Cell) forgetLosses(alloc *allocation, now time.Time) {
	t := alloc.task
	if t.losses.IsEmpty() || !t.step.spec.LongRunning || now.Sub(alloc.runningSince) < lossForgetTime {
		return
	}
	t.losses = loss.Tally{}
	c.markDirty(t.step.job)
}
