package executor

import (
	"maps"
	"sync"
	"time"
)

// Run is one execution of a request. A request that ran twice has two runs.
type Run struct {
	Start time.Time `json:"start"`
	End   time.Time `json:"end"` // zero while it runs
}

// Record holds everything that a stand-in did. Tests compare the outcomes
// reported to callers with it.
type Record struct {
	Runs                map[string][]Run `json:"runs"`            // by request ID
	Refused             int              `json:"refused"`         // requests refused in-band, without running
	MaxRequests         int              `json:"max_requests"`    // maximum requests running at once
	MaxConnections      int              `json:"max_connections"` // maximum connections open at once
	OpenConnections     int              `json:"connections"`     // connections open now
	AcceptedConnections int              `json:"opened"`          // connections accepted since the start
	RejectedConnections int              `json:"turned_away"`     // connections closed because of the limit
}

// RunCount returns the number of times that the request with this ID ran.
func (r Record) RunCount(id string) int {
	return len(r.Runs[id])
}

// recorder is a Record and the number of slots in use, guarded by a mutex.
type recorder struct {
	mu      sync.Mutex
	record  Record
	running int
}

// startRun takes a slot for a request. It returns the number of slots in use,
// this one included, and the index of the run, or false if no slot is free.
func (r *recorder) startRun(id string, slots int) (busy, run int, ok bool) {
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

// endRun records the end of a run and frees its slot.
func (r *recorder) endRun(id string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.record.Runs[id][run].End = time.Now()
}

// countRefusal counts a refusal and returns the number of slots in use.
func (r *recorder) countRefusal() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.Refused++
	return r.running
}

// admitConnection reports whether a new connection is within the limit, and
// counts it as accepted or rejected.
func (r *recorder) admitConnection(limit int) bool {
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

// removeConnection subtracts a closed connection from the open ones.
func (r *recorder) removeConnection() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.OpenConnections--
}

// copy returns a deep copy of the record.
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
