package assist

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

func attachedPeers(machines int, now time.Time) *Peers {
	p := NewPeers("leader", nil, nil)
	for i := range machines {
		node := fmt.Sprintf("m%04d", (7*i)%machines) // in no particular order
		p.HandleAttachment(Attachment{Node: api.NodeID(node), Address: "10.0.0.1:" + node, DataCentre: "dc", Fitness: 1}, now)
	}
	return p
}

// Machines have the same order in all passes, with the leader last, also after some have left.
func TestMachinesAreOrderedByNode(t *testing.T) {
	now := time.Unix(1000, 0)
	p := attachedPeers(10, now)
	later := now.Add(attachmentTTL + time.Second)
	for i := range 5 {
		node := fmt.Sprintf("m%04d", 2*i+1)
		p.HandleAttachment(Attachment{Node: api.NodeID(node), Address: "10.0.0.1:" + node, Fitness: 1}, later)
	}
	var got []string
	for _, m := range p.attached(later) {
		got = append(got, string(m.node))
	}
	if want := "[m0001 m0003 m0005 m0007 m0009 leader]"; fmt.Sprint(got) != want {
		t.Errorf("machines %v, want %v", got, want)
	}
	if len(p.machines) != 6 || p.countAttached(later) != 6 {
		t.Errorf("%d machines are known and %d attached, want 6", len(p.machines), p.countAttached(later))
	}
}

// BenchmarkRound measures a pass over 300 waiting steps that have their calls checked, a tenth of which
// is made.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{9, 97, 588, 1176} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) {
			now := time.Unix(1000, 0)
			p := attachedPeers(machines, now)
			call := queue.CallTime{Fixed: 18 * time.Millisecond, Total: 26 * time.Millisecond}
			for b.Loop() {
				round := p.Round(now)
				for i := range 300 {
					if round.Free(call) && i%10 == 0 {
						round.Take(call)
					}
				}
				for _, s := range round.Slots() {
					p.release(s)
				}
			}
		})
	}
}

// A new leader has made no calls yet. It must not take the calls that wait for the work of one machine.
func TestWaitIsEstimatedForAllMachines(t *testing.T) {
	const machines, gangs = 100, 50
	now := time.Unix(1000, 0)
	p := attachedPeers(machines, now)
	long := queue.CallTime{Fixed: 700 * time.Millisecond, Total: time.Second}
	short := queue.CallTime{Fixed: 18 * time.Millisecond, Total: 26 * time.Millisecond}
	waiting := slices.Repeat([]queue.CallTime{long, short}, gangs)
	round := p.Round(now) // the steps have been checked for due calls, but no executor can be asked about yet
	round.Free(long)
	round.Free(short)
	before := p.demand
	if wait := p.EstimateWait(long, waiting, now); wait > 2*time.Second {
		t.Errorf("a call waits %v for %d calls of %v at %d machines", wait, gangs, long.Total, machines)
	}
	if wait := p.EstimateWait(short, waiting, now); wait > 2*time.Second {
		t.Errorf("a short call waits %v", wait)
	}
	if p.demand != before {
		t.Error("an estimate counts as demand")
	}
}
