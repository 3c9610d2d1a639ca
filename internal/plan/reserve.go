package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// permittedOn reports whether the step is known to be permitted on the executor.
func (s *step) permittedOn(q *queue.Queue, v *vm) bool {
	if q == nil || q.Advice == nil {
		return true
	}
	_, granted := s.advice.tickets[v]
	return granted
}

// slotsAt returns how many tasks of the step should fit on the executor at a time, beside
// its present allocations.
func (v *vm) slotsAt(s *step, at, now time.Time) int { return v.slotsIn(s, v.freeAt(at, now)) }

// freeAt returns the free capacity that the executor should have at a time.
func (v *vm) freeAt(at, now time.Time) api.Resources {
	available := v.free()
	for _, alloc := range v.allocations {
		if !alloc.expectedEndAt(now).After(at) {
			available = available.Add(alloc.resources)
		}
	}
	return available
}

// slotsIn returns how many tasks of the step fit into some free capacity of the executor.
func (v *vm) slotsIn(s *step, free api.Resources) int {
	slots := gather.FitCount(free, s.spec.TaskResources)
	if s.spec.MaxPerVM > 0 {
		slots = min(slots, s.spec.MaxPerVM-v.runsOf(s))
	}
	return slots
}

// overrunShare is how much longer a run that has exceeded its estimate is expected to take,
// as a share of what it has taken. Run times vary by half and more. If such a run were
// expected to end at any moment, gangs would wait for capacity that doesn't become free.
const overrunShare = 0.5

// expectedEndAt returns when the run is expected to end, as estimated at now.
func (alloc *allocation) expectedEndAt(now time.Time) time.Time {
	if end, known := alloc.progress.estimateEnd(); known {
		if end.Before(now) {
			return now.Add(overdueEndDelay)
		}
		return end
	}
	if alloc.runningSince.IsZero() || alloc.expectedEnd.After(now) {
		return alloc.expectedEnd
	}
	elapsed := now.Sub(alloc.runningSince)
	return now.Add(time.Duration(overrunShare * float64(elapsed)))
}
