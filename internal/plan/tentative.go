package plan

import (
	"github.com/skylarklock/skylarklock/api"
)

// tentativeAllocation is the capacity of an executor that a step is expected to take once
// the advice call that names the executor is answered. Without it, steps that call at the
// same moment all name the executors with the most free capacity, and all but one find them
// full when their answers arrive.
type tentativeAllocation struct {
	vm        *vm
	resources api.Resources
}

// addTentative spreads a step's tasks over the candidates that its calls name, in
// proportion to their slots.
func (c *Cell) addTentative(s *step, named []candidate, tasks int) {
	c.clearTentative(s)
	slots := totalSlots(named)
	if slots == 0 {
		return
	}
	share := min(1, float64(tasks)/float64(slots))
	for _, cand := range named {
		if cand.slots == 0 {
			continue
		}
		resources := scale(s.spec.TaskResources, share*float64(cand.slots))
		cand.vm.tentative = cand.vm.tentative.Add(resources)
		s.advice.tentativeAllocations = append(s.advice.tentativeAllocations, tentativeAllocation{vm: cand.vm, resources: resources})
	}
}

// clearTentative drops the tentative allocations of a step that has started, ended or got
// no answer, or whose tickets have expired.
func (c *Cell) clearTentative(s *step) {
	for _, alloc := range s.advice.tentativeAllocations {
		alloc.vm.tentative = alloc.vm.tentative.Sub(alloc.resources)
	}
	s.advice.tentativeAllocations = nil
}

func scale(r api.Resources, factor float64) api.Resources {
	return api.Resources{
		MilliCPU:     int64(factor * float64(r.MilliCPU)),
		MemoryMB:     int64(factor * float64(r.MemoryMB)),
		Accelerators: int64(factor * float64(r.Accelerators)),
	}
}
