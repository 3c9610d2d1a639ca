package assist

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// Round assigns advice calls during one pass over the waiting steps. Once no machine can make a call
// of a class, none is searched for again in the same pass, because hundreds of steps may wait.
type Round struct {
	peers     *Peers
	now       time.Time
	exhausted [numCallClasses]bool
	slots     []*Slot
}

// Round starts a pass.
func (p *Peers) Round(now time.Time) *Round { return &Round{peers: p, now: now} }

// Free reports whether a machine could make the call now.
func (r *Round) Free(call queue.CallTime) bool {
	class := classOf(call)
	if !r.exhausted[class] {
		r.exhausted[class] = !r.peers.Free(call, r.now)
	}
	return !r.exhausted[class]
}

// Take reserves a slot for the call and reports whether a machine had capacity for it.
func (r *Round) Take(call queue.CallTime) bool {
	slot := r.peers.Take(call, r.now)
	if slot == nil {
		r.exhausted[classOf(call)] = true
		return false
	}
	r.slots = append(r.slots, slot)
	return true
}

// Slots returns the reserved slots, in the order of the calls.
func (r *Round) Slots() []*Slot { return r.slots }
