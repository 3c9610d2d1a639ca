package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case. The site has freezes of a share of 0.11 for 3.5 s; two of 19 machines are 0.105.
const (
	freezeFor     = 3500 * time.Millisecond
	freezeEvery   = 5700 * time.Millisecond
	freezeRounds  = 11
	freezeCount   = 2
	freezeStagger = 450 * time.Millisecond
	askUntil      = 108 * time.Second // after the start of the play; a slow machine asks for fewer jobs
)

// frozenFollower freezes machines in turn while many short jobs are handed in, and then asks every machine for every
// job that was accepted.
func frozenFollower(r *rig) verdict {
	if err := r.addMachines([]int{5, 5, 5, 4}); err != nil {
		return verdict{err: err}
	}
	if err := r.addExecutors(24, "torquebench", false); err != nil {
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
	w := newWorkload(r, 400, `{"specification":"50ms","steps":[{"count":1,"cpu":500,"requested_memory_mb":64,"estimated_ms":50}]}`)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		w.run(ctx)
		close(stopped)
	}()
	time.Sleep(6 * time.Second)
	for round := range freezeRounds {
		began := time.Now()
		if r.trouble {
			r.freeze(round)
		}
		time.Sleep(freezeEvery - time.Since(began))
	}
	stop()
	<-stopped
	r.rec.line("%s", w.summary())
	time.Sleep(contact + visible)
	return verdict{broken: r.askAll(w.accepted())}
}

// freeze stops the processes of some machines for a while, one shortly after the other.
func (r *rig) freeze(round int) {
	var frozen sync.WaitGroup
	for i := range freezeCount {
		m := r.machines[(round*freezeCount+i)%len(r.machines)]
		frozen.Go(func() {
			time.Sleep(time.Duration(i) * freezeStagger)
			r.rec.line("%s is frozen for %v", m.name, freezeFor)
			m.signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			m.signal(syscall.SIGCONT)
			r.rec.line("%s runs again", m.name)
		})
	}
	frozen.Wait()
}

// askAll asks every machine for the state of every job and returns what breaks LOST. All machines have been calm for
// longer than contact, and all jobs were accepted longer than visible before.
func (r *rig) askAll(jobs []job) []string {
	var mu sync.Mutex
	var broken []string
	lost := make(map[string]bool)
	states := make(map[string]int)
	var asking sync.WaitGroup
	for _, m := range r.machines {
		asking.Go(func() {
			for _, j := range jobs {
				if time.Since(r.rec.started) > askUntil {
					return
				}
				a := m.request(http.MethodGet, host, prefix+j.id, "", clientWait)
				mu.Lock()
				states[fmt.Sprintf("%s: %d %s", m.name, a.status, a.body)]++
				if a.status == http.StatusGone {
					broken = append(broken, fmt.Sprintf("LOST: job %s, accepted by %s %.1f s before, is answered 410 by %s", j.id, j.accepted.name, time.Since(j.at).Seconds(), m.name))
					lost[j.id] = true
				}
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	for s, n := range states {
		r.rec.line("states of all jobs at %s: %d times", s, n)
	}
	for id := range lost {
		for _, s := range r.ran.startsOf(id) {
			r.rec.line("job %s: task %s run %d was started on %s", id, s.task, s.run, s.executor)
		}
		for _, m := range r.machines {
			a := m.request(http.MethodGet, host, prefix+id, "", clientWait)
			r.rec.line("job %s: %s answers %d %s", id, m.name, a.status, a.body)
		}
	}
	return broken
}
