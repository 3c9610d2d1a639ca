package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the case "starve".
const (
	replicas     = 1200 // tasks of the job
	replicaCPU   = 60   // thousandths of a core of each
	kills        = 3
	killInterval = 13 * time.Second
	afterKills   = 25 * time.Second
)

// playStarve hands in a job whose tasks last and kills the process that gives the first order for it, and later its
// successors. It looks for tasks that nobody runs in the calm between and after these kills.
func playStarve(c *cell) (bool, error) {
	warm := &job{id: c.clients.newID(), tasks: 4}
	c.clients.submit(warm, jobBody("300", 4, 1000, 300, false, 0), nil)
	if !warm.accepted() {
		return false, fmt.Errorf("the first job wasn't accepted: %s", warm.history())
	}
	time.Sleep(2 * time.Second)
	ordered := make(chan struct{}, 1)
	for _, w := range c.workers {
		w.notifyStart(ordered)
	}
	killed := make(chan []time.Time)
	go func() {
		var at []time.Time
		<-ordered
		for range kills {
			if c.trouble {
				c.machines[c.store.holder()].signal(syscall.SIGKILL)
				at = append(at, time.Now())
			}
			time.Sleep(killInterval)
		}
		killed <- at
	}()
	j := &job{id: c.clients.newID(), tasks: replicas, lasts: true}
	c.clients.submit(j, jobBody(lasting, replicas, replicaCPU, 1000, true, replicas/len(zones)), nil)
	if !j.accepted() {
		return false, fmt.Errorf("the job wasn't accepted: %s", j.history())
	}
	at := <-killed
	time.Sleep(afterKills - killInterval)
	return c.judgeLasting(j, at, restartDelay), nil
}
