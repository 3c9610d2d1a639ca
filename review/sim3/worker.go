package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of executors, as on the sheets.
const (
	heartbeat      = 1500 * time.Millisecond
	maxHold        = 10 * time.Second
	stopTime       = 100 * time.Millisecond // that a stop takes
	maxEnds        = 500                    // ends in one answer
	missedBeats    = 3
	workerCPU      = 32000
	workerMemoryMB = 65536
)

// worker is a stand-in for an executor.
type worker struct {
	id, rack, zone string
	log            *recorder
	store          *store
	adviser        *adviser // whose tickets a start needs; nil: it needs none
	address        string
	born           time.Time

	mu       sync.Mutex
	silent   bool // it answers nothing: its machine has no power
	token    uint64
	deadline int64 // end of the lease on its clock, in milliseconds; 0: none
	lapse    *time.Timer
	running  map[string]*taskRun
	ends     []taskEnd
	number   int
	highest  map[string]int // of each task that was stopped or has ended
	wake     chan struct{}
	starts   []startEvent
	sequence int
	started  chan<- struct{} // receives a value when a run starts; nil: nobody is told
}

type taskRun struct {
	run      int
	since    time.Time
	timer    *time.Timer
	stopping bool
}

type taskEnd struct {
	number int
	task   string
	run    int
	how    string
}

// startEvent is a run with its end.
type startEvent struct {
	task      string
	run       int
	at, ended time.Time // ended is zero while it runs
	how       string
	worker    *worker
}

func newWorker(id, zone, rack string, s *store, log *recorder) (*worker, error) {
	w := &worker{
		id: id, zone: zone, rack: rack, log: log, store: s, born: time.Now(),
		running: make(map[string]*taskRun), highest: make(map[string]int), wake: make(chan struct{}),
	}
	w.lapse = time.AfterFunc(time.Hour, w.expire)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serve(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /v1/hold", w.serve(w.hold))
	go func() { _ = http.Serve(l, mux) }()
	go w.checkIn()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// checkIn writes the worker's entry, which is removed after three check-ins were missed.
func (w *worker) checkIn() {
	missed := 0
	for ; ; time.Sleep(heartbeat) {
		w.mu.Lock()
		silent := w.silent
		w.sequence++
		entry, err := json.Marshal(map[string]any{
			"service": "torquebench", "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"sequence": w.sequence, "born": w.born.UnixMilli(), "labels": []string{"a", w.rack},
			"capacity": map[string]any{"cpu": workerCPU, "requested_memory_mb": workerMemoryMB, "gpu": 0},
		})
		w.mu.Unlock()
		switch {
		case err != nil:
			panic(err)
		case !silent:
			w.store.put("keyed.servers", w.id, entry)
		default:
			if missed++; missed == missedBeats {
				w.store.put("keyed.servers", w.id, nil)
				w.log.note(w.id, "entry removed after three check-ins were missed")
				return
			}
		}
	}
}

// losePower ends the worker for good: it answers nothing, and everything that ran there is gone.
func (w *worker) losePower() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	for task, r := range w.running {
		r.timer.Stop()
		w.finish(task, r, "power")
	}
	w.log.note(w.id, "loses power for good")
}

type call struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         uint64 `json:"fencing_token"`
	Ticket        string `json:"ticket"`
	LastSeen      int    `json:"last_seen"`
	WaitMs        int    `json:"wait_ms"`
}

func (w *worker) isSilent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent
}

