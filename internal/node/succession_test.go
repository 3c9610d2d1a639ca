package node

import (
	"testing"
	"time"
)

// A machine that keeps no content of records reads it when no other machine has claimed
// the cell, and not while a leader delivers to it.
func TestSuccession(t *testing.T) {
	last := keepContentDelay + keepContentJitter + 2*time.Millisecond
	for _, c := range []struct {
		name               string
		processors         float64
		receivesDeliveries bool
		sinceContact       time.Duration
		released           bool
		want               bool
	}{
		{"the leader delivers", 0.8, true, time.Hour, true, false},
		{"the standbys may still claim", 0.8, false, keepContentDelay, false, false},
		{"no standby has claimed", 0.8, false, last, false, true},
		{"an underpowered machine waits for others", 0.2, false, keepContentDelay + underpoweredDelay, false, false},
		{"an underpowered machine waits no longer than its delay", 0.2, false, last + underpoweredDelay, false, true},
		{"unknown processors count as enough", 0, false, last, false, true},
		{"the standbys may still claim after the leader has stepped down", 0.8, false, keepContentDelayReleased, true, false},
		{"no standby has claimed after the leader has stepped down", 0.8, false, last - keepContentDelay + keepContentDelayReleased, true, true},
	} {
		s := succession{processors: c.processors}
		if got := s.due(c.receivesDeliveries, c.sinceContact, c.released); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// The start times of machines are spread, and differ from one occasion to the next.
func TestSuccessionHasJitter(t *testing.T) {
	startTimes := make(map[time.Duration]bool)
	s := succession{processors: 0.8}
	for range 50 {
		s.due(true, 0, false)
		for sinceContact := keepContentDelay; ; sinceContact += 10 * time.Millisecond {
			if s.due(false, sinceContact, false) {
				startTimes[sinceContact] = true
				break
			}
		}
	}
	if len(startTimes) < 10 {
		t.Errorf("50 occasions started at %d different times, want 10 at least", len(startTimes))
	}
}
