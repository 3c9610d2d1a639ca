package replica

import (
	"testing"
	"time"
)

// A leader that delivered steadily is missed soon, one whose deliveries came with gaps
// later, and none later than after the longest silence that counts.
func TestOverdueFollowsTheGapsSeen(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const most = 500 * time.Millisecond
	for _, c := range []struct {
		name string
		gaps []time.Duration // in turn
		want time.Duration
	}{
		{"steady", []time.Duration{25 * time.Millisecond}, overdueLeast},
		{"steady, without news", []time.Duration{100 * time.Millisecond}, overdueLeast},
		{"held up now and then", []time.Duration{50 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}, 400 * time.Millisecond},
		{"of a weak leader", []time.Duration{400 * time.Millisecond}, most},
	} {
		var p pulse
		now := start
		for i := range 60 {
			now = now.Add(c.gaps[i%len(c.gaps)])
			p.beat(now)
		}
		if got := p.patience(most); got < c.want*9/10 || got > c.want {
			t.Errorf("%s: overdue after %v, want about %v", c.name, got, c.want)
		}
	}
}

// Before the first delivery nothing is known of the leader's gaps.
func TestFirstDeliveryLeavesTheLongestPatience(t *testing.T) {
	var p pulse
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	p.beat(now)
	if got := p.patience(time.Second); got != time.Second {
		t.Errorf("overdue after %v", got)
	}
}
