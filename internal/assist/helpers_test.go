package assist

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// An answer to a delivery keeps a machine attached; what it last offered of its
// fitness to lead stays as it was.
func TestRecordAnswerKeepsLatestFitness(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := NewPeers("a", nil, nil)
	h.HandleAttachment(Attachment{Node: "b", Address: "b:1", Fitness: 0.8}, now)
	h.HandleAttachment(Attachment{Node: "b", Address: "b:1", Fitness: 0}, now) // its store is gone
	h.RecordAnswer("b", true, now.Add(attachedFor))
	h.RecordAnswer("c", false, now.Add(attachedFor))
	later := now.Add(attachedFor + time.Second)
	if others := h.Others(later); len(others) != 1 || others[0].Node != "b" {
		t.Errorf("machines attached: %v", others)
	}
	if f := h.MaxFitness(later); f != 0 {
		t.Errorf("fitness %v, want the newest offer's", f)
	}
}

// A leader that has just begun has made no calls yet. It counted on one machine
// for all calls that waited, and refused every job for seconds after a loss of
// power.
func TestEstimatedWaitBeforeFirstCall(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := NewPeers("self", nil, nil)
	for _, node := range []api.NodeID{"a", "b", "c"} {
		h.HandleAttachment(Attachment{Node: node, Address: string(node)}, now)
	}
	one := lasting(time.Second)
	waiting := []queue.CallTime{one, one, one, one}
	if got := h.EstimateWait(one, waiting, now); got != time.Second {
		t.Errorf("four calls of a second with four machines: a wait of %v", got)
	}
}

// Calls go to machines that have nothing to do while there are such.
func TestShortCallsAreSpread(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := NewPeers("self", nil, nil)
	const machines = 6
	for i := range machines - 1 { // and the leader itself
		h.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a' + byte(i)}), Address: "x"}, now)
	}
	taken := make(map[*helper]int)
	for range machines {
		s := h.Take(queue.CallTime{Fixed: 26 * time.Millisecond, Total: 50 * time.Millisecond}, now)
		if s == nil {
			t.Fatal("no machine has time")
		}
		taken[s.helper]++
	}
	if len(taken) != machines {
		t.Errorf("%d calls went to %d of %d machines", machines, len(taken), machines)
	}
}

// However many long calls there are, those of queues whose calls are short find a
// machine: here 97 machines get 8 s of short calls a second and as many long ones
// as they take.
func TestShortCallsDoNotWaitForManyLongCalls(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := NewPeers("self", nil, nil)
	const machines = 97
	short := queue.CallTime{Fixed: 26 * time.Millisecond, Total: 50 * time.Millisecond}
	long := queue.CallTime{Fixed: 637 * time.Millisecond, Total: 1500 * time.Millisecond}
	type running struct {
		slot *Slot
		ends time.Time
	}
	var under []running
	refused, asked := 0, 0
	for step := range 20_000 { // of a millisecond
		now := start.Add(time.Duration(step) * time.Millisecond)
		if step%500 == 0 {
			for i := range machines - 1 {
				h.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a', byte(i)}), Address: "x"}, now)
			}
		}
		kept := under[:0]
		for _, r := range under {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			h.giveBack(r.slot)
		}
		under = kept
		if step%6 == 0 { // 167 a second, 8.3 s of calls
			s := h.Take(short, now)
			if step > 10_000 {
				asked++
				if s == nil {
					refused++
				}
			}
			if s != nil {
				under = append(under, running{s, now.Add(s.helper.ahead)})
			}
		}
		for s := h.Take(long, now); s != nil; s = h.Take(long, now) {
			under = append(under, running{s, now.Add(long.Total)})
		}
	}
	if refused*50 > asked {
		t.Errorf("%d of %d short calls found no machine", refused, asked)
	}
}

// After a change of the leader hundreds of short calls wait at once, and machines were
// dealt to the lengths by what they took before: 140 calls a second found one, with 33
// machines there of which each answers 40. Calls that are over in moments may use any
// machine that makes none.
func TestWaitingShortCallsUseIdleMachines(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	h := NewPeers("self", nil, nil)
	const machines = 33
	for i := range machines - 1 {
		h.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a', byte(i)}), Address: "x"}, now)
	}
	long := queue.CallTime{Fixed: 440 * time.Millisecond, Total: time.Second}
	var under []*Slot
	for s := h.Take(long, now); s != nil; s = h.Take(long, now) {
		under = append(under, s)
	}
	for _, s := range under { // all of these are answered
		h.giveBack(s)
	}
	under = nil
	short := queue.CallTime{Fixed: 15 * time.Millisecond, Total: 25 * time.Millisecond}
	for s := h.Take(short, now); s != nil; s = h.Take(short, now) {
		under = append(under, s)
	}
	if len(under) < 2*machines {
		t.Errorf("%d short calls are under way at %d idle machines", len(under), machines)
	}
}
