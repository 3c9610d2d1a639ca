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

// Bounds of the lines about steps that wait.
const (
	explainAfter = 5 * time.Second // that a step has waited before it is explained
	explainEvery = 5 * time.Second
	explainMost  = 5 // lines at a time
)

// LogWaitingSteps logs, now and then, why the oldest waiting steps wait.
func (c *Cell) LogWaitingSteps(now time.Time) {
	if now.Sub(c.explained) < explainEvery {
		return
	}
	c.explained = now
	c.summarise(now)
	claims := c.claimsByStep()
	lines := 0
	for _, s := range c.inTurn {
		if lines == explainMost {
			return
		}
		if now.Sub(s.job.from(s.occ)) > explainAfter && s.idle(claims[s]) > 0 {
			c.explain(s, claims[s], now)
			lines++
		}
	}
}

// claimCounts are numbers of claims by their state.
type claimCounts map[claimState]int

// claimsByStep counts the claims of each step's tasks.
func (c *Cell) claimsByStep() map[*step]claimCounts {
	all := make(map[*step]claimCounts)
	for _, v := range c.sorted {
		for _, cl := range v.claims {
			if cl.task == nil {
				continue
			}
			counts := all[cl.task.step]
			if counts == nil {
				counts = make(claimCounts)
				all[cl.task.step] = counts
			}
			counts[cl.state]++
		}
	}
	return all
}

// idle returns how many tasks of a step have not ended and aren't known to be at work.
func (s *step) idle(claims claimCounts) int { return len(s.tasks) - s.done - claims[atWork] }

// String returns the counts as state:number.
func (n claimCounts) String() string {
	var text []string
	for _, state := range slices.Sorted(maps.Keys(n)) {
		text = append(text, fmt.Sprintf("%v:%d", state, n[state]))
	}
	return strings.Join(text, " ")
}

// explain logs what a step waits for.
func (c *Cell) explain(s *step, claims claimCounts, now time.Time) {
	pending, started := 0, 0
	for _, t := range s.tasks {
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
		"pending": pending, "started": started, "done": s.done, "claims": claims.String(), "gang": s.spec.Gang,
		"asking": s.advice.asking > 0, "granted": len(s.advice.tickets), "valid": valid, "slots": room, "queue_known": q != nil,
	}).Info("step waits")
}
