package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// runningSoon is how long after its first start a job's durable record says that
// it runs, if nothing else has to be recorded before: most short jobs need no
// record of their own for that. Until then the job is counted as pending.
const runningSoon = 500 * time.Millisecond

// hasBegun notes that a run of a job is known to be at work. Before that, as while
// its executor gives no answer, the job is still pending.
func (c *Cell) hasBegun(j *job, now time.Time) {
	if j.state != work.Queued {
		return
	}
	j.state = work.Running
	j.started = now
	c.begun = append(c.begun, j)
}

// RecordRunning has those jobs recorded as running that began some time ago.
func (c *Cell) RecordRunning(now time.Time) {
	n := 0
	for n < len(c.begun) && now.Sub(c.begun[n].started) >= runningSoon {
		if j := c.begun[n]; !j.state.Final() && !j.toldRunning {
			c.mark(j)
		}
		n++
	}
	c.begun = c.begun[n:]
}
