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

// Figures of the advice service, as on the sheets.
const (
	decisionMs  = 14.3
	perWorkerMs = 0.208
	validity    = 2 * time.Second
)

// adviser is a stand-in for the advice service. It grants every executor that is named.
type adviser struct {
	address string

	mu      sync.Mutex
	number  int
	tickets map[string]permit
}

// permit is what a ticket permits.
type permit struct {
	step, worker string
	until        time.Time
}

func newAdviser() (*adviser, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{address: l.Addr().String(), tickets: make(map[string]permit)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", a.advise)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((decisionMs + perWorkerMs*float64(len(body.Workers))) * float64(time.Millisecond)))
	rows := [][]string{}
	a.mu.Lock()
	for _, id := range body.Workers {
		a.number++
		ticket := fmt.Sprintf("t%08d", a.number)
		a.tickets[ticket] = permit{body.Step, id, time.Now().Add(validity)}
		rows = append(rows, []string{id, ticket})
	}
	a.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"granted_workers": rows, "validity_ms": validity.Milliseconds()}) // an error means that the caller has gone
}

// permits reports whether a ticket permits a task on an executor now.
func (a *adviser) permits(ticket, task, worker string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, known := a.tickets[ticket]
	return known && p.worker == worker && strings.HasPrefix(task, p.step+".") && time.Now().Before(p.until)
}
