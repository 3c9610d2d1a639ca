package assist

import "time"

// Round hands out calls for one pass over the steps that wait. Once no machine
// has time for a call of a length, none is looked for again in the same pass:
// hundreds of steps may wait.
type Round struct {
	helpers *Helpers
	now     time.Time
	full    [lengths]bool
	slots   []*Slot
}

// Round begins a pass.
func (h *Helpers) Round(now time.Time) *Round { return &Round{helpers: h, now: now} }

// Free reports whether a call of about this cost could be made now.
func (r *Round) Free(cost time.Duration) bool {
	of := lengthOf(cost)
	if !r.full[of] {
		r.full[of] = !r.helpers.Free(cost, r.now)
	}
	return !r.full[of]
}

// Take gives a call of this cost to a machine, or returns false.
func (r *Round) Take(cost time.Duration) bool {
	slot := r.helpers.Take(cost, r.now)
	if slot == nil {
		r.full[lengthOf(cost)] = true
		return false
	}
	r.slots = append(r.slots, slot)
	return true
}

// Slots returns the slots taken, in order.
func (r *Round) Slots() []*Slot { return r.slots }
