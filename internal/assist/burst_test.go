package assist

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

var (
	burstShort  = queue.CallTime{Fixed: 12 * time.Millisecond, Total: 17 * time.Millisecond}
	burstMedium = queue.CallTime{Fixed: 130 * time.Millisecond, Total: 200 * time.Millisecond}
	burstLong   = queue.CallTime{Fixed: 559 * time.Millisecond, Total: 850 * time.Millisecond}
)

// countRange returns the number of machines of a class.
func countRange(p *Peers, machines int, class callClass) int {
	part := p.demand.assignRanges(machines)[class]
	return part.to - part.from
}

// A class that gets few machines makes few calls; if only these counted it would keep few machines while
// its calls wait.
func TestWaitingCallsCountAsDemand(t *testing.T) {
	const machines = 39
	now := time.Unix(1000, 0)
	p := attachedPeers(machines-1, now)
	r := p.Round(now)
	for r.Free(burstMedium) && r.Take(burstMedium) {
	}
	for r.Free(burstLong) && r.Take(burstLong) {
	}
	p.demand.callSeconds = [numCallClasses]float64{mediumCalls: 100, longCalls: 5}
	before := countRange(p, machines, longCalls)
	r = p.Round(now)
	for range 60 {
		r.Free(burstLong)
	}
	p.Round(now)
	after := countRange(p, machines, longCalls)
	if after < 2*before {
		t.Errorf("long calls have %d machines, and %d while 60 wait", before, after)
	}
	p.Round(now)
	if got := countRange(p, machines, longCalls); got != before {
		t.Errorf("long calls have %d machines once none waits, want %d", got, before)
	}
}

// The first calls of a burst of short calls must find machines, though the demand before it was low: a
// long call occupies a machine for about a second.
func TestShortCallsHaveMachinesForABurst(t *testing.T) {
	const machines = 39
	now := time.Unix(1000, 0)
	p := attachedPeers(machines-1, now)
	for _, call := range []queue.CallTime{burstShort, burstMedium, burstLong} {
		p.demand.recordRequest(classOf(call), now)
	}
	p.demand.callSeconds = [numCallClasses]float64{shortCalls: 1.4 * 3, mediumCalls: 16 * 3, longCalls: 16 * 3}
	if got := countRange(p, machines, shortCalls); got < 4 {
		t.Errorf("short calls have %d machines at a demand of 1.4, want 2.5 times that", got)
	}
	p.demand.callSeconds[shortCalls], p.demand.callSeconds[mediumCalls] = 30, 900
	if got := countRange(p, machines, shortCalls); got != 9 {
		t.Errorf("short calls have %d machines, want a quarter", got)
	}
	total := 0
	for class := range numCallClasses {
		total += countRange(p, machines, class)
	}
	if total != machines {
		t.Errorf("the ranges have %d machines", total)
	}
}

// The busy share decides which calls are held back. While other calls wait, the machines of a class with
// little to do count as theirs.
func TestBusyShare(t *testing.T) {
	const machines = 10
	now := time.Unix(1000, 0)
	p := attachedPeers(machines-1, now)
	r := p.Round(now)
	if got := r.BusyShare(burstLong); got != 0 {
		t.Errorf("busy share %v of idle machines", got)
	}
	for range machines / 2 {
		r.Free(burstLong)
		r.Take(burstLong)
	}
	if got := r.BusyShare(burstLong); got != 0.5 {
		t.Errorf("busy share %v, want 0.5", got)
	}
	for r.Free(burstLong) && r.Take(burstLong) {
	}
	r = p.Round(now)
	if got := r.BusyShare(burstMedium); got != 1 {
		t.Errorf("busy share %v for other calls while long ones wait, want 1", got)
	}
}
