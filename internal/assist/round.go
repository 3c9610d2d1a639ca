package assist

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// Round hands out calls for one pass over the steps that wait. Once no machine
// has time for a call of a length, none is looked for again in the same pass:
// hundreds of steps may wait.
type Round struct {
	helpers *Peers
	now     time.Time
	full    [lengths]bool
	slots   []*Slot
}

// Round begins a pass.
func (h *Peers) Round(now time.Time) *Round { return &Round{helpers: h, now: now} }

// Free reports whether about such a call could be made now.
func (r *Round) Free(call queue.CallTime) bool {
	of := lengthOf(call)
	if !r.full[of] {
		r.full[of] = !r.helpers.Free(call, r.now)
	}
	return !r.full[of]
}

// Take gives a call to a machine, or returns false.
func (r *Round) Take(call queue.CallTime) bool {
	slot := r.helpers.Take(call, r.now)
	if slot == nil {
		r.full[lengthOf(call)] = true
		return false
	}
	r.slots = append(r.slots, slot)
	return true
}

// Slots returns the slots taken, in order.
func (r *Round) Slots() []*Slot { return r.slots }
