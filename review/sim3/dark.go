package main

import (
	"fmt"
	"time"
)

// Figures of the case "dark". The disturbance is taken to last until the entry of the executor that is gone is removed.
const (
	lastingTasks = 8
	entryRemoved = (missedBeats + 1) * heartbeat
	darkTime     = 40 * time.Second
)

// playDark has an executor lose power for good while a job of tasks that last is handed in, and looks for tasks that
// nobody runs afterwards although there is room.
func playDark(c *cell) (bool, error) {
	warm := &job{id: c.clients.newID(), tasks: 4}
	c.clients.submit(warm, jobBody("300", 4, 1000, 300, false), nil)
	if !warm.accepted() {
		return false, fmt.Errorf("the first job wasn't accepted: %s", warm.history())
	}
	time.Sleep(2 * time.Second)
	if c.trouble {
		c.workers[0].losePower()
	}
	lostAt := time.Now()
	j := &job{id: c.clients.newID(), tasks: lastingTasks, lasts: true}
	c.clients.submit(j, jobBody(lasting, lastingTasks, 4000, 1000, true), nil)
	if !j.accepted() {
		return false, fmt.Errorf("the job wasn't accepted: %s", j.history())
	}
	time.Sleep(darkTime)
	return c.judgeLasting(j, []time.Time{lostAt}, entryRemoved), nil
}
