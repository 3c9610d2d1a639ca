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
	first     bool          // the gang goes first in the start order (withLargestGangFirst)
	startsIn  time.Duration // time from the newest planning pass to the planned start
}

const (
	// backfillMaxRunTime is the estimate up to which a task may use held slots in any case.
	// Such a task may have a tight objective, and it ends before it delays the gang
	// noticeably.
	backfillMaxRunTime = time.Second
	// backfillMargin is the factor on the estimate with which other tasks must end before the
	// gang's planned start to use held slots. Estimates are off by 20 to 90 percent, and with
	// the plain estimate half of the tasks end too late.
	backfillMargin = 1.5
)

// binds reports whether a step may not use the slots. A nil step may use none.
func (h *heldSlots) binds(s *step) bool {
	switch {
	case s == nil:
		return true
	case s == h.gang:
		return false
	case time.Duration(backfillMargin*float64(s.spec.Estimate)) <= h.startsIn:
		return false
	case !s.spec.Gang && s.spec.Estimate <= backfillMaxRunTime:
		return false
	}
	if own, gangs := s.job.queue, h.gang.job.queue; own != nil && gangs != nil && own.Priority < gangs.Priority {
		return false
	}
	// A step that can be in time goes before gangs that are late, as in the start order.
	return h.first || s.lateness >= h.gang.lateness
}

// heldFrom returns the free capacity of the executor that a step may not use now. Slots that
// become free before a planned start needn't be free now.
func (v *vm) heldFrom(s *step) api.Resources {
	var held, total api.Resources
	for i := range v.held {
		h := &v.held[i]
		if !h.binds(s) {
			continue
		}
		total = total.Add(h.resources)
		held = maxResources(held, total.Sub(h.released))
	}
	return held
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
