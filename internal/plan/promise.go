package plan

import (
	"github.com/skylarklock/skylarklock/api"
)

// promise is the room on an executor that a step is expected to take once the
// call for advice that names it is answered. Without promises, steps that ask
// at the same moment all name the executors with most room, and all but one
// find them full when their answers come.
type promise struct {
	vm   *vm
	room api.Resources
}

// promise spreads a step's tasks over the candidates that a call names, by
// their room.
func (c *Cell) promise(s *step, named []candidate, tasks int) {
	c.unpromise(s)
	slots := roomOf(named)
	if slots == 0 {
		return
	}
	part := min(1, float64(tasks)/float64(slots))
	for _, one := range named {
		if one.slots == 0 {
			continue
		}
		room := scale(s.spec.Need, part*float64(one.slots))
		one.vm.promised = one.vm.promised.Add(room)
		s.advice.promises = append(s.advice.promises, promise{vm: one.vm, room: room})
	}
}

// unpromise takes back what was promised to a step: it has started, ended or
// got no answer, or its tickets have lapsed.
func (c *Cell) unpromise(s *step) {
	for _, p := range s.advice.promises {
		p.vm.promised = p.vm.promised.Sub(p.room)
	}
	s.advice.promises = nil
}

func scale(r api.Resources, by float64) api.Resources {
	return api.Resources{
		MilliCPU:     int64(by * float64(r.MilliCPU)),
		MemoryMB:     int64(by * float64(r.MemoryMB)),
		Accelerators: int64(by * float64(r.Accelerators)),
	}
}
