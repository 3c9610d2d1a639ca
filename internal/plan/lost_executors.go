package plan

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/loss"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An executor that has fallen silent may be cut off, also when it is no longer registered. Its losses stay open until an answer
// tells: the same incarnation has answered and the losses are taken back, or another one has, under its ID or at its address, and
// they are crashes. The answer may come after the executor was removed from the cell, and to a later leader.

// lostRetention is how long an executor's losses are kept open.
const lostRetention = 2 * time.Minute

// lostRun is a run that was lost with an executor that may be alive.
type lostRun struct {
	task  *task
	alloc *allocation // nil if a former leader counted the loss
}

// lostExecutor is an executor incarnation with open losses.
type lostExecutor struct {
	executorLoss
	runs  []lostRun
	until time.Time // when the losses are no longer kept open
}

// lostExecutors holds the executor incarnations with open losses.
type lostExecutors struct {
	byID      map[string][]*lostExecutor
	byAddress map[string][]*lostExecutor
	prunedAt  time.Time
}

func newLostExecutors() *lostExecutors {
	return &lostExecutors{byID: make(map[string][]*lostExecutor), byAddress: make(map[string][]*lostExecutor)}
}

// add adds a lost run.
func (x *lostExecutors) add(l executorLoss, r lostRun) {
	i := slices.IndexFunc(x.byID[l.executor.ID], func(e *lostExecutor) bool { return e.executor == l.executor })
	if i < 0 {
		i = len(x.byID[l.executor.ID])
		e := &lostExecutor{executorLoss: l}
		x.byID[l.executor.ID] = append(x.byID[l.executor.ID], e)
		if l.address != "" {
			x.byAddress[l.address] = append(x.byAddress[l.address], e)
		}
	}
	e := x.byID[l.executor.ID][i]
	e.soleJob, e.correlated = l.soleJob, e.correlated || l.correlated
	e.until = later(e.until, l.unresponsiveSince.Add(lostRetention))
	for k := range e.runs {
		if e.runs[k].task == r.task {
			e.runs[k] = r
			return
		}
	}
	e.runs = append(e.runs, r)
}

// remove removes an incarnation whose losses are settled.
func (x *lostExecutors) remove(e *lostExecutor) {
	removeFrom(x.byID, e.executor.ID, e)
	removeFrom(x.byAddress, e.address, e)
}

func removeFrom(index map[string][]*lostExecutor, key string, e *lostExecutor) {
	remaining := slices.DeleteFunc(index[key], func(other *lostExecutor) bool { return other == e })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}

// lossPruneInterval is the time between two looks for losses that are no longer kept.
const lossPruneInterval = 10 * time.Second

// pruneLosses drops lost executors whose losses are no longer kept open.
func (c *Cell) pruneLosses(now time.Time) {
	if now.Sub(c.lost.prunedAt) < lossPruneInterval {
		return
	}
	c.lost.prunedAt = now
	c.pruneLossTimes(now)
	for _, list := range c.lost.byID {
		for _, e := range slices.Clone(list) {
			if now.After(e.until) {
				c.lost.remove(e)
			}
		}
	}
}

// takeBackLossesOf takes back the losses with an executor incarnation that has answered. An answer that may be of the lost
// incarnation or of a later one tells nothing.
func (c *Cell) takeBackLossesOf(answering work.ExecutorIncarnation) {
	for _, e := range slices.Clone(c.lost.byID[answering.ID]) {
		if e.executor == answering {
			c.takeBackLosses(e)
		}
	}
}

// proveCrashesBy counts the losses as crashes of which an answer under an executor's ID and at its address shows that the
// incarnation has ended.
func (c *Cell) proveCrashesBy(answering platform.ExecutorRef) {
	for _, e := range slices.Clone(c.lost.byID[answering.ID]) {
		if !e.executor.Matches(answering.Incarnation()) {
			c.proveCrash(e, OtherIncarnation)
		}
	}
	if answering.Address == "" {
		return
	}
	for _, e := range slices.Clone(c.lost.byAddress[answering.Address]) {
		if e.executor.ID != answering.ID {
			c.proveCrash(e, AddressTaken)
		}
	}
}

// dropLossesOfLeaving takes back the losses with an executor that says that it leaves: its end is no crash.
func (c *Cell) dropLossesOfLeaving(ref platform.ExecutorRef) {
	for _, e := range slices.Clone(c.lost.byID[ref.ID]) {
		if e.executor.Matches(ref.Incarnation()) {
			c.takeBackLosses(e)
		}
	}
}

// isAwaited reports whether an answer of an executor may settle losses.
func (c *Cell) isAwaited(v *vm) bool {
	return v.registered && (len(c.lost.byID[v.Ref.ID]) > 0 || len(c.lost.byAddress[v.registeredAddress]) > 0)
}

// takeBackLosses removes the losses with an executor that is alive or leaves.
func (c *Cell) takeBackLosses(e *lostExecutor) {
	c.lost.remove(e)
	delete(c.lossTimes, e.executor)
	tasks := 0
	for _, r := range e.runs {
		if r.task.isUnfinished() && r.task.losses.TakeBack(e.executor) {
			if r.task.lastLostOn == e.executor {
				r.task.lastLostOn = work.ExecutorIncarnation{}
			}
			c.markDirty(r.task.step.job)
			tasks++
		}
	}
	if tasks > 0 {
		c.logger.WithFields(logrus.Fields{"executor": e.executor.ID, "born_ms": e.executor.StartTimeMs, "tasks": tasks, "silent_ms": c.now.Sub(e.unresponsiveSince).Milliseconds()}).Info("lost executor is alive or leaves: its losses are taken back")
	}
}

