package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case.
const (
	zoneCutLength = 5500 * time.Millisecond // the site has 5.5 s, and 6.5 s on one of its days
	zoneCutGap    = 1000 * time.Millisecond // from the end of a cut to the next one
	zoneCutCount  = 14
	lastingJobs   = 20
	lastingTasks  = 20 // of each job
)

// lastingBody is a job whose tasks run until it is cancelled.
var lastingBody = fmt.Sprintf(`{"specification":"for ever","steps":[{"count":%d,"cpu":1000,"requested_memory_mb":256,"estimated_ms":1000,"long_running":true}]}`, lastingTasks)

// failedBody is the answer for a job of which a task has failed for good.
const failedBody = `{"state":"failed"}`

// cutZones cuts two of four zones by turns off from the others and from the store, and looks whether jobs that last are
// shown as failed.
func cutZones(r *rig) verdict {
	if err := r.addMachines([]int{3, 2, 2, 2}); err != nil {
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
	var jobs []job
	for i := range lastingJobs {
		j := job{id: newID(), accepted: r.machines[i%len(r.machines)]}
		if a := j.accepted.request(http.MethodPost, host, prefix+j.id, lastingBody, clientWait); a.status/100 != 2 {
			return verdict{err: fmt.Errorf("job %s is answered %d %s", j.id, a.status, a.body)}
		}
		j.at = time.Now()
		r.rec.line("job %s of %d tasks that last is accepted", j.id, lastingTasks)
		jobs = append(jobs, j)
	}
	if err := r.awaitRunning(lastingJobs * lastingTasks); err != nil {
		return verdict{err: err}
	}
	failed := make(map[string]string)
	for i := range zoneCutCount {
		zone := r.zones[2+i%2]
		if r.trouble {
			r.cutZone(zone)
		}
		r.lookFor(jobs, zone, zoneCutLength, failed)
		if r.trouble {
			r.healZone(zone)
		}
		r.lookFor(jobs, "", zoneCutGap, failed)
	}
	r.lookFor(jobs, "", contact, failed)
	r.ran.mu.Lock()
	r.rec.line("%d starts; not judged here: %d runs beside another or after an end, %v", len(r.ran.starts), len(r.ran.twice), r.ran.twice[:min(3, len(r.ran.twice))])
	r.ran.mu.Unlock()
	var broken []string
	m := r.machines[0] // of a zone that was never cut off
	for _, j := range jobs {
		a := m.request(http.MethodGet, host, prefix+j.id, "", clientWait)
		r.rec.line("job %s: %s answers %d %s; %s", j.id, m.name, a.status, a.body, r.endsOf(j.id))
		if a.status != http.StatusOK || a.body != failedBody {
			continue
		}
		broken = append(broken, fmt.Sprintf("LOST: job %s is shown as failed by %s, without an end failed and without a crash", j.id, m.name))
		r.recordStarts(j.id)
	}
	return verdict{broken: broken}
}

// awaitRunning waits until so many tasks run.
func (r *rig) awaitRunning(n int) error {
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		r.ran.mu.Lock()
		running := len(r.ran.running)
		r.ran.mu.Unlock()
		switch {
		case running >= n:
			r.rec.line("%d tasks run", running)
			return nil
		case time.Now().After(deadline):
			return fmt.Errorf("only %d of %d tasks run", running, n)
		}
	}
}

// lookFor asks for the states of the jobs once a second for some time, by turns at machines outside a zone, and notes
// which are shown as failed.
func (r *rig) lookFor(jobs []job, without string, length time.Duration, failed map[string]string) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(min(time.Second, max(0, time.Until(end)))) {
		var mu sync.Mutex
		var looks sync.WaitGroup
		for i, j := range jobs {
			m := r.machines[(i+int(time.Since(j.at).Seconds()))%len(r.machines)]
			if m.zone == without || failed[j.id] != "" {
				continue
			}
			looks.Go(func() {
				a := m.request(http.MethodGet, host, prefix+j.id, "", time.Second)
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusOK && a.body == failedBody {
					failed[j.id] = m.name
					r.rec.line("job %s is shown as failed by %s", j.id, m.name)
				}
			})
		}
		looks.Wait()
	}
}

// cutZone cuts a zone off from the others and from the store. The cut is silent. Its executors run on. Its machines
// reach nobody; since no proxy lies between processes, they are stopped as long.
func (r *rig) cutZone(zone string) {
	names := []string{}
	for _, m := range r.machines {
		if m.zone == zone {
			m.signal(syscall.SIGSTOP)
			names = append(names, m.name)
		}
	}
	for _, e := range r.executors {
		if e.zone == zone {
			e.cutOff()
			names = append(names, e.id)
		}
	}
	r.rec.line("%s is cut off: %s", zone, strings.Join(names, " "))
}

// healZone ends the cut of a zone.
func (r *rig) healZone(zone string) {
	for _, m := range r.machines {
		if m.zone == zone {
			m.signal(syscall.SIGCONT)
		}
	}
	for _, e := range r.executors {
		if e.zone == zone {
			e.reconnect()
		}
	}
	r.rec.line("%s is back", zone)
}

// cutOff cuts the executor off from the store and from all machines. It runs on until its lease is over.
func (e *executor) cutOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.healed = make(chan struct{})
	id, beatAt := e.currentID(), e.beatAt
	time.AfterFunc(time.Until(beatAt.Add(3*heartbeat)), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.beatAt.Equal(beatAt) { // nothing was heard of it since
			e.store.drop("keyed.servers", id)
		}
	})
}

// reconnect ends the cut.
func (e *executor) reconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.healed)
	e.healed = nil
}

// awaitReconnect keeps a channel silent while the executor is cut off, and then resets it: what was sent meanwhile is
// lost. It returns at once if the executor isn't cut off. The caller holds e.mu.
func (e *executor) awaitReconnect() {
	healed := e.healed
	if healed == nil {
		return
	}
	e.mu.Unlock()
	select {
	case <-healed:
	case <-e.stopped:
	}
	abort()
}

// endsOf counts the ends of a job's runs.
func (r *rig) endsOf(id string) string {
	r.ran.mu.Lock()
	defer r.ran.mu.Unlock()
	counts := make(map[string]int)
	for _, end := range r.ran.ends {
		if strings.HasPrefix(end.task, id+".") {
			counts[end.how]++
		}
	}
	return fmt.Sprintf("ends of its runs: %v", counts)
}

// recordStarts records the starts of the job's task that was started most often.
func (r *rig) recordStarts(id string) {
	starts := make(map[string][]start)
	most := ""
	for _, s := range r.ran.startsOf(id) {
		starts[s.task] = append(starts[s.task], s)
		if len(starts[s.task]) > len(starts[most]) {
			most = s.task
		}
	}
	for _, s := range starts[most] {
		r.rec.line("task %s run %d was started on %s at %.3f", s.task, s.run, s.executor, s.at.Sub(r.rec.started).Seconds())
	}
}
