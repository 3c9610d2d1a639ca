package executor

import (
	"maps"
	"sync"
	"time"
)

// Run is one request that ran. A request that ran twice has two runs.
type Run struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"` // zero while it runs
}

// Record is the truth about a stand-in.
type Record struct {
	Runs                map[string][]Run `json:"runs"`            // by request id
	Refused             int              `json:"refused"`         // in-band, without running
	MaxRequests         int              `json:"max_requests"`    // most running at once
	MaxConnections      int              `json:"max_connections"` // most open at once
	OpenConnections     int              `json:"connections"`     // open now
	AcceptedConnections int              `json:"opened"`          // connections ever accepted
	RejectedConnections int              `json:"turned_away"`     // connections beyond the limit
}

// RunCount returns how many times request id ran.
func (r Record) RunCount(id string) int {
	return len(r.Runs[id])
}

// recorder guards the record and the count of slots in use.
type recorder struct {
	mu      sync.Mutex
	record  Record
	running int
}

// start takes a slot for request id, and returns the slots in use with it
// and the run's index, or false when all are in use.
func (r *recorder) start(id string, slots int) (busy, run int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= slots {
		r.record.Refused++
		return r.running, 0, false
	}
	r.running++
	r.record.MaxRequests = max(r.record.MaxRequests, r.running)
	r.record.Runs[id] = append(r.record.Runs[id], Run{Start: time.Now()})
	return r.running, len(r.record.Runs[id]) - 1, true
}

// end frees the slot of a run.
func (r *recorder) end(id string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.record.Runs[id][run].End = time.Now()
}

// refuse counts a refusal and returns the slots in use.
func (r *recorder) refuse() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Refused++
	return r.running
}

// connect counts a new connection, or one turned away at the limit.
func (r *recorder) connect(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record.OpenConnections >= limit {
		r.record.RejectedConnections++
		return false
	}
	r.record.OpenConnections++
	r.record.AcceptedConnections++
	r.record.MaxConnections = max(r.record.MaxConnections, r.record.OpenConnections)
	return true
}

// disconnect counts a closed connection.
func (r *recorder) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.OpenConnections--
}

// copy returns the record as it is now.
func (r *recorder) copy() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.record
	record.Runs = maps.Clone(r.record.Runs)
	for id, runs := range record.Runs {
		record.Runs[id] = append([]Run(nil), runs...)
	}
	return record
}