func (w *worker) serve(handle func(*http.Request, call) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var c call
		err := json.NewDecoder(r.Body).Decode(&c)
		if w.isSilent() {
			if c.Task != "" {
				w.log.note(w.id, "no answer (no power) to %s %s run %d", r.URL.Path, c.Task, c.Run)
			}
			hang(r)
		}
		w.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		switch {
		case r.Header.Get("X-Skylarklock-Expected-Instance") != w.id:
			status, body = http.StatusMisdirectedRequest, map[string]any{}
		case err != nil:
			status, body = http.StatusBadRequest, map[string]any{}
		case c.Token >= w.token:
			w.token = c.Token
			status, body = handle(r, c)
		}
		body["clock_ms"], body["born"] = w.clock(), w.born.UnixMilli()
		w.mu.Unlock()
		if w.isSilent() {
			hang(r)
		}
		rw.Header().Set("Content-Type", "application/json")
		rw.WriteHeader(status)
		_ = json.NewEncoder(rw).Encode(body) // an error means that the caller has gone
	}
}

// extend extends the lease. w.mu is held.
func (w *worker) extend(deadline int64) {
	if deadline = min(deadline, w.clock()+maxHold.Milliseconds()); deadline > w.deadline {
		w.deadline = deadline
		w.lapse.Reset(time.Duration(deadline-w.clock()) * time.Millisecond)
	}
}

// expire kills everything once the lease is over.
func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent || w.deadline == 0 || w.clock() < w.deadline {
		return
	}
	for task, r := range w.running {
		r.timer.Stop()
		w.finish(task, r, "lapsed")
	}
}

// finish ends a run. w.mu is held.
func (w *worker) finish(task string, r *taskRun, how string) {
	if w.running[task] != r {
		return
	}
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.number++
	w.ends = append(w.ends, taskEnd{w.number, task, r.run, how})
	for i := range w.starts {
		if e := &w.starts[i]; e.task == task && e.run == r.run {
			e.ended, e.how = time.Now(), how
		}
	}
	w.log.note(w.id, "%s run %d ends %s", task, r.run, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// lasting is the specification of a task that runs until it is stopped. Others name their time in milliseconds.
const lasting = "lasting"

func (w *worker) start(_ *http.Request, c call) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		w.extend(c.Deadline)
		w.log.note(w.id, "%s run %d refused: %s", c.Task, c.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := w.running[c.Task]; r != nil && r.run == c.Run {
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= w.highest[c.Task] || w.running[c.Task] != nil {
		return refuse("old")
	}
	if c.Deadline <= w.clock() {
		return refuse("late")
	}
	if w.adviser != nil && !w.adviser.permits(c.Ticket, c.Task, w.id) {
		return refuse("ticket")
	}
	w.extend(c.Deadline)
	r := &taskRun{run: c.Run, since: time.Now()}
	duration := 24 * time.Hour
	if ms, err := strconv.Atoi(c.Specification); err == nil {
		duration = time.Duration(ms) * time.Millisecond
	}
	r.timer = time.AfterFunc(duration, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.silent {
			w.finish(c.Task, r, "done")
		}
	})
	w.running[c.Task] = r
	w.starts = append(w.starts, startEvent{task: c.Task, run: c.Run, at: r.since, worker: w})
	select {
	case w.started <- struct{}{}:
	default: // nobody waits
	}
	w.log.note(w.id, "%s run %d starts", c.Task, c.Run)
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(_ *http.Request, c call) (int, map[string]any) {
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	if r := w.running[c.Task]; r != nil && r.run <= c.Run && !r.stopping {
		r.stopping = true
		r.timer.Stop()
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.silent {
				w.finish(c.Task, r, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) hold(r *http.Request, c call) (int, map[string]any) {
	if c.Deadline > 0 {
		w.extend(c.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= c.LastSeen {
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(c.WaitMs) * time.Millisecond)
	for waiting := c.WaitMs > 0; waiting && len(w.ends) == 0; {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	finished := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	running := [][]any{}
	for task, t := range w.running {
		running = append(running, []any{task, t.run, "", 100, 100})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// notifyStart has a channel told of each run that starts from now on.
func (w *worker) notifyStart(started chan<- struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = started
}

// history returns the runs that began here.
func (w *worker) history() []startEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]startEvent(nil), w.starts...)
}
