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
	slots     []*Slot
}

// Round starts a pass.
func (p *Peers) Round(now time.Time) *Round {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Round{peers: p, now: now, machines: p.responsive(now)}
}

// Free reports whether a machine could make the call now.
func (r *Round) Free(call queue.CallTime) bool {
	class := classOf(call)
	if r.exhausted[class] {
		return false
	}
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	r.exhausted[class] = r.peers.findFree(r.machines, class, r.now) == nil
	return !r.exhausted[class]
}

// Take reserves a slot for the call and reports whether a machine had capacity for it.
func (r *Round) Take(call queue.CallTime) bool {
	r.peers.mu.Lock()
	defer r.peers.mu.Unlock()
	slot := r.peers.takeFrom(r.machines, call, r.now)
	if slot == nil {
		r.exhausted[classOf(call)] = true
		return false
	}
	r.slots = append(r.slots, slot)
	return true
}

// Slots returns the reserved slots, in the order of the calls.
func (r *Round) Slots() []*Slot { return r.slots }
