package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Figures of the platform's pages for executors.
const (
	maxHold         = 10 * time.Second
	heartbeat       = 1500 * time.Millisecond
	endsInAnAnswer  = 500 // of the ended runs that an answer lists
	maxHoldWaitMs   = 2000
	executorCPU     = 32000
	executorMemory  = 65536
	leaseCheckEvery = 20 * time.Millisecond
)

// behaviour says how long a run lasts and how it ends. A duration of 0 means that it lasts until it is
// stopped.
type behaviour func(task string, run int) (time.Duration, string)

// executor is a stand-in of one life of an executor.
type executor struct {
	id, address, zone, rack string
	rec                     *recorder
	behave                  behaviour
	began                   time.Time

	mu        sync.Mutex
	fence     uint64
	deadline  int64 // on the executor's clock
	leaseOver bool  // the lease has lapsed and was not renewed since
	running   map[string]*activeRun
	ended     []endedRun // not yet acknowledged
	lastEnd   int        // number of the newest end
	lastSeen  int        // up to which ends were acknowledged
	highest   map[string]int
	wake      chan struct{} // closed and replaced when a run ends
}

type activeRun struct {
	run   int
	timer *time.Timer
}

type endedRun struct {
	number int
	task   string
	run    int
	how    string
}

func newExecutor(id, zone, rack string, rec *recorder, behave behaviour) *executor {
	return &executor{
		id: id, zone: zone, rack: rack, rec: rec, behave: behave, began: time.Now(),
		running: make(map[string]*activeRun), highest: make(map[string]int), wake: make(chan struct{}),
	}
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.serve(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.serve(e.stop))
	mux.HandleFunc("POST /v1/hold", e.serve(e.hold))
	return mux
}

// entry returns what the executor writes about itself into the store.
func (e *executor) entry(sequence int) []byte {
	data, err := json.Marshal(map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "clock_ms": e.clock(), "sequence": sequence, "labels": []string{"a", e.rack},
		"capacity": map[string]int{"cpu": executorCPU, "requested_memory_mb": executorMemory, "gpu": 0},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// registerForever writes the entry at every heartbeat.
func (e *executor) registerForever(s *store) {
	for n := 1; ; n++ {
		s.put("keyed.servers", e.id, e.entry(n))
		time.Sleep(heartbeat)
	}
}

// watchLease ends all runs when the lease has expired.
func (e *executor) watchLease() {
	for {
		time.Sleep(leaseCheckEvery)
		e.mu.Lock()
		e.checkLease()
		e.mu.Unlock()
	}
}

func (e *executor) checkLease() {
	if e.deadline == 0 || e.leaseOver || e.clock() < e.deadline {
		return
	}
	e.leaseOver = true // also with nothing at work: an end that is taken note of later doesn't count then
	e.rec.lapsed(e.id)
	for task, a := range e.running {
		e.end(task, a.run, "lapsed")
	}
}

// clock returns the executor's clock in milliseconds.
func (e *executor) clock() int64 { return time.Since(e.began).Milliseconds() }

// order holds the fields of all calls.
type order struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Fence         uint64 `json:"fencing_token"`
	LastSeen      int    `json:"last_seen"`
	WaitMs        int    `json:"wait_ms"`
}

func (e *executor) serve(handle func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Skylarklock-Expected-Instance"); want != "" && want != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Fence >= e.fence {
			e.fence = o.Fence
			e.checkLease()
			status, body = handle(r, o)
		}
		body["clock_ms"] = e.clock()
		e.mu.Unlock()
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		w.WriteHeader(status)
		_, _ = w.Write(data) // an error means that the caller has disconnected
	}
}

func (e *executor) extend(deadline int64) {
	e.deadline = max(e.deadline, min(deadline, e.clock()+maxHold.Milliseconds()))
	e.leaseOver = e.deadline <= e.clock()
}

func (e *executor) start(_ *http.Request, o order) (int, map[string]any) {
	if a := e.running[o.Task]; a != nil && a.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		e.extend(o.Deadline)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.Deadline <= e.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case e.running[o.Task] != nil: // a newer run while an older one is still there
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	e.extend(o.Deadline)
	lasts, how := e.behave(o.Task, o.Run)
	a := &activeRun{run: o.Run}
	if lasts > 0 {
		a.timer = time.AfterFunc(lasts, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(o.Task, o.Run, how)
		})
	}
	e.running[o.Task] = a
	e.rec.started(e.id, o.Task, o.Run)
	return http.StatusOK, map[string]any{}
}

func (e *executor) stop(_ *http.Request, o order) (int, map[string]any) {
	if a := e.running[o.Task]; a != nil && a.run <= o.Run {
		e.end(o.Task, a.run, "stopped")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, map[string]any{}
}

// finish ends the run of a task that is running, from within.
func (e *executor) finish(task, how string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.running[task]
	if a == nil {
		return false
	}
	e.end(task, a.run, how)
	return true
}

func (e *executor) end(task string, run int, how string) {
	a := e.running[task]
	if a == nil || a.run != run {
		return
	}
	if a.timer != nil {
		a.timer.Stop()
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], run)
	e.lastEnd++
	e.ended = append(e.ended, endedRun{e.lastEnd, task, run, how})
	e.rec.ended(e.id, task, run, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *executor) hold(r *http.Request, o order) (int, map[string]any) {
	if o.Deadline > 0 {
		e.extend(o.Deadline)
	}
	for len(e.ended) > 0 && e.ended[0].number <= o.LastSeen {
		e.rec.noted(e.id, e.ended[0].task, e.ended[0].run)
		e.ended = e.ended[1:]
	}
	e.lastSeen = max(e.lastSeen, o.LastSeen)
	timeout := time.After(time.Duration(min(o.WaitMs, maxHoldWaitMs)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(e.ended) == 0; {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	finished := [][]any{}
	for _, end := range e.ended[:min(len(e.ended), endsInAnAnswer)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	running := [][]any{}
	for task, a := range e.running {
		running = append(running, []any{task, a.run, "", 50, 100})
	}
	if len(e.ended) > endsInAnAnswer {
		e.rec.longList(e.id, len(e.ended))
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// isRunning reports whether a run of the task is running.
func (e *executor) isRunning(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[task] != nil
}

// runningCount returns how many runs are running.
func (e *executor) runningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
