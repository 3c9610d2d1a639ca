package front

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// errNoMemory means that the bodies of other requests need the memory.
var errNoMemory = errors.New("the bodies in flight use all their memory")

// bodyBudget bounds the total size of the bodies in memory. When it is used up, the body that is being read and has
// held the most for the longest makes room.
type bodyBudget struct {
	max  int64
	used atomic.Int64 // written under mu

	mu      sync.Mutex
	reading map[*reservation]struct{}
}

func newBodyBudget(limit int64) *bodyBudget {
	return &bodyBudget{max: limit, reading: make(map[*reservation]struct{})}
}

// reservation is what one body holds.
type reservation struct {
	budget  *bodyBudget
	since   time.Time
	abort   func() // makes reading the body fail
	bytes   int64  // guarded by bodyBudget.mu
	dropped bool   // guarded by bodyBudget.mu
}

// begin returns the empty reservation of a body that is being read. abort must make its reading fail.
func (b *bodyBudget) begin(abort func()) *reservation {
	r := &reservation{budget: b, since: time.Now(), abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[r] = struct{}{}
	return r
}

// grow adds n bytes. It fails with errNoMemory if there is no room, or if the reservation was dropped.
func (r *reservation) grow(n int64) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !r.dropped && b.used.Load()+n > b.max {
		largest := b.largest()
		if largest == nil || largest == r {
			return errNoMemory
		}
		largest.dropped = true
		b.release(largest)
		largest.abort()
	}
	if r.dropped {
		return errNoMemory
	}
	r.bytes += n
	b.used.Add(n)
	return nil
}

// largest returns the reservation with the greatest product of bytes and age among the bodies that are being read.
// b.mu is held.
func (b *bodyBudget) largest() *reservation {
	var largest *reservation
	var most float64
	now := time.Now()
	for r := range b.reading {
		if byteSeconds := float64(r.bytes) * now.Sub(r.since).Seconds(); byteSeconds > most {
			largest, most = r, byteSeconds
		}
	}
	return largest
}

// complete records that the body was read. It reports false if the reservation was dropped.
func (r *reservation) complete() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.reading, r)
	return !r.dropped
}

// end returns what the reservation holds.
func (r *reservation) end() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.release(r)
}

// release returns what r holds. b.mu is held.
func (b *bodyBudget) release(r *reservation) {
	delete(b.reading, r)
	b.used.Add(-r.bytes)
	r.bytes = 0
}
