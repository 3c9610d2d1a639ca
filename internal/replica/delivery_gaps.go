package replica

import (
	"sync"
	"time"
)

// Parameters of the time after which a leader's next delivery counts as overdue.
const (
	// minDeliveryTimeout exceeds the delay that a leader's other work causes.
	minDeliveryTimeout = 250 * time.Millisecond
	// timeoutGapFactor is the ratio of the timeout to the longest recent gap.
	timeoutGapFactor = 2
	// maxGap limits the effect of a single long gap, such as that between two leaders.
	maxGap = 500 * time.Millisecond
	// gapDecay is the share by which the longest recent gap decays towards a shorter
	// one. It halves in some 14 deliveries, which take between 0.5 and 3 s.
	gapDecay = 0.05
)

// deliveryGaps tracks the gaps between the leader's deliveries. A leader that is weak or
// busy, or has a slow link, gets a longer timeout than one that delivers steadily.
type deliveryGaps struct {
	mu            sync.Mutex
	last          time.Time     // time of the last delivery; zero: none yet
	longestRecent time.Duration // decaying maximum; 0: no gap is known
}

// observe records a delivery.
func (g *deliveryGaps) observe(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() {
		gap := min(now.Sub(g.last), maxGap)
		g.longestRecent = max(gap, g.longestRecent-time.Duration(gapDecay*float64(g.longestRecent-gap)))
	}
	g.last = now
}

// timeout returns the time since the last delivery after which the next one is overdue.
// It is at most limit.
func (g *deliveryGaps) timeout(limit time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.longestRecent == 0 {
		return limit
	}
	return min(max(minDeliveryTimeout, timeoutGapFactor*g.longestRecent), limit)
}

// sinceLast returns the time since the last delivery.
func (g *deliveryGaps) sinceLast(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.last)
}
