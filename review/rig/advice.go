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

// Times of the advice service, as on the users' sheets.
const (
	adviceDecision  = 10 * time.Millisecond
	advicePerWorker = 150 * time.Microsecond
	adviceValidity  = 2 * time.Second
)

// advice stands in for the advice service. It allows every executor that it is asked about, and knows for which jobs
// an executor wants a ticket.
type advice struct {
	address string

	mu      sync.Mutex
	advised map[string]bool // by job
	tickets map[string]ticket
	granted int
	asked   int            // calls
	refused map[string]int // by job: starts without a valid ticket
}

type ticket struct {
	step, executor string
	until          time.Time
}

func newAdvice(l net.Listener) *advice {
	a := &advice{address: l.Addr().String(), advised: make(map[string]bool), tickets: make(map[string]ticket), refused: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	return a
}

// bind makes the starts of a job need tickets.
func (a *advice) bind(job string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advised[job] = true
}

func (a *advice) advise(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(adviceDecision + time.Duration(len(c.Workers))*advicePerWorker)
	rows := [][]string{}
	a.mu.Lock()
	a.asked++
	for _, id := range c.Workers {
		a.granted++
		text := fmt.Sprintf("t%d", a.granted)
		a.tickets[text] = ticket{step: c.Step, executor: id, until: time.Now().Add(adviceValidity)}
		rows = append(rows, []string{id, text})
	}
	a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"granted_workers": rows, "validity_ms": adviceValidity.Milliseconds()})
}

// permits reports whether an executor may start a task with a ticket.
func (a *advice) permits(task, text, executor string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := task[:16]
	if !a.advised[id] {
		return true
	}
	t := a.tickets[text]
	if t.executor == executor && strings.HasPrefix(task, t.step+".") && time.Now().Before(t.until) {
		return true
	}
	a.refused[id]++
	return false
}

// calls returns how many calls the service has answered.
func (a *advice) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

// refusals returns how many starts of a job were refused for want of a valid ticket.
func (a *advice) refusals(job string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused[job]
}
