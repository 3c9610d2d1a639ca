package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// heldSlots are the slots that a gang's plan takes on an executor.
type heldSlots struct {
	gang      *step
	resources api.Resources // requested by the tasks
	released  api.Resources // expected to become free on the executor before the planned start
	startsIn  time.Duration // time from the newest planning pass to the planned start
}

const (
	// heldPenalty is added to the score of an executor on which a task would take held slots
	// past the planned start. It exceeds the score of capacity left over, so that urgent tasks
	// use held slots only if no others are free.
	heldPenalty = 3.0
	// backfillMaxRunTime is the estimate up to which a task may use held slots in any case.
	// Such a task may have a tight objective, and it ends before it delays the gang
	// noticeably.
	backfillMaxRunTime = time.Second
	// backfillMargin is the factor on the estimate with which other tasks must end before the
	// gang's planned start to use held slots. Estimates are off by 20 to 90 percent. With 1.2,
	// fewer gangs were in time in the simulated full cell (docs/design/gangs.md).
	backfillMargin = 1.5
)

// overlaps reports whether a task of the step that starts now may still run at the planned
// start.
func (h *heldSlots) overlaps(s *step) bool {
	return s == nil || s != h.gang && time.Duration(backfillMargin*float64(s.spec.Estimate)) > h.startsIn
}

// binds reports whether a task of the step may not use the slots.
func (h *heldSlots) binds(s *step) bool {
	if !h.overlaps(s) {
		return false
	}
	if s == nil {
		return true
	}
	if !s.spec.Gang && s.spec.Estimate <= backfillMaxRunTime {
		return false
	}
	if own, gangs := s.job.queue, h.gang.job.queue; own != nil && gangs != nil && own.Priority < gangs.Priority {
		return false
	}
	return s.position >= h.gang.position
}

// heldFrom returns the free capacity of the executor that a step may not use now. Slots that
// become free before a planned start needn't be free now. A nil step may use no held slot.
func (v *vm) heldFrom(s *step) api.Resources {
	return v.neededBy(func(h *heldSlots) bool { return h.binds(s) })
}

// neededBy returns the capacity that must be free now for the tasks of some held slots.
func (v *vm) neededBy(counts func(*heldSlots) bool) api.Resources {
	var needed, total api.Resources
	for i := range v.held {
		h := &v.held[i]
		if counts(h) {
			total = total.Add(h.resources)
			needed = maxResources(needed, total.Sub(h.released))
		}
	}
	return needed
}

// delaysGang reports whether a task of the step would take held slots past the planned start,
// if it left some of the executor's capacity free.
func (v *vm) delaysGang(s *step, remaining api.Resources) bool {
	if len(v.held) == 0 {
		return false
	}
	needed := v.neededBy(func(h *heldSlots) bool { return h.overlaps(s) }).Sub(v.heldFrom(s))
	return !needed.Fits(remaining)
}

// heldAt returns the capacity of the executor that a step may not use after a time from the
// newest planning pass. Held slots are in use from their planned start on.
func (v *vm) heldAt(s *step, after time.Duration) api.Resources {
	var held, total api.Resources
	for i := range v.held {
		h := &v.held[i]
		if !h.binds(s) {
			continue
		}
		total = total.Add(h.resources)
		if h.startsIn <= after {
			held = maxResources(held, total)
		} else {
			held = maxResources(held, total.Sub(h.released))
		}
	}
	return held
}

// holdsFor reports whether the executor has slots held for a gang.
func (v *vm) holdsFor(s *step) bool {
	for i := range v.held {
		if v.held[i].gang == s {
			return true
		}
	}
	return false
}

// maxResources returns the larger of each field.
func maxResources(a, b api.Resources) api.Resources {
	return api.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}
