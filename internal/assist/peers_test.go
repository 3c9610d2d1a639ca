package assist

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// An answer to a delivery keeps a machine attached, but does not change the fitness of its latest
// attachment.
func TestRecordAnswerKeepsLatestFitness(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	peers := NewPeers("a", nil, nil)
	peers.HandleAttachment(Attachment{Node: "b", Address: "b:1", Fitness: 0.8}, now)
	peers.HandleAttachment(Attachment{Node: "b", Address: "b:1", Fitness: 0}, now) // a machine that does not reach the store cannot lead
	peers.RecordAnswer("b", true, now.Add(attachmentTTL))
	peers.RecordAnswer("c", false, now.Add(attachmentTTL))
	later := now.Add(attachmentTTL + time.Second)
	if others := peers.Others(later); len(others) != 1 || others[0].Node != "b" {
		t.Errorf("attached machines: %v, want b", others)
	}
	if f := peers.MaxFitness(later); f != 0 {
		t.Errorf("fitness %v, want that of the latest attachment, 0", f)
	}
}

// A leader that has made no calls yet used to count on one machine for all waiting calls, and
// refused every job for seconds after a power loss.
func TestEstimatedWaitBeforeFirstCall(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	peers := NewPeers("self", nil, nil)
	for _, node := range []api.NodeID{"a", "b", "c"} {
		peers.HandleAttachment(Attachment{Node: node, Address: string(node)}, now)
	}
	second := callLasting(time.Second)
	waiting := []queue.CallTime{second, second, second, second}
	if got := peers.EstimateWait(second, waiting, now); got != time.Second {
		t.Errorf("wait of %v for four calls of one second with four machines, want 1s", got)
	}
}

// Calls go to idle machines as long as there are any.
func TestShortCallsAreSpread(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	peers := NewPeers("self", nil, nil)
	const machines = 6
	for i := range machines - 1 { // the leader itself is one of them
		peers.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a' + byte(i)}), Address: "x"}, now)
	}
	taken := make(map[*machine]int)
	for range machines {
		s := peers.Take(queue.CallTime{Fixed: 26 * time.Millisecond, Total: 50 * time.Millisecond}, now)
		if s == nil {
			t.Fatal("no machine has capacity")
		}
		taken[s.machine]++
	}
	if len(taken) != machines {
		t.Errorf("%d calls went to %d of %d machines", machines, len(taken), machines)
	}
}

// Short calls find a machine regardless of the number of long calls. Here 97 machines get 8 s of
// short calls per second and as many long calls as they accept.
func TestShortCallsDoNotWaitForManyLongCalls(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	peers := NewPeers("self", nil, nil)
	const machines = 97
	short := queue.CallTime{Fixed: 26 * time.Millisecond, Total: 50 * time.Millisecond}
	long := queue.CallTime{Fixed: 637 * time.Millisecond, Total: 1500 * time.Millisecond}
	type callInFlight struct {
		slot *Slot
		ends time.Time
	}
	var inFlight []callInFlight
	refused, requested := 0, 0
	for step := range 20_000 { // one per millisecond
		now := start.Add(time.Duration(step) * time.Millisecond)
		if step%500 == 0 {
			for i := range machines - 1 {
				peers.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a', byte(i)}), Address: "x"}, now)
			}
		}
		kept := inFlight[:0]
		for _, r := range inFlight {
			if r.ends.After(now) {
				kept = append(kept, r)
				continue
			}
			peers.release(r.slot)
		}
		inFlight = kept
		if step%6 == 0 { // 167 a second, 8.3 s of calls
			s := peers.Take(short, now)
			if step > 10_000 {
				requested++
				if s == nil {
					refused++
				}
			}
			if s != nil {
				inFlight = append(inFlight, callInFlight{s, now.Add(s.machine.queuedTime)})
			}
		}
		for s := peers.Take(long, now); s != nil; s = peers.Take(long, now) {
			inFlight = append(inFlight, callInFlight{s, now.Add(long.Total)})
		}
	}
	if refused*50 > requested {
		t.Errorf("%d of %d short calls found no machine", refused, requested)
	}
}

// After a change of the leader hundreds of short calls wait at once. Machines used to be divided
// between the classes of calls by the demand before the change, so only 140 short calls a second found
// a machine, although 33 machines were available that can each answer 40. Short calls may use any
// machine that makes no call.
func TestWaitingShortCallsUseIdleMachines(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	peers := NewPeers("self", nil, nil)
	const machines = 33
	for i := range machines - 1 {
		peers.HandleAttachment(Attachment{Node: api.NodeID([]byte{'a', byte(i)}), Address: "x"}, now)
	}
	long := queue.CallTime{Fixed: 440 * time.Millisecond, Total: time.Second}
	var slots []*Slot
	for s := peers.Take(long, now); s != nil; s = peers.Take(long, now) {
		slots = append(slots, s)
	}
	for _, s := range slots { // all of these calls are answered
		peers.release(s)
	}
	slots = nil
	short := queue.CallTime{Fixed: 15 * time.Millisecond, Total: 25 * time.Millisecond}
	for s := peers.Take(short, now); s != nil; s = peers.Take(short, now) {
		slots = append(slots, s)
	}
	if len(slots) < 2*machines {
		t.Errorf("%d short calls in flight at %d idle machines, want at least two per machine", len(slots), machines)
	}
}
