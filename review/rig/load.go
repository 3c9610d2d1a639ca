package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// What clients do, as on the users' sheets.
const (
	host          = "nony24.example"
	prefix        = "/lohu930/"
	clientWait    = 3 * time.Second
	clientRetries = 4
	lookAfter     = 150 * time.Millisecond // from the acceptance of a job to the first look at its state
)

// job is a job that was handed in, and what was answered.
type job struct {
	id       string
	accepted *machine // that answered with success; nil: none did
	at       time.Time
	rejected int // attempts that were answered 429 or 503
	attempts int
}

// workload hands in jobs at a constant rate, asks once for the state of each, and repeats what got no answer at
// another machine. Like the platform it sends nothing to a machine that has missed two looks at its readiness.
type workload struct {
	rig       *rig
	body      string
	perSecond int

	mu     sync.Mutex
	misses map[*machine]int
	jobs   []job
	counts map[string]int // answers by method and status
}

func newWorkload(r *rig, perSecond int, body string) *workload {
	return &workload{rig: r, body: body, perSecond: perSecond, misses: make(map[*machine]int), counts: make(map[string]int)}
}

// run hands in jobs until ctx ends, and returns when all clients have their answers.
func (w *workload) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(w.perSecond))
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for _, m := range w.rig.machines {
		open.Go(func() { w.watch(ctx, m) })
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			open.Go(w.client)
		}
	}
}

// watch looks at a machine's readiness each second.
func (w *workload) watch(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		ready := m.ready()
		w.mu.Lock()
		if ready {
			w.misses[m] = 0
		} else {
			w.misses[m]++
		}
		w.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// pick returns a machine in rotation.
func (w *workload) pick() *machine {
	w.mu.Lock()
	defer w.mu.Unlock()
	var in []*machine
	for _, m := range w.rig.machines {
		if w.misses[m] < 2 {
			in = append(in, m)
		}
	}
	if len(in) == 0 {
		in = w.rig.machines
	}
	return in[rand.IntN(len(in))]
}

func (w *workload) count(method string, a answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[fmt.Sprintf("%s %d", method, a.status)]++
}

// client hands in one job and looks at it.
func (w *workload) client() {
	j := job{id: newID()}
	for j.attempts < 1+clientRetries {
		m := w.pick()
		j.attempts++
		a := m.request(http.MethodPost, host, prefix+j.id, w.body, clientWait)
		w.count(http.MethodPost, a)
		if a.status/100 == 2 {
			j.accepted, j.at = m, time.Now()
			break
		}
		if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
			j.rejected++
			time.Sleep(time.Second)
		}
	}
	w.mu.Lock()
	w.jobs = append(w.jobs, j)
	w.mu.Unlock()
	if j.accepted != nil {
		time.Sleep(time.Duration(rand.Int64N(int64(2 * lookAfter))))
		w.count(http.MethodGet, w.pick().request(http.MethodGet, host, prefix+j.id, "", clientWait))
	}
}

// accepted returns the jobs that were answered with success.
func (w *workload) accepted() []job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []job
	for _, j := range w.jobs {
		if j.accepted != nil {
			out = append(out, j)
		}
	}
	return out
}

// summary describes what was sent and answered.
func (w *workload) summary() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d jobs handed in; answers by method and status: %v", len(w.jobs), w.counts)
}
