package plan

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/work"
)

// Bounds of the lines about steps that wait.
const (
	explainAfter = 5 * time.Second // that a step has waited before it is explained
	explainEvery = 5 * time.Second
	explainMost  = 5 // lines at a time
)

// ExplainWaits logs, now and then, why the oldest waiting steps wait.
func (c *Cell) ExplainWaits(now time.Time) {
	if now.Sub(c.explained) < explainEvery {
		return
	}
	c.explained = now
	c.summarise(now)
	lines := 0
	for _, s := range c.inTurn {
		if lines == explainMost {
			return
		}
		if now.Sub(s.job.from(s.occ)) > explainAfter && len(s.unplaced()) > 0 {
			c.explain(s, now)
			lines++
		}
	}
}

// asked counts the calls for advice since the last summary.
type asked struct {
	first   int // about steps that had no grants
	renewal int // naming only executors granted before
	further int // naming others too, of a step that has grants
	named   int // executors in all
}

// countAsk counts a call that is about to be made.
func (c *Cell) countAsk(s *step, ids []string) {
	c.asked.named += len(ids)
	if len(s.advice.tickets) == 0 {
		c.asked.first++
		return
	}
	for _, id := range ids {
		if _, granted := s.advice.tickets[id]; !granted {
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
		if s.advice.asking {
			asking++
		}
		if q := c.queue(s.job); n > 0 && q != nil && q.Advice != nil && len(s.advice.tickets) == 0 {
			unadvised++
		}
		if n > 0 && s.spec.Gang {
			gangs++
		}
	}
	c.events.WithFields(logrus.Fields{
		"executors": len(c.sorted), "usable": usable, "runs": runs,
		"used_percent": percent(used, capacity), "free_for_wide_percent": percent(whole, capacity),
		"jobs": len(c.jobs), "steps_waiting": len(c.waiting), "gangs_waiting": gangs, "tasks_waiting": tasks,
		"advice_under_way": asking, "steps_without_advice": unadvised,
		"first_calls": c.asked.first, "renewals": c.asked.renewal, "further_calls": c.asked.further, "executors_named": c.asked.named,
	}).Info("state of the cell")
	c.asked = asked{}
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

// explain logs what a step waits for.
func (c *Cell) explain(s *step, now time.Time) {
	pending, started, claims := 0, 0, 0
	for _, t := range s.tasks {
		claims += t.claims
		switch t.phase {
		case work.Pending:
			pending++
		case work.Started:
			started++
		}
	}
	valid, room := 0, 0
	q := c.queue(s.job)
	for _, v := range c.sorted {
		if _, ok := s.advice.valid(v.Ref.ID, now); ok {
			valid++
		}
		if s.mayRun(q, v) && c.suits(s, q, v, now) {
			room += v.slotsAt(s, v.free(), now, now)
		}
	}
	c.events.WithFields(logrus.Fields{
		"step": s.key(), "age_ms": now.Sub(s.job.from(s.occ)).Milliseconds(),
		"pending": pending, "started": started, "done": s.done, "claims": claims, "gang": s.spec.Gang,
		"asking": s.advice.asking, "granted": len(s.advice.tickets), "valid": valid, "slots": room, "queue_known": q != nil,
	}).Info("step waits")
}
