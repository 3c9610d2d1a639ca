package leader

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// After two leaders in a row were replaced for their silence, the next is given
// more time; leaders that step down don't count, and after a while nothing does.
func TestClaimsSlowDownAfterSeveralSeizures(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := NewState(Leader{Node: "a", Incarnation: 1}, 0, start)
	claim := func(after time.Duration, node string) time.Duration {
		now := start.Add(after)
		s.read(s.End(), record{Kind: claims, Node: api.NodeID(node), Incarnation: 7}, now)
		return s.SilenceFactor(now)
	}
	release := func(after time.Duration, node string) {
		s.read(s.End(), record{Kind: releases, Node: api.NodeID(node), Incarnation: 7}, start.Add(after))
	}
	if p := claim(0, "b"); p != 1 {
		t.Errorf("first claim of all: %d", p)
	}
	if p := claim(time.Second, "c"); p != 1 {
		t.Errorf("after one seizure: %d", p)
	}
	if p := claim(2*time.Second, "d"); p != 2 {
		t.Errorf("after two: %d", p)
	}
	release(3*time.Second, "d")
	if p := claim(3*time.Second, "e"); p != 2 {
		t.Errorf("after a leader that stepped down: %d", p)
	}
	for i := range 6 {
		claim(time.Duration(4+i)*time.Second, string(rune('f'+i)))
	}
	if p := s.SilenceFactor(start.Add(9 * time.Second)); p != mostPatience {
		t.Errorf("after many: %d", p)
	}
	if p := s.SilenceFactor(start.Add(9*time.Second + unsettled)); p != 1 {
		t.Errorf("after a quiet time: %d", p)
	}
	s.learn(Leader{Epoch: 100, Node: "x"}, start.Add(30*time.Second))
	s.learn(Leader{Epoch: 101, Node: "y"}, start.Add(31*time.Second))
	if p := s.SilenceFactor(start.Add(31 * time.Second)); p != 2 {
		t.Errorf("after two that were heard of: %d", p)
	}
}
