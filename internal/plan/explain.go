package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Limits of the log lines about waiting steps.
const (
	explainMinWait  = 5 * time.Second // waiting time from which a step is logged
	explainInterval = 5 * time.Second
	explainMaxLines = 5 // lines per interval
)

// LogWaitingSteps logs at intervals the state of the steps that have waited for at least
// explainMinWait, in start order.
func (c *Cell) LogWaitingSteps(now time.Time) {
	if now.Sub(c.lastExplained) < explainInterval {
		return
	}
	c.lastExplained = now
	c.logSummary(now)
	c.logUsage(now)
	counts := c.allocationsByStep()
	lines := 0
	for _, s := range c.orderedSteps {
		if lines == explainMaxLines {
			return
		}
		if now.Sub(s.job.latencyStart(s.occ)) > explainMinWait && s.notRunning(counts[s]) > 0 {
			c.logWaitingStep(s, counts[s], now)
			lines++
		}
	}
}

// allocationCounts holds numbers of allocations by state.
type allocationCounts map[allocationState]int

// allocationsByStep counts the allocations of each step's tasks by state.
func (c *Cell) allocationsByStep() map[*step]allocationCounts {
	byStep := make(map[*step]allocationCounts)
	for _, v := range c.calledVMs {
		for _, alloc := range v.allocations {
			if alloc.task == nil {
				continue
			}
			counts := byStep[alloc.task.step]
			if counts == nil {
				counts = make(allocationCounts)
				byStep[alloc.task.step] = counts
			}
			counts[alloc.state]++
		}
	}
	return byStep
}

// notRunning returns how many tasks of a step have not ended and aren't known to be
// running.
func (s *step) notRunning(counts allocationCounts) int {
	return len(s.tasks) - s.doneTasks - counts[stateRunning]
}

// String returns the counts as state:number.
func (counts allocationCounts) String() string {
	var parts []string
	for _, state := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%v:%d", state, counts[state]))
	}
	return strings.Join(parts, " ")
}

// logWaitingStep logs the state of a waiting step and of its advice and allocations.
func (c *Cell) logWaitingStep(s *step, counts allocationCounts, now time.Time) {
	pending, started := 0, 0
	for _, t := range s.tasks {
		switch t.phase {
		case work.Pending:
			pending++
		case work.Started:
			started++
		}
	}
	valid, slots := 0, 0
	q := c.queueOf(s.job)
	for _, v := range c.calledVMs {
		if _, ok := s.advice.validTicket(v, now); ok {
			valid++
		}
		if s.permittedOn(q, v) && c.suitable(s, q, v, now) {
			slots += v.slotsAt(s, now, now)
		}
	}
	c.logger.WithFields(logrus.Fields{
		"step": s.key(), "age_ms": now.Sub(s.job.latencyStart(s.occ)).Milliseconds(),
		"pending": pending, "started": started, "done": s.doneTasks, "claims": counts.String(), "gang": s.spec.Gang,
		"held_by_cap": pending > 0 && s.heldByCap(pending), "in_excess": s.job.excess,
		"asking": s.advice.callsInFlight > 0, "granted": len(s.advice.tickets), "valid": valid, "slots": slots, "queue_known": q != nil,
	}).Info("step waits")
}
