package main

import (
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "orphan".
const (
	windows       = 6
	windowEvery   = 13 * time.Second
	lostTime      = 4500 * time.Millisecond // for which answers of the store are lost in each window
	lostShare     = 0.35                    // of the writes of that time, at most
	burstTime     = 1900 * time.Millisecond // at the beginning of it, in which all the losses are
	leaderAfter   = 780 * time.Millisecond  // after which those of a leader are lost too
	lateBy        = time.Second             // that these writes are done later
	lastWait      = 8 * time.Second         // after the last window
	jobsPerSecond = 40
	jobCPU        = 50 // thousandths of a core
)

// playOrphan kills the leader as answers of the store begin to be lost, several times, and looks for accepted jobs of
// tasks that last and that nobody runs in the calm afterwards.
func playOrphan(c *cell) (bool, error) {
	var sending sync.WaitGroup
	var jobs []*job
	var disturbed []time.Time
	body := jobBody(lasting, 1, jobCPU, 1000, true, 0)
	for range windows {
		began := time.Now()
		if c.trouble {
			disturbed = append(disturbed, began)
			c.store.loseAnswers(leaderAfter, burstTime, lateBy)
			c.machines[c.store.holder()].signal(syscall.SIGKILL)
		}
		tick := time.NewTicker(time.Second / jobsPerSecond)
		for time.Since(began) < lostTime {
			<-tick.C
			j := &job{id: c.clients.newID(), tasks: 1, lasts: true}
			jobs = append(jobs, j)
			sending.Go(func() { c.clients.submit(j, body, nil) })
		}
		tick.Stop()
		if lost, writes := c.store.endLosses(); c.trouble {
			share := float64(lost) / float64(writes)
			c.log.say("answers to %d of %d writes were lost (%.2f)", lost, writes, share)
			if share > lostShare {
				c.log.say("that is more than the pages allow")
			}
		}
		time.Sleep(windowEvery - time.Since(began))
	}
	sending.Wait()
	time.Sleep(lastWait)
	runs := make(map[string][]startEvent)
	for _, r := range c.runs() {
		id := r.task[:strings.IndexByte(r.task, '.')]
		runs[id] = append(runs[id], r)
	}
	now := time.Now()
	accepted, broken := 0, 0
	for _, j := range jobs {
		if !j.accepted() {
			continue
		}
		accepted++
		if len(runs[j.id]) == 0 {
			c.log.say("job %s, accepted %.1f s ago, has not run yet; it is shown as %s", j.id, now.Sub(j.ackedAt).Seconds(), c.clients.state(j.id))
		}
		for _, gap := range gaps(j.ackedAt, now, runs[j.id]) {
			for _, calm := range calmParts(gap, disturbed, lostTime) {
				if calm.to.Sub(calm.from) >= idle {
					broken++
					c.log.say("job %s, accepted at %.1f s, has no run from then to %.1f s, calm from %.1f s; answers: %s", j.id, gap.from.Sub(c.begun).Seconds(),
						gap.to.Sub(c.begun).Seconds(), calm.from.Sub(c.begun).Seconds(), j.history())
				}
			}
		}
	}
	c.log.say("%d of %d jobs were accepted; spans of 3 s and more, in calm, in which an accepted job had no run: %d", accepted, len(jobs), broken)
	return broken > 0, nil
}
