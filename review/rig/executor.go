package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Settings of the executors, as on the users' sheets.
const (
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 10 * time.Second
	maxWait      = 2 * time.Second
	endsPerList  = 500
	executorCPU  = 32000
	executorMem  = 65536
	executorRack = 6 // executors in a rack
)

// start is a start of a task that an executor has begun.
type start struct {
	at       time.Time
	task     string
	run      int
	executor string
	token    uint64
}

// execution is what ran on all executors.
type execution struct {
	mu      sync.Mutex
	starts  []start
	running map[string]string // by task: where it runs
	noted   map[string]string // by task: where it has ended as done, which was taken note of
	ended   map[string]bool   // done, and not taken note of yet; true: started since
	twice   []string          // what breaks TWICE
	ends    []runEnd
}

// runEnd is the end of a run.
type runEnd struct {
	at       time.Time
	task     string
	run      int
	executor string
	how      string
	notedAt  time.Time // zero: not taken note of, or only after the lease lapsed
}

func newExecution() *execution {
	return &execution{running: make(map[string]string), noted: make(map[string]string), ended: make(map[string]bool)}
}

func (x *execution) began(s start) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.starts = append(x.starts, s)
	if other, runs := x.running[s.task]; runs {
		x.twice = append(x.twice, fmt.Sprintf("TWICE: task %s run %d starts on %s and runs on %s", s.task, s.run, s.executor, other))
	}
	x.running[s.task] = s.executor
	if where, done := x.noted[s.task]; done {
		x.twice = append(x.twice, fmt.Sprintf("TWICE: task %s run %d starts on %s after it was done on %s", s.task, s.run, s.executor, where))
	}
	if _, done := x.ended[s.task]; done {
		x.ended[s.task] = true
	}
}

// over notes that a run has ended, and how.
func (x *execution) over(task string, run int, executor, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ends = append(x.ends, runEnd{at: time.Now(), task: task, run: run, executor: executor, how: how})
	delete(x.running, task)
	if _, known := x.ended[task]; how == "done" && !known {
		x.ended[task] = false
	}
}

// note notes that an end was taken note of.
func (x *execution) note(task string, run int, where, how string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i := len(x.ends) - 1; i >= 0; i-- {
		if x.ends[i].task == task && x.ends[i].run == run && x.ends[i].executor == where {
			x.ends[i].notedAt = time.Now()
			break
		}
	}
	if how != "done" {
		return
	}
	if x.ended[task] {
		x.twice = append(x.twice, fmt.Sprintf("TWICE: task %s was started again after it was done on %s, which was taken note of later", task, where))
	}
	delete(x.ended, task)
	x.noted[task] = where
}

// excuse notes that the executor's lease lapsed, or its life ended, before an end was taken note of.
func (x *execution) excuse(task string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.ended, task)
}

// startsOf returns the starts of a job's tasks.
func (x *execution) startsOf(job string) []start {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []start
	for _, s := range x.starts {
		if strings.HasPrefix(s.task, job+".") {
			out = append(out, s)
		}
	}
	return out
}

// executor stands in for one executor. A task runs for as long as the specification says, such as "50ms", or until
// it is stopped if that is "for ever".
type executor struct {
	id      string
	zone    string
	rack    string
	kind    string // the label that says of which kind it is
	service string
	address string
	store   *store
	all     *execution
	server  *http.Server

	mu       sync.Mutex
	born     time.Time
	withBorn bool // it says when it was born, and keeps its id over crashes
	lives    int
	down     bool
	dark     bool          // it has lost power for good: it sends nothing, and channels to it hang
	healed   chan struct{} // closed when it is no longer cut off; nil if it isn't
	beatAt   time.Time     // when the store last heard of it
	sequence int
	token    uint64
	lease    int64 // on its clock, ms
	running  map[string]*running
	highest  map[string]int // by task: highest run that was stopped or has ended
	ends     []ended
	lastEnd  int
	wake     chan struct{}
	stopped  chan struct{} // closed at the end of the play
	advice   *advice       // says which starts need a ticket; nil: none

}

type running struct {
	run    int
	timer  *time.Timer
	begun  time.Time
	length time.Duration // 0: it lasts
}

// percent returns how much of its work a run has done, or 100 for one that lasts and is at work.
func (r *running) percent() int {
	if r.length == 0 {
		return 100
	}
	return min(99, int(100*time.Since(r.begun)/r.length))
}

type ended struct {
	number int
	task   string
	run    int
	how    string

	excused bool // the lease lapsed before the end was taken note of
}

func newExecutor(l net.Listener, id, zone, rack, service string, s *store, all *execution) *executor {
	e := &executor{
		id: id, zone: zone, rack: rack, kind: "plain", service: service, address: l.Addr().String(), store: s, all: all,
		born: time.Now(), running: make(map[string]*running), highest: make(map[string]int),
		wake: make(chan struct{}), stopped: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.call(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.call(e.stop))
	mux.HandleFunc("POST /v1/hold", e.call(e.hold))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	go e.watchLease()
	return e
}

// watchLease ends everything when the lease is over, also if nobody calls.
func (e *executor) watchLease() {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-e.stopped:
			return
		case <-ticker.C:
			e.mu.Lock()
			if !e.down && !e.dark {
				e.lapse()
			}
			e.mu.Unlock()
		}
	}
}

// currentID returns the id of the executor's present life. The caller holds e.mu.
func (e *executor) currentID() string {
	if e.withBorn || e.lives == 0 {
		return e.id
	}
	return fmt.Sprintf("%s%d", e.id, e.lives)
}

