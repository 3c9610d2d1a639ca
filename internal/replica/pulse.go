package replica

import (
	"sync"
	"time"
)

// Bounds of the silence after which a leader's deliveries count as overdue.
const (
	// overdueLeast is above what a leader's other work holds a delivery up for.
	overdueLeast = 250 * time.Millisecond
	// overdueGaps is how many of the longest recent gaps are waited for.
	overdueGaps = 2
	// gapMost bounds what one silence, as that between two leaders, is remembered as.
	gapMost = 500 * time.Millisecond
	// gapDecay is the share by which the remembered gap falls towards a shorter one:
	// it halves in some 14 deliveries, half a second to three.
	gapDecay = 0.05
)

// pulse follows at which intervals the leader's deliveries come: a leader that is weak
// or busy, or whose link is thin, is given more time than one that delivers steadily.
type pulse struct {
	mu   sync.Mutex
	last time.Time     // zero: none has come
	gap  time.Duration // the longest of late; 0: none is known
}

// beat takes in a delivery.
func (p *pulse) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() {
		gap := min(now.Sub(p.last), gapMost)
		p.gap = max(gap, p.gap-time.Duration(gapDecay*float64(p.gap-gap)))
	}
	p.last = now
}

// patience returns the silence after which a delivery is overdue, which is most at most.
func (p *pulse) patience(most time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gap == 0 {
		return most
	}
	return min(max(overdueLeast, overdueGaps*p.gap), most)
}

// silence returns how long ago a delivery came last.
func (p *pulse) silence(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.last)
}
