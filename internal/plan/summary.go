package plan

import (
	"time"

	"github.com/sirupsen/logrus"
)

// asked counts the calls for advice since the last summary.
type asked struct {
	first   int                        // about steps that had no grants
	renewal int                        // naming only executors granted before
	further int                        // naming others too, of a step that has grants
	named   int                        // executors in all
	cost    [overdue + 1]time.Duration // expected time of the calls, by what their steps could still earn
	gangs   time.Duration              // of these, of calls for gangs
}

// countAsk counts a call that is about to be made.
func (c *Cell) countAsk(s *step, named []candidate, cost time.Duration) {
	c.asked.named += len(named)
	c.asked.cost[s.stands] += cost
	if s.spec.Gang {
		c.asked.gangs += cost
	}
	if len(s.advice.tickets) == 0 {
		c.asked.first++
		return
	}
	for _, one := range named {
		if _, granted := s.advice.tickets[one.vm]; !granted {
			c.asked.further++
			return
		}
	}
	c.asked.renewal++
}

// summarise logs how full the cell is and what waits in it.
func (c *Cell) summarise(now time.Time) {
	var usable, runs int
	var capacity, used, whole int64
	for _, v := range c.sorted {
		runs += len(v.claims)
		if !v.usable(now, &c.cfg) {
			continue
		}
		usable++
		capacity += v.Capacity.MilliCPU
		used += v.used.MilliCPU
		if free := v.free().MilliCPU; free > 0 {
			whole += free / wideTask * wideTask
		}
	}
	var asking, unadvised, gangs, tasks int
	for _, s := range c.waiting {
		n := len(s.unplaced())
		tasks += n
		if s.advice.asking > 0 {
			asking++
		}
		if q := c.queue(s.job); n > 0 && q != nil && q.Advice != nil && len(s.advice.tickets) == 0 {
			unadvised++
		}
		if n > 0 && s.spec.Gang {
			gangs++
		}
	}
	backlog := c.Backlog(now)
	room := backlog.ProcessingTimes()
	c.events.WithFields(logrus.Fields{
		"processors": backlog.Processors(), "room_in_time_ms": room.InTime.Milliseconds(),
		"room_late_ms": room.Late.Milliseconds(), "room_overdue_ms": room.Overdue.Milliseconds(),
		"executors": len(c.sorted), "usable": usable, "runs": runs,
		"used_percent": percent(used, capacity), "free_for_wide_percent": percent(whole, capacity),
		"jobs": len(c.jobs), "steps_waiting": len(c.waiting), "gangs_waiting": gangs, "tasks_waiting": tasks,
		"starts_not_reached": c.failures.notReached, "starts_unanswered": c.failures.unanswered, "starts_refused": c.failures.refused,
		"runs_yielded": c.yielded, "advice_under_way": asking, "steps_without_advice": unadvised,
		"first_calls": c.asked.first, "renewals": c.asked.renewal, "further_calls": c.asked.further, "executors_named": c.asked.named,
		"asked_in_time_ms": c.asked.cost[inTime].Milliseconds(), "asked_late_ms": c.asked.cost[late].Milliseconds(),
		"asked_overdue_ms": c.asked.cost[overdue].Milliseconds(), "asked_for_gangs_ms": c.asked.gangs.Milliseconds(),
	}).Info("state of the cell")
	c.asked = asked{}
	c.yielded = 0
	c.failures = startFailures{}
}

// wideTask is the size, in thousandths of a processor, of the tasks for which
// free room in one piece is told: those of the users' widest queue.
const wideTask = 9000

func percent(part, whole int64) int64 {
	if whole == 0 {
		return 0
	}
	return 100 * part / whole
}