// register writes the executor's record.
func (e *executor) register() {
	e.mu.Lock()
	if e.down || e.dark || e.healed != nil {
		e.mu.Unlock()
		return
	}
	e.beatAt = time.Now()
	e.sequence++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence, "labels": []string{e.kind, e.rack},
		"capacity": map[string]any{"cpu": executorCPU, "requested_memory_mb": executorMem, "gpu": 0},
	}
	if e.withBorn {
		entry["born"] = e.born.UnixMilli()
	}
	id := e.currentID()
	e.mu.Unlock()
	e.store.put("keyed.servers", id, entry)
}

func (e *executor) beat() {
	for {
		e.register()
		select {
		case <-e.stopped:
			return
		case <-time.After(heartbeat):
		}
	}
}

type callBody struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         uint64 `json:"fencing_token"`
	Ticket        string `json:"ticket"`
	LastSeen      int    `json:"last_seen"`
	Wait          int    `json:"wait_ms"`
}

// clock returns the executor's clock. The caller holds e.mu.
func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// abort ends a call's channel without an answer.
func abort() { panic(http.ErrAbortHandler) }

// loseForGood ends the executor without a sign: its channels hang, and it is never back.
func (e *executor) loseForGood() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dark = true
	for task, r := range e.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.all.over(task, r.run, e.id, "lost")
	}
	for _, end := range e.ends {
		e.all.excuse(end.task)
	}
	e.running, e.ends = make(map[string]*running), nil
	id := e.currentID()
	time.AfterFunc(3*heartbeat, func() { e.store.drop("keyed.servers", id) })
}

// hang keeps a channel silent until the play ends.
func (e *executor) hang() {
	<-e.stopped
	abort()
}

func (e *executor) call(handle func(*http.Request, callBody) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c callBody
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		life := e.lives
		e.awaitReconnect()
		if e.dark {
			e.mu.Unlock()
			e.hang()
		}
		if e.down {
			e.mu.Unlock()
			abort()
		}
		if r.Header.Get("X-Skylarklock-Expected-Instance") != e.currentID() {
			e.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if c.Token >= e.token {
			e.token = c.Token
			e.lapse()
			status, body = handle(r, c)
		}
		e.awaitReconnect()
		if e.dark {
			e.mu.Unlock()
			e.hang()
		}
		if e.down || e.lives != life {
			e.mu.Unlock()
			abort()
		}
		body["clock_ms"] = e.clock()
		if e.withBorn {
			body["born"] = e.born.UnixMilli()
		}
		e.mu.Unlock()
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// lapse ends everything once the lease is over. The caller holds e.mu.
func (e *executor) lapse() {
	if e.lease == 0 || e.clock() < e.lease {
		return
	}
	for i := range e.ends {
		if !e.ends[i].excused {
			e.ends[i].excused = true
			e.all.excuse(e.ends[i].task)
		}
	}
	for task, r := range e.running {
		e.end(task, r.run, "lapsed")
	}
}

func (e *executor) extend(deadline int64) {
	e.lease = max(e.lease, min(deadline, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) start(_ *http.Request, c callBody) (int, map[string]any) {
	if r := e.running[c.Task]; r != nil && r.run == c.Run {
		e.extend(c.Deadline)
		return http.StatusOK, map[string]any{}
	}
	if c.Deadline <= e.clock() {
		return http.StatusConflict, map[string]any{"reason": "late"}
	}
	if r := e.running[c.Task]; c.Run <= e.highest[c.Task] || r != nil {
		e.extend(c.Deadline)
		return http.StatusConflict, map[string]any{"reason": "old"}
	}
	if e.advice != nil && !e.advice.permits(c.Task, c.Ticket, e.id) {
		return http.StatusConflict, map[string]any{"reason": "ticket"}
	}
	e.extend(c.Deadline)
	r := &running{run: c.Run, begun: time.Now()}
	e.running[c.Task] = r
	e.all.began(start{at: r.begun, task: c.Task, run: c.Run, executor: e.id, token: c.Token})
	if d, err := time.ParseDuration(c.Specification); err == nil {
		life := e.lives
		r.length = d
		r.timer = time.AfterFunc(d, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.lives == life && !e.down {
				e.lapse()
				e.end(c.Task, c.Run, "done")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) stop(_ *http.Request, c callBody) (int, map[string]any) {
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	e.end(c.Task, c.Run, "stopped")
	return http.StatusOK, map[string]any{}
}

// end ends a run if it is there. The caller holds e.mu.
func (e *executor) end(task string, run int, how string) {
	r := e.running[task]
	if r == nil || r.run != run {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], run)
	e.lastEnd++
	e.ends = append(e.ends, ended{number: e.lastEnd, task: task, run: run, how: how})
	e.all.over(task, run, e.id, how)
	close(e.wake)
	e.wake = make(chan struct{})
}

func (e *executor) hold(r *http.Request, c callBody) (int, map[string]any) {
	life := e.lives
	if c.Deadline > 0 {
		e.extend(c.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].number <= c.LastSeen {
		if end := e.ends[0]; !end.excused {
			e.all.note(end.task, end.run, e.id, end.how)
		}
		e.ends = e.ends[1:]
	}
	timeout := time.After(min(maxWait, time.Duration(c.Wait)*time.Millisecond))
	for waiting := c.Wait > 0; waiting && len(e.ends) == 0 && e.lives == life && !e.down; {
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
	e.lapse()
	finished := [][]any{}
	for _, end := range e.ends[:min(len(e.ends), endsPerList)] {
		finished = append(finished, []any{end.number, end.task, end.run, end.how, ""})
	}
	rows := [][]any{}
	for task, r := range e.running {
		rows = append(rows, []any{task, r.run, "", r.percent(), 500})
	}
	return http.StatusOK, map[string]any{"running": rows, "finished": finished}
}
