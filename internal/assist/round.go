package assist

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// Round assigns advice calls during one pass over the waiting steps. It determines the responsive
// machines once, and once no machine can make a call of a class, none is searched for again in the
// same pass, because hundreds of steps may wait.
type Round struct {
	peers     *Peers
	now       time.Time
	machines  []*machine // responsive machines
	exhausted [numCallClasses]bool
	busyShare [numCallClasses]*float64 // nil: to be determined
	slots     []*Slot
}

// Round starts a pass.
func (p *Peers) Round(now time.Time) *Round {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &Round{peers: p, now: now, machines: p.responsive(now)}
	p.demand.waiting = p.demand.refused
	p.demand.refused = [numCallClasses]float64{}
	return r
}

// Free reports whether a machine could make the call now.
func (r *Round) Free(call queue.CallTime) bool {
	class := classOf(call)
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	if !r.exhausted[class] {
		r.exhausted[class] = r.peers.findFree(r.machines, class, r.now) == nil
	}
	if r.exhausted[class] {
		r.peers.demand.refused[class] += call.Total.Seconds()
	}
	return !r.exhausted[class]
}

// Take reserves a slot for the call and reports whether a machine had capacity for it.
func (r *Round) Take(call queue.CallTime) bool {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	r.busyShare = [numCallClasses]*float64{}
	slot := r.peers.takeFrom(r.machines, call, r.now)
	if slot == nil {
		r.exhausted[classOf(call)] = true
		return false
	}
	r.slots = append(r.slots, slot)
	return true
}

// BusyShare returns the share of the machines for calls of this class that can make no further one, from
// 0 to 1.
func (r *Round) BusyShare(call queue.CallTime) float64 {
	class := classOf(call)
	if r.busyShare[class] == nil {
		r.peers.mu.Lock()
		share := r.peers.busyShare(r.machines, class)
		r.peers.mu.Unlock()
		r.busyShare[class] = &share
	}
	return *r.busyShare[class]
}

// Slots returns the reserved slots, in the order of the calls.
func (r *Round) Slots() []*Slot { return r.slots }

// busyShare returns the share of the machines of a class that can make no further call, or that of all
// machines if it is larger and calls of other classes than short ones found no machine: the class's
// machines go to those as soon as it uses fewer. The caller holds p.mu.
func (p *Peers) busyShare(machines []*machine, class callClass) float64 {
	part := p.demand.assignRanges(len(machines))[class]
	share := busyShareOf(machines[part.from:part.to], class)
	if class != shortCalls && p.demand.waiting[mediumCalls]+p.demand.waiting[longCalls] > 0 {
		share = max(share, busyShareOf(machines, class))
	}
	return share
}

// busyShareOf returns the share of the machines that can make no further call of a class.
func busyShareOf(machines []*machine, class callClass) float64 {
	busy := 0
	for _, m := range machines {
		if !m.hasCapacity(class) {
			busy++
		}
	}
	return float64(busy) / float64(max(1, len(machines)))
}
