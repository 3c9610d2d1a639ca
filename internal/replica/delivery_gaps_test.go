package replica

import (
	"testing"
	"time"
)

// The timeout is short for a leader that has delivered steadily and longer for one with
// gaps between its deliveries, up to the limit.
func TestTimeoutFollowsObservedGaps(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const limit = 500 * time.Millisecond
	for _, c := range []struct {
		name string
		gaps []time.Duration // repeated in this order
		want time.Duration
	}{
		{"steady", []time.Duration{25 * time.Millisecond}, minDeliveryTimeout},
		{"steady, without updates", []time.Duration{100 * time.Millisecond}, minDeliveryTimeout},
		{"occasionally delayed", []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}, 400 * time.Millisecond},
		{"weak leader", []time.Duration{400 * time.Millisecond}, limit},
	} {
		var g deliveryGaps
		now := start
		for i := range 60 {
			now = now.Add(c.gaps[i%len(c.gaps)])
			g.observe(now)
		}
		if got := g.timeout(limit); got < c.want*9/10 || got > c.want {
			t.Errorf("%s: timeout is %v, want about %v", c.name, got, c.want)
		}
	}
}

// After a single delivery no gap is known, so the timeout is the limit.
func TestTimeoutAfterFirstDelivery(t *testing.T) {
	var g deliveryGaps
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	g.observe(now)
	if got := g.timeout(time.Second); got != time.Second {
		t.Errorf("timeout is %v, want the limit of 1 s", got)
	}
}
