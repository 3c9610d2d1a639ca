package plan

import (
	"sort"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// reservations are executors that are kept free for gangs that don't fit.
type reservations struct {
	until map[*vm]time.Time // when the gang is expected to start
	gangs int
}

// backfillMaxRunTime is the run time up to which a task may use a reserved executor in any
// case. Such a task may have a tight objective, and it ends before it delays the gang
// noticeably.
const backfillMaxRunTime = time.Second

// admits reports whether a task of the step may start on the executor now: the executor
// isn't reserved, or the task ends before the gang can start.
func (r *reservations) admits(v *vm, s *step, now time.Time) bool {
	availableAt, reserved := r.until[v]
	if !reserved {
		return true
	}
	return s.spec.Estimate <= backfillMaxRunTime || !now.Add(s.spec.Estimate).After(availableAt)
}

// reservationHorizons are the times ahead at which capacity for a gang is looked for.
var reservationHorizons = []time.Duration{
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	4 * time.Second,
	8 * time.Second,
}

// reserveForGang reserves the executors on which the gang can start soonest.
func (c *Cell) reserveForGang(s *step, q *queue.Queue, tasks []*task, reserved *reservations, now time.Time) {
	for _, ahead := range reservationHorizons {
		vms := c.vmsWithCapacityAt(s, q, len(tasks), now.Add(ahead), now)
		if vms == nil {
			continue
		}
		for _, v := range vms {
			if _, isReserved := reserved.until[v]; !isReserved {
				reserved.until[v] = now.Add(ahead)
			}
		}
		reserved.gangs++
		return
	}
}

// vmsWithCapacityAt returns executors that will have capacity for n tasks of the step at a
// future time, or nil. It takes those with the most slots first.
func (c *Cell) vmsWithCapacityAt(s *step, q *queue.Queue, n int, at, now time.Time) []*vm {
	type offer struct {
		vm    *vm
		slots int
	}
	var offers []offer
	for _, v := range c.permittedVMs(s, q) {
		if !c.suitable(s, q, v, now) || s.excludedByRack(v) {
			continue
		}
		if slots := v.slotsAt(s, at, now); slots > 0 {
			offers = append(offers, offer{v, slots})
		}
	}
	sort.SliceStable(offers, func(a, b int) bool { return offers[a].slots > offers[b].slots })
	var chosen []*vm
	for _, o := range offers {
		chosen = append(chosen, o.vm)
		n -= o.slots
		if n <= 0 {
			return chosen
		}
	}
	return nil
}

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
	slots := fitCount(free, s.spec.TaskResources)
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

// fitCount returns how many times need fits into free.
func fitCount(free, need api.Resources) int {
	if free.MilliCPU < need.MilliCPU || free.MemoryMB < need.MemoryMB || free.Accelerators < need.Accelerators {
		return 0
	}
	n := int64(1 << 20)
	if need.MilliCPU > 0 {
		n = min(n, free.MilliCPU/need.MilliCPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return int(max(0, n))
}
