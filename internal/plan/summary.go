package plan

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/advicepolicy"
)

// adviceStats counts the advice calls since the last summary.
type adviceStats struct {
	firstCalls     int                               // calls for steps without grants
	renewals       int                               // calls that name only executors granted before
	furtherCalls   int                               // calls for steps with grants that also name other executors
	executorsNamed int                               // executors named in all calls
	cost           [overdue + 1]time.Duration        // expected time of the calls, by the lateness of their steps
	gangCost       time.Duration                     // expected time of the calls for gangs
	heldBack       [advicepolicy.NumberOfReasons]int // calls that were not made
}

// countAdviceCall counts a call that is about to be made.
func (c *Cell) countAdviceCall(s *step, named []candidate, cost time.Duration) {
	c.adviceStats.executorsNamed += len(named)
	c.adviceStats.cost[s.lateness] += cost
	if s.spec.Gang {
		c.adviceStats.gangCost += cost
	}
	if len(s.advice.tickets) == 0 {
		c.adviceStats.firstCalls++
		return
	}
	for _, cand := range named {
		if _, granted := s.advice.tickets[cand.vm]; !granted {
			c.adviceStats.furtherCalls++
			return
		}
	}
	c.adviceStats.renewals++
}

// heldBackFields returns the numbers of calls that were held back as log fields.
func (a *adviceStats) heldBackFields() logrus.Fields {
	fields := make(logrus.Fields)
	for _, r := range advicepolicy.Reasons() {
		fields["calls_held_"+r.String()] = a.heldBack[r]
	}
	return fields
}

// logSummary logs how much of the cell's capacity is used and what waits for a start.
func (c *Cell) logSummary(now time.Time) {
	var usable, runs, awaitingEnds int
	var capacity, used, wide int64
	for _, v := range c.calledVMs {
		runs += len(v.allocations)
		if v.awaitsEnds {
			awaitingEnds++
		}
		if !v.usable(now, &c.cfg) {
			continue
		}
		usable++
		capacity += v.Capacity.MilliCPU
		used += v.used.MilliCPU
		if free := v.free().MilliCPU; free > 0 {
			wide += free / wideTaskMilliCPU * wideTaskMilliCPU
		}
	}
	var callsInFlight, unadvised, gangs, tasks int
	for _, s := range c.waitingSteps {
		n := s.countToPlace()
		tasks += n
		if s.advice.callsInFlight > 0 {
			callsInFlight++
		}
		if q := c.queueOf(s.job); n > 0 && q != nil && q.Advice != nil && len(s.advice.tickets) == 0 {
			unadvised++
		}
		if n > 0 && s.spec.Gang {
			gangs++
		}
	}
	backlog := c.Backlog(now)
	times := backlog.ProcessingTimes()
	fields := logrus.Fields{
		"processors": backlog.Processors(), "room_in_time_ms": times.InTime.Milliseconds(),
		"room_late_ms": times.Late.Milliseconds(), "room_overdue_ms": times.Overdue.Milliseconds(),
		"executors": len(c.sortedVMs), "usable": usable, "runs": runs, "executors_awaiting_ends": awaitingEnds,
		"used_percent": percent(used, capacity), "free_for_wide_percent": percent(wide, capacity),
		"jobs": len(c.jobs), "steps_waiting": len(c.waitingSteps), "gangs_waiting": gangs, "tasks_waiting": tasks,
		"starts_not_reached": c.failedStarts.notReached, "starts_unanswered": c.failedStarts.unanswered, "starts_refused": c.failedStarts.refused,
		"runs_yielded": c.preemptedRuns, "advice_under_way": callsInFlight, "steps_without_advice": unadvised,
		"first_calls": c.adviceStats.firstCalls, "renewals": c.adviceStats.renewals, "further_calls": c.adviceStats.furtherCalls, "executors_named": c.adviceStats.executorsNamed,
		"asked_in_time_ms": c.adviceStats.cost[inTime].Milliseconds(), "asked_late_ms": c.adviceStats.cost[late].Milliseconds(),
		"asked_overdue_ms": c.adviceStats.cost[overdue].Milliseconds(), "asked_for_gangs_ms": c.adviceStats.gangCost.Milliseconds(),
	}
	c.gangs.addSummary(fields)
	c.logger.WithFields(c.adviceStats.heldBackFields()).WithFields(fields).Info("state of the cell")
	c.adviceStats = adviceStats{}
	c.preemptedRuns = 0
	c.failedStarts = startFailures{}
}

// wideTaskMilliCPU is the size, in thousandths of a processor, of the tasks for which
// unfragmented free capacity is logged: those of the users' widest queue.
const wideTaskMilliCPU = 9000

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
