package node

import (
	"testing"
	"time"
)

// A machine that keeps no content of records reads it when nobody else has claimed
// the cell, and not while a leader is there.
func TestSuccession(t *testing.T) {
	last := vacantAfter + vacantSpread + 2*time.Millisecond
	for _, c := range []struct {
		name       string
		processors float64
		fed        bool
		silence    time.Duration
		released   bool
		want       bool
	}{
		{"fed", 0.8, true, time.Hour, true, false},
		{"the standbys may still claim", 0.8, false, vacantAfter, false, false},
		{"nobody has claimed", 0.8, false, last, false, true},
		{"a weak machine leaves it to others", 0.2, false, vacantAfter + weakAfter, false, false},
		{"but not for ever", 0.2, false, last + weakAfter, false, true},
		{"processors that aren't told count as enough", 0, false, last, false, true},
		{"the leader has stepped down just now", 0.8, false, releasedAfter, true, false},
		{"and nobody claims", 0.8, false, last - vacantAfter + releasedAfter, true, true},
	} {
		s := succession{processors: c.processors}
		if got := s.due(c.fed, c.silence, c.released); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// Machines begin one after the other, and each in another order the next time.
func TestSuccessionHasJitter(t *testing.T) {
	began := make(map[time.Duration]bool)
	s := succession{processors: 0.8}
	for range 50 {
		s.due(true, 0, false)
		for silence := vacantAfter; ; silence += 10 * time.Millisecond {
			if s.due(false, silence, false) {
				began[silence] = true
				break
			}
		}
	}
	if len(began) < 10 {
		t.Errorf("50 occasions began at %d times", len(began))
	}
}
