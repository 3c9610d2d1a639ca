package leader

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// After two takeovers in a row, in which leaders were replaced for their silence, the next
// leader is given more time. Leaders that stepped down don't count, and takeovers stop
// counting after takeoverWindow.
func TestSeveralTakeoversSlowDownClaims(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := NewState(Leader{Node: "a", Incarnation: 1}, 0, start)
	claim := func(after time.Duration, node string) time.Duration {
		now := start.Add(after)
		s.applyRecord(s.End(), record{Kind: kindClaim, Node: api.NodeID(node), Incarnation: 7}, now)
		return s.SilenceFactor(now)
	}
	release := func(after time.Duration, node string) {
		s.applyRecord(s.End(), record{Kind: kindRelease, Node: api.NodeID(node), Incarnation: 7}, start.Add(after))
	}
	if p := claim(0, "b"); p != 1 {
		t.Errorf("factor %d after the first claim", p)
	}
	if p := claim(time.Second, "c"); p != 1 {
		t.Errorf("factor %d after one takeover", p)
	}
	if p := claim(2*time.Second, "d"); p != 2 {
		t.Errorf("factor %d after two takeovers", p)
	}
	release(3*time.Second, "d")
	if p := claim(3*time.Second, "e"); p != 2 {
		t.Errorf("factor %d after a leader that stepped down", p)
	}
	for i := range 6 {
		claim(time.Duration(4+i)*time.Second, string(rune('f'+i)))
	}
	if p := s.SilenceFactor(start.Add(9 * time.Second)); p != maxSilenceFactor {
		t.Errorf("factor %d after many takeovers", p)
	}
	if p := s.SilenceFactor(start.Add(9*time.Second + takeoverWindow)); p != 1 {
		t.Errorf("factor %d once the takeover window has passed", p)
	}
	s.observeLeader(Leader{Epoch: 100, Node: "x"}, start.Add(30*time.Second))
	s.observeLeader(Leader{Epoch: 101, Node: "y"}, start.Add(31*time.Second))
	if p := s.SilenceFactor(start.Add(31 * time.Second)); p != 2 {
		t.Errorf("factor %d after two takeovers reported by other processes", p)
	}
}
