package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// runningRecordDelay is how long after a job's first start its durable record says that it
// runs, unless another change has to be recorded earlier. Most short jobs thereby need no
// record of their own for that. Until then the job is counted as pending.
const runningRecordDelay = 500 * time.Millisecond

// markRunning records that a run of a job is known to be running. Until then the job is
// pending, also while its executor gives no answer.
func (c *Cell) markRunning(j *job, now time.Time) {
	if j.state != work.Queued {
		return
	}
	j.state = work.Running
	j.startedAt = now
	c.recordFirstStart(j, now)
	c.recentlyStarted = append(c.recentlyStarted, j)
}

// RecordRunning has jobs recorded as running that started at least runningRecordDelay ago.
func (c *Cell) RecordRunning(now time.Time) {
	done := 0
	for done < len(c.recentlyStarted) && now.Sub(c.recentlyStarted[done].startedAt) >= runningRecordDelay {
		if j := c.recentlyStarted[done]; !j.state.Final() && !j.recordedRunning {
			c.markDirty(j)
		}
		done++
	}
	c.recentlyStarted = c.recentlyStarted[done:]
}
