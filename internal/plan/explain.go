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
		if _, ok := s.advice.valid(v, now); ok {
			valid++
		}
		if s.mayRun(q, v) && c.suits(s, q, v, now) {
			room += v.slotsAt(s, now, now)
		}
	}
	c.events.WithFields(logrus.Fields{
		"step": s.key(), "age_ms": now.Sub(s.job.from(s.occ)).Milliseconds(),
		"pending": pending, "started": started, "done": s.done, "claims": claims, "gang": s.spec.Gang,
		"asking": s.advice.asking > 0, "granted": len(s.advice.tickets), "valid": valid, "slots": room, "queue_known": q != nil,
	}).Info("step waits")
}