// proveCrash counts the losses with an executor incarnation that has ended as crashes.
func (c *Cell) proveCrash(e *lostExecutor, evidence Evidence) {
	c.lost.remove(e)
	l := e.executorLoss
	l.evidence, l.unresponsive, l.replaced = evidence, false, true
	l.correlated = l.correlated || c.correlatedLossAt(l.executor, l.unresponsiveSince)
	var proven []lostRun
	for _, r := range e.runs {
		if t := r.task; t.isUnfinished() && t.losses.Prove(e.executor, c.proofFor(t, l)) {
			c.markDirty(t.step.job)
			proven = append(proven, r)
		}
	}
	if len(proven) > 0 {
		c.logger.WithFields(logrus.Fields{"executor": l.executor.ID, "born_ms": l.executor.StartTimeMs, "evidence": evidence.String(), "tasks": len(proven), "silent_ms": c.now.Sub(l.unresponsiveSince).Milliseconds()}).Info("lost executor has crashed")
	}
	for _, r := range proven {
		if r.task.isUnfinished() { // the crash may have ended its job for another task
			c.checkCrashes(r.task, l)
		}
	}
	for _, r := range proven { // after all runs are counted, since a canary starts after the crash and not with it
		if r.alloc != nil {
			c.countStepLoss(r.alloc, l)
		}
	}
}

// recordSilence records open losses for runs that were there when their executor fell silent, of tasks that have losses already.
// A leader that takes over before the lease is over would otherwise not know that these runs had started.
func (c *Cell) recordSilence(v *vm, now time.Time) {
	var l executorLoss
	for _, alloc := range v.allocations {
		if alloc.task == nil || alloc.task.losses.IsEmpty() || alloc.state != stateRunning && alloc.state != stateStopping {
			continue
		}
		if l.executor.ID == "" {
			l = c.describeLoss(v, Unregistered, now)
		}
		if l.countsFor(alloc) {
			c.addLoss(alloc, l)
		}
	}
}

// restoreLosses restores the losses of a job's tasks as a former leader recorded them.
func (c *Cell) restoreLosses(j *job, p *work.Progress, now time.Time) {
	details := make(map[*task][]loss.Loss)
	for _, recorded := range p.LostExecutors {
		at := time.UnixMilli(recorded.AtMs)
		if at.After(now) {
			at = now // the time of day has been set back
		}
		l := executorLoss{executor: recorded.Executor, address: recorded.Address, evidence: Evidence(recorded.Evidence), unresponsiveSince: at}
		c.lossTimes[l.executor] = at
		for _, lost := range recorded.Tasks {
			t := c.findTask(work.TaskKey{StepKey: work.StepKey{Job: j.spec.ID, Occurrence: lost.Occurrence, Step: lost.Step}, Index: lost.Index})
			if t == nil {
				continue
			}
			details[t] = append(details[t], loss.Loss{
				Executor: l.executor, Address: l.address, Evidence: l.evidence, Certain: lost.Certain, Late: recorded.Late, Restart: lost.Restart,
				Epoch: api.Epoch(recorded.Epoch), At: at, VerdictDue: at.Add(loss.VerdictTime),
			})
			if l.evidence == Unregistered {
				c.lost.add(l, lostRun{task: t})
			}
		}
	}
	for _, o := range p.Occurrences {
		for k, rows := range o.Steps {
			for i, row := range rows {
				if row.Crashes == 0 && row.Losses == 0 {
					continue
				}
				t := c.findTask(work.TaskKey{StepKey: work.StepKey{Job: j.spec.ID, Occurrence: o.Number, Step: k}, Index: i})
				t.losses = loss.NewTally(details[t], int(row.Crashes), int(row.Losses))
				delete(details, t)
			}
		}
	}
	for t, losses := range details {
		t.losses = loss.NewTally(losses, 0, 0)
	}
}

// lossKey tells apart the losses that a record lists together.
type lossKey struct {
	executor work.ExecutorIncarnation
	evidence Evidence
	late     bool
	epoch    api.Epoch
	atMs     int64
}

// recordLosses adds the losses of a task that has not ended to the job's record.
func (t *task) recordLosses(p *work.Progress, indexes map[lossKey]int) {
	if t.phase == work.Done {
		return
	}
	for _, l := range t.losses.Losses() {
		if l.Executor.ID == "" {
			continue
		}
		key := lossKey{executor: l.Executor, evidence: l.Evidence, late: l.Late, epoch: l.Epoch, atMs: l.At.UnixMilli()}
		i, ok := indexes[key]
		if !ok {
			i = len(p.LostExecutors)
			indexes[key] = i
			p.LostExecutors = append(p.LostExecutors, work.LostExecutor{
				Executor: l.Executor, Address: l.Address, Evidence: uint8(l.Evidence), Late: l.Late, Epoch: uint64(l.Epoch), AtMs: key.atMs,
			})
		}
		p.LostExecutors[i].Tasks = append(p.LostExecutors[i].Tasks, work.LostTask{Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index, Certain: l.Certain, Restart: l.Restart})
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
