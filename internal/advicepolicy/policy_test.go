package advicepolicy

import (
	"testing"
	"time"
)

// Each row guards one rule of the package against being lost.
func TestDecide(t *testing.T) {
	batch := Step{Slack: 5 * time.Second, Allowance: 8 * time.Second, Tasks: 20, GrantShare: 0.5, BusyShare: 0.8, SinceLastCall: 2 * time.Second}
	granted := func(valid, expired, unknown int) Step {
		s := batch
		s.Granted, s.ValidSlots, s.ExpiredSlots, s.UnknownSlots = true, valid, expired, unknown
		return s
	}
	with := func(s Step, change func(*Step)) Step { change(&s); return s }
	short := Step{Granted: true, Slack: 300 * time.Millisecond, Allowance: 650 * time.Millisecond, Tasks: 3, GrantShare: 0.7, BusyShare: 1}
	for _, c := range []struct {
		name string
		step Step
		want Decision
	}{
		{"an overdue step makes no call", with(batch, func(s *Step) { s.Lateness = Overdue; s.UnknownSlots = 100 }), held(HeldOverdue)},
		{"a first call names what the tasks need", with(batch, func(s *Step) { s.UnknownSlots = 100 }), Decision{Kind: First, Slots: 50}},
		{"a first call without expected capacity waits while the slack is long", batch, held(HeldNoCapacity)},
		{"a first call without expected capacity is made with little slack", with(batch, func(s *Step) { s.Slack = time.Second / 2 }), Decision{Kind: First, Slots: 50}},
		{"a first call is made at the last machines", with(batch, func(s *Step) { s.UnknownSlots = 1; s.BusyShare = 0.97 }), Decision{Kind: First, Slots: 50}},
		{"grants that cover the tasks need no call", granted(20, 30, 100), held(HeldCovered)},
		{"a renewal names slots for the tasks", granted(0, 30, 0), Decision{Kind: Renewal, Slots: 25}},
		{"a renewal leaves out tasks with valid tickets", granted(12, 30, 0), Decision{Kind: Renewal, Slots: 10}},
		{"a renewal for one of many tasks waits", granted(0, 1, 0), held(HeldNoCapacity)},
		{"a renewal for one of many tasks is made with little slack", with(granted(0, 1, 0), func(s *Step) { s.Slack = 0 }), Decision{Kind: Renewal, Slots: 25}},
		{"a further call names slots for what grants don't cover", granted(4, 0, 60), Decision{Kind: Further, Slots: 40}},
		{"a step that is permitted on enough executors asks about no others", with(granted(4, 0, 60), func(s *Step) { s.EmptySlots = 60 }), held(HeldCovered)},
		{"a step with little slack asks about others", with(granted(4, 0, 60), func(s *Step) { s.EmptySlots = 60; s.Slack = 0 }), Decision{Kind: Further, Slots: 40}},
		{"calls of a step with long slack are apart", with(granted(4, 0, 60), func(s *Step) { s.SinceLastCall = time.Second / 2 }), held(HeldRecent)},
		{"renewals with long slack leave the last machines to others", with(granted(0, 30, 0), func(s *Step) { s.BusyShare = 0.95 }), held(HeldForOthers)},
		{"a short step renews before its tickets expire", with(short, func(s *Step) { s.Expiring = true }), Decision{Kind: Renewal, Slots: 3.75}},
		{"a late short step still renews", with(short, func(s *Step) { s.Expiring = true; s.Lateness = Late }), Decision{Kind: Renewal, Slots: 3.75}},
		{"a short step with valid tickets makes no call without capacity", short, held(HeldNoCapacity)},
		{"a short step that is overdue makes no call", with(short, func(s *Step) { s.Expiring = true; s.Lateness = Overdue }), held(HeldOverdue)},
	} {
		if got := Decide(c.step); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// A full executor counts for what becomes free on it; counting it as nothing named 100 executors in each
// call of a full cell.
func TestEventualSlots(t *testing.T) {
	if got := EventualSlots(0, 9, false); got != 2 {
		t.Errorf("a full executor of 9 slots counts for %d", got)
	}
	if got := EventualSlots(5, 9, true); got != 5 {
		t.Errorf("an executor with 5 free slots counts for %d", got)
	}
	if got := EventualSlots(0, 1, true); got != 1 {
		t.Errorf("an executor counts for %d", got)
	}
}
