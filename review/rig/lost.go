package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the case.
const (
	lostExecutorCount = 3                // of 24: 0.125, where the site has a share of 0.14
	lostBeforeEnd     = 3 * time.Second  // before the end of the traffic
	finish            = 14 * time.Second // finish_s
	idleFor           = 3 * time.Second  // for which a job may have nothing running
)

// lostExecutors takes some executors away for good shortly before the traffic ends, and looks finish_s later which of
// the accepted jobs have had nothing running for 3 s.
func lostExecutors(r *rig) verdict {
	if err := r.addMachines([]int{3, 2, 2, 2}); err != nil {
		return verdict{err: err}
	}
	if err := r.addExecutors(24, "torquebench", true); err != nil {
		return verdict{err: err}
	}
	r.configure(3, []map[string]any{{
		"name": "sensor-check", "host": host, "path_prefix": prefix, "service": "torquebench", "timeout_ms": 3000,
		"priority": 0, "attempts": 2, "stretch": 2.0, "target_latency_ms": 3000,
	}}, "torquebench")
	if err := r.startMachines(); err != nil {
		return verdict{err: err}
	}
	r.rec.line("%d machines ready", len(r.machines))
	w := newWorkload(r, 60, `{"specification":"400ms","steps":[{"count":4,"cpu":1000,"requested_memory_mb":256,"estimated_ms":400}]}`)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		w.run(ctx)
		close(stopped)
	}()
	time.Sleep(15 * time.Second)
	if r.trouble {
		for _, e := range r.newestStarted(lostExecutorCount) {
			r.rec.line("executor %s is lost for good", e.id)
			e.loseForGood()
		}
	}
	time.Sleep(lostBeforeEnd)
	stop()
	<-stopped
	end := time.Now()
	r.rec.line("traffic ends: %s", w.summary())
	time.Sleep(finish - time.Since(end))
	idle, broken := r.idleJobs(w.accepted(), 1000)
	r.awaitIdle(idle)
	return verdict{broken: broken}
}

// awaitIdle records when the jobs that were idle are completed, for 20 s at most.
func (r *rig) awaitIdle(idle []job) {
	for deadline := time.Now().Add(20 * time.Second); len(idle) > 0 && time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		idle = slices.DeleteFunc(idle, func(j job) bool {
			done := r.machines[0].request(http.MethodGet, host, prefix+j.id, "", clientWait).body == completedBody
			if done {
				r.rec.line("job %s is completed, %.1f s after it was accepted", j.id, time.Since(j.at).Seconds())
			}
			return done
		})
	}
}

// completedBody is the answer for a job whose tasks have all ended as done.
const completedBody = `{"state":"completed"}`

// newestStarted returns the executors on which tasks were started last.
func (r *rig) newestStarted(n int) []*executor {
	r.ran.mu.Lock()
	last := make(map[string]int)
	for i, s := range r.ran.starts {
		last[s.executor] = i + 1
	}
	r.ran.mu.Unlock()
	sorted := slices.Clone(r.executors)
	slices.SortStableFunc(sorted, func(a, b *executor) int { return last[b.id] - last[a.id] })
	return sorted[:n]
}

// idleJobs returns the jobs that aren't completed and break LOST: for idleFor nothing of them has run, while there was
// capacity for a task twice over and under half of the capacity was in use. The jobs have no times, so in each that
// isn't completed the turn of a task has come.
func (r *rig) idleJobs(jobs []job, taskMilliCPU int) (idle []job, broken []string) {
	now := time.Now()
	since := now.Add(-idleFor)
	r.ran.mu.Lock()
	newest := make(map[string]time.Time) // by job: when something of it ran last
	used := len(r.ran.running)           // runs at any moment since then
	for task := range r.ran.running {
		newest[task[:16]] = now
	}
	for _, e := range r.ran.ends {
		if id := e.task[:16]; e.at.After(newest[id]) {
			newest[id] = e.at
		}
		if e.at.After(since) {
			used++
		}
	}
	r.ran.mu.Unlock()
	total := 0
	for _, e := range r.executors {
		e.mu.Lock()
		if !e.dark {
			total += executorCPU
		}
		e.mu.Unlock()
	}
	r.rec.line("in the last %v at most %d of %d thousandths of a core were in use", idleFor, used*taskMilliCPU, total)
	excused := 2*used*taskMilliCPU >= total || total-used*taskMilliCPU < 2*taskMilliCPU
	if excused {
		r.rec.line("half of the capacity was in use, or too little free: the rule excuses what waits")
	}
	for _, j := range jobs {
		last := newest[j.id]
		if last.IsZero() {
			last = j.at
		}
		a := r.machines[0].request(http.MethodGet, host, prefix+j.id, "", clientWait)
		if a.status == http.StatusOK && a.body == completedBody || last.After(since) || excused {
			continue
		}
		idle = append(idle, j)
		broken = append(broken, fmt.Sprintf("LOST: job %s, accepted %.1f s before, is %d %s and has had nothing running for %.1f s", j.id, now.Sub(j.at).Seconds(), a.status, a.body, now.Sub(last).Seconds()))
		for _, s := range r.ran.startsOf(j.id) {
			r.rec.line("job %s: task %s run %d was started on %s %.1f s before", j.id, s.task, s.run, s.executor, now.Sub(s.at).Seconds())
		}
	}
	return idle, broken
}
