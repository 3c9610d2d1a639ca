package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the case "both". The disturbance is taken to last until the entry of the executor that is gone is removed.
const (
	lastingTasks = 8
	entryRemoved = (missedBeats + 1) * heartbeat
	runTime      = 5 * time.Second // for which the tasks run before the trouble
	powerOff     = 3500 * time.Millisecond
	watchedTime  = 35 * time.Second
)

// playBoth has an executor lose power for good and the leader's machine lose power for a while at the same moment, and
// looks for tasks that last and that nobody runs afterwards although there is room.
func playBoth(c *cell) (bool, error) {
	j := &job{id: c.clients.newID(), tasks: lastingTasks, lasts: true}
	c.clients.submit(j, jobBody(lasting, lastingTasks, 4000, 1000, true, 0), nil)
	if !j.accepted() {
		return false, fmt.Errorf("the job wasn't accepted: %s", j.history())
	}
	time.Sleep(runTime)
	var host *worker
	for _, r := range c.runs() {
		if r.ended.IsZero() {
			host = r.worker
		}
	}
	if host == nil {
		return false, fmt.Errorf("no task of the job runs")
	}
	lostAt := time.Now()
	if c.trouble {
		host.losePower()
		m := c.machines[c.store.holder()]
		m.stayDown(powerOff)
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(watchedTime)
	return c.judgeLasting(j, []time.Time{lostAt}, max(entryRemoved, powerOff)), nil
}
