package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// restoreJob restores a job that a former leader had started. Each run that its record
// names may exist, so it holds its capacity until its executor reports or its lease has
// certainly expired.
func (c *Cell) restoreJob(j *job, p *work.Progress, now time.Time) {
	j.state = p.State
	j.recordedRunning = p.State == work.Running
	j.endedBelow = p.FinishedBelow
	j.nextOccurrence = p.FinishedBelow
	for _, number := range p.FinishedOutOfOrder {
		if j.endedOccurrences == nil {
			j.endedOccurrences = make(map[int]bool)
		}
		j.endedOccurrences[number] = true
		j.nextOccurrence = max(j.nextOccurrence, number+1)
	}
	for i := range p.Occurrences {
		recorded := &p.Occurrences[i]
		occ := newOccurrence(j, recorded.Number, j.arrivedAt)
		if due := j.spec.DueMs(recorded.Number); due > 0 {
			occ.due = time.UnixMilli(due)
		}
		j.nextOccurrence = max(j.nextOccurrence, recorded.Number+1)
		j.activeOccurrences = append(j.activeOccurrences, occ)
	}
	c.restoreLosses(j, p, now)
	for i, occ := range j.activeOccurrences {
		for k, rows := range p.Occurrences[i].Steps {
			c.restoreStep(occ.steps[k], rows, p.Executors, now)
		}
		for _, s := range occ.steps {
			if s.complete() {
				occ.stepsLeft--
			}
		}
		c.enqueueReadySteps(occ)
	}
}

func (c *Cell) restoreStep(s *step, rows []work.TaskProgress, vms []work.ExecutorIncarnation, now time.Time) {
	for i, row := range rows {
		t := s.tasks[i]
		t.lastRun = row.Run
		t.failures = int(row.Failures)
		if row.Checkpoint != "" {
			t.saveCheckpoint(row.Checkpoint) // records of earlier versions have one for each member of a gang
		}
		t.phase = row.Phase
		s.gangFailures = max(s.gangFailures, t.failures)
		switch row.Phase {
		case work.Done:
			s.doneTasks++
		case work.Started:
			t.incarnation = vms[row.ExecutorIndex]
			v := c.inheritVM(t.incarnation, now)
			run := platform.Run{Task: t.key(), Number: t.lastRun}
			alloc := &allocation{run: run, task: t, resources: s.spec.TaskResources, workspace: s.job.workspace, state: stateInherited, expectedEnd: now.Add(s.spec.Estimate)}
			c.setInheritedOrderExpiry(alloc, now)
			v.addAllocation(alloc)
		}
		c.awaitVerdict(t)
	}
	if s.spec.Gang {
		s.restoreLastFailedRun()
	}
}

// restoreLastFailedRun restores whether the failure of a gang's newest run was counted: a member of it that failed has more
// failures than one that didn't.
func (s *step) restoreLastFailedRun() {
	fewest := slices.MinFunc(s.tasks, func(a, b *task) int { return a.failures - b.failures }).failures
	for _, t := range s.tasks {
		if t.phase == work.Pending && t.failures == s.gangFailures && t.failures > fewest {
			s.lastFailedRun = max(s.lastFailedRun, t.lastRun)
		}
	}
}

// inheritVM returns the executor of a run that a former leader ordered. It may no longer be
// registered.
func (c *Cell) inheritVM(incarnation work.ExecutorIncarnation, now time.Time) *vm {
	v := c.vms[incarnation.ID]
	if v == nil {
		v = c.addVM(platform.ExecutorRef{ID: incarnation.ID})
	}
	if v.hasReported {
		return v
	}
	duration := c.cfg.maxOrderDuration()
	if incarnation.StartTimeMs != 0 {
		duration = c.cfg.maxLeaseDuration()
	}
	if expiry := now.Add(c.cfg.FormerLeaderRenewal + duration); expiry.After(v.inheritedLeaseExpiry) {
		v.inheritedLeaseExpiry = expiry
	}
	return v
}

// ExecutorsWithoutAddress returns the executors that may run something according to a
// former leader's records and that can't be called, since only their IDs are known. Each is
// returned once.
func (c *Cell) ExecutorsWithoutAddress() []string {
	var ids []string
	for _, v := range c.sortedVMs {
		if v.Ref.Address == "" && len(v.allocations) > 0 && !v.historyRequested {
			v.historyRequested = true
			ids = append(ids, v.Ref.ID)
		}
	}
	return ids
}

// ApplyLastRecord applies the last record of an executor that is no longer registered. A
// call to its address shows whether another incarnation has taken the address since.
func (c *Cell) ApplyLastRecord(e fleet.Executor, now time.Time) {
	v := c.vms[e.Ref.ID]
	if v == nil || v.registered || v.Ref.Address != "" {
		return
	}
	v.register(&e, now)
	v.registered = false
	c.unregisteredVMs = append(c.unregisteredVMs, v)
	c.dropReplaced(now)
}
