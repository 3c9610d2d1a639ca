package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of requesters, as on the sheets.
const (
	timeBudget = 3 * time.Second
	retries    = 4
	retryPause = 200 * time.Millisecond // unless the answer names a longer one
	host       = "nony24.example"
	prefix     = "/lohu930/"
)

// configuration returns the operator's record with one queue, which has advice if asked for.
func configuration(advised bool) []byte {
	route := map[string]any{
		"name": "q1", "host": host, "path_prefix": prefix, "service": "torquebench", "timeout_ms": 3000, "target_latency_ms": 1000,
		"priority": 1, "attempts": 2, "stretch": 4,
	}
	if advised {
		route["advice"] = map[string]any{"decision_ms": decisionMs, "per_worker_ms": perWorkerMs, "validity_ms": validity.Milliseconds()}
	}
	data, err := json.Marshal(map[string]any{
		"version": 7, "routes": []any{route}, "services": []any{map[string]any{"name": "torquebench", "enforces_capacity": false}},
		"limits": map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// job is what a requester knows of its job.
type job struct {
	id      string
	tasks   int
	lasts   bool
	mu      sync.Mutex
	sentAt  time.Time
	ackedAt time.Time // of the first 2xx; zero: none
	answers []string  // of its submissions
}

func (j *job) accepted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.ackedAt.IsZero()
}

func (j *job) history() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return strings.Join(j.answers, ", ")
}

// requesters send jobs to the machines.
type requesters struct {
	machines []*machine
	log      *recorder
	client   *http.Client
	mu       sync.Mutex
	rng      *rand.Rand
}

func newRequesters(machines []*machine, log *recorder, seed uint64) *requesters {
	return &requesters{
		machines: machines, log: log, rng: rand.New(rand.NewPCG(seed, 2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true}},
	}
}

func (c *requesters) pick(not *machine) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		m := c.machines[c.rng.IntN(len(c.machines))]
		if m != not || len(c.machines) == 1 {
			return m
		}
	}
}

// call makes one request. The status is 0 if there was no answer.
func (c *requesters) call(m *machine, method, id, body string, budget time.Duration) (status int, answer string, pause time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), retryPause
	}
	req.Host = host
	req.GetBody = nil // a request goes once over each channel
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Skylarklock-Remaining-Milliseconds", strconv.FormatInt(budget.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error(), retryPause
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), retryPause
	}
	pause = retryPause
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		pause = max(pause, time.Duration(s)*time.Second)
	}
	return resp.StatusCode, string(data), pause
}

// submit hands a job in, with the requester's retries at other machines.
func (c *requesters) submit(j *job, body string, first *machine) {
	m := first
	if m == nil {
		m = c.pick(nil)
	}
	j.sentAt = time.Now()
	for try := range retries + 1 {
		status, text, pause := c.call(m, http.MethodPost, j.id, body, timeBudget)
		j.mu.Lock()
		j.answers = append(j.answers, fmt.Sprintf("%s %d", m.name, status))
		if status/100 == 2 && j.ackedAt.IsZero() {
			j.ackedAt = time.Now()
		}
		j.mu.Unlock()
		c.log.note("requester", "POST %s at %s, try %d: %d %s", j.id, m.name, try+1, status, strings.TrimSpace(text))
		if status/100 == 2 || status == http.StatusNotFound || status == http.StatusBadRequest {
			return
		}
		time.Sleep(pause)
		m = c.pick(m)
	}
}

// state asks for a job's state, at several machines if one doesn't answer.
func (c *requesters) state(id string) string {
	var m *machine
	last := ""
	for range 5 {
		m = c.pick(m)
		status, text, pause := c.call(m, http.MethodGet, id, "", timeBudget)
		c.log.note("requester", "GET %s at %s: %d %s", id, m.name, status, strings.TrimSpace(text))
		if status == http.StatusGone {
			return "410"
		}
		var body struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(text), &body) == nil {
			return body.State
		}
		last = fmt.Sprintf("status %d", status)
		time.Sleep(pause)
	}
	return last
}

// newID returns a job's ID.
func (c *requesters) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.rng.Uint64())
}

// jobBody returns a submission of one step, of which at most spread tasks may run on one executor; 0: any number.
func jobBody(specification string, tasks, cpu, estimateMs int, lasts bool, spread int) string {
	step := map[string]any{"count": tasks, "cpu": cpu, "requested_memory_mb": 100, "estimated_ms": estimateMs}
	if lasts {
		step["long_running"] = true
	}
	if spread > 0 {
		step["anti_affinity"] = spread
	}
	data, err := json.Marshal(map[string]any{"specification": specification, "steps": []any{step}})
	if err != nil {
		panic(err)
	}
	return string(data)
}
