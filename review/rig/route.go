package main

import (
	"fmt"
	"net/http"
	"time"
)

// otherPrefix is the path prefix of the route that stays.
const otherPrefix = "/mi89/"

// removedRoute removes a route with advice while the second step of its jobs waits for the first, and looks finish_s
// after the last job was accepted which of the jobs have had nothing running for 3 s.
func removedRoute(r *rig) verdict {
	if err := r.addMachines([]int{3, 2, 2, 2}); err != nil {
		return verdict{err: err}
	}
	if err := r.addExecutors(24, "torquebench", false); err != nil {
		return verdict{err: err}
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "service": "torquebench", "timeout_ms": 3000, "priority": 0, "attempts": 2,
			"stretch": 2.0, "target_latency_ms": 3000, "advice": map[string]any{"decision_ms": 10, "per_worker_ms": 0.15, "validity_ms": 2000},
		}
	}
	r.configure(3, []map[string]any{route("fault-trace", prefix), route("sensor-check", otherPrefix)}, "torquebench")
	if err := r.startMachines(); err != nil {
		return verdict{err: err}
	}
	r.rec.line("%d machines ready", len(r.machines))
	var jobs []job
	for i := range 20 {
		j := job{id: newID(), accepted: r.machines[i%len(r.machines)], at: time.Now()}
		r.advice.bind(j.id)
		a := j.accepted.request(http.MethodPost, host, prefix+j.id, `{"specification":"3s","steps":[{"count":2,"cpu":2000,"requested_memory_mb":256,"estimated_ms":3000},{"count":4,"cpu":2000,"requested_memory_mb":256,"estimated_ms":3000,"after":[0]}]}`, clientWait)
		if a.status != http.StatusOK {
			return verdict{err: fmt.Errorf("job %s is answered %d %s", j.id, a.status, a.body)}
		}
		jobs = append(jobs, j)
	}
	end := time.Now()
	r.rec.line("%d jobs are accepted", len(jobs))
	time.Sleep(time.Second)
	if r.trouble {
		r.configure(4, []map[string]any{route("sensor-check", otherPrefix)}, "torquebench")
		r.rec.line("version 4 of the configuration, without the route of the jobs, is confirmed")
	}
	asked := r.advice.calls()
	time.Sleep(finish - time.Since(end))
	idle, broken := r.idleJobs(jobs, 2000)
	r.rec.line("%d calls for advice since", r.advice.calls()-asked)
	for _, j := range idle {
		r.rec.line("job %s: %d starts were refused for want of a ticket", j.id, r.advice.refusals(j.id))
	}
	if len(idle) > 0 {
		r.configure(5, []map[string]any{route("fault-trace", prefix), route("sensor-check", otherPrefix)}, "torquebench")
		r.rec.line("version 5 of the configuration, with the route again, is confirmed")
		r.awaitIdle(idle)
	}
	return verdict{broken: broken}
}
