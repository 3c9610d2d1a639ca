package plan

import (
	"sort"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// reservations are executors that are kept free for gangs without room.
type reservations struct {
	until map[*vm]time.Time // when the gang is expected to start
	gangs int
}

// smallWork is the run time up to which work with a tight objective may use
// an executor that is kept for a gang: it is over before it matters.
const smallWork = time.Second

// admits reports whether a task of the step may start on the executor now: it
// isn't reserved, or the task ends before the gang can start.
func (r *reservations) admits(v *vm, s *step, now time.Time) bool {
	until, reserved := r.until[v]
	if !reserved {
		return true
	}
	return s.spec.Estimate <= smallWork || !now.Add(s.spec.Estimate).After(until)
}

// horizons are the times ahead at which room for a gang is looked for.
var horizons = []time.Duration{
	250 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	4 * time.Second,
	8 * time.Second,
}

// reserve keeps the executors free on which the gang can start soonest.
func (c *Cell) reserve(s *step, q *queue.Queue, tasks []*task, held *reservations, now time.Time) {
	for _, ahead := range horizons {
		vms := c.roomAt(s, q, len(tasks), now.Add(ahead), now)
		if vms == nil {
			continue
		}
		for _, v := range vms {
			if _, taken := held.until[v]; !taken {
				held.until[v] = now.Add(ahead)
			}
		}
		held.gangs++
		return
	}
}

// roomAt returns executors that will have room for n tasks of the step at a
// time to come, or nil. It takes those with the most room first.
func (c *Cell) roomAt(s *step, q *queue.Queue, n int, at, now time.Time) []*vm {
	type offer struct {
		vm    *vm
		slots int
	}
	var offers []offer
	for _, v := range c.mayRunOn(s, q) {
		if !c.suits(s, q, v, now) {
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

// mayRun reports whether the step is known to be allowed on the executor.
func (s *step) mayRun(q *queue.Queue, v *vm) bool {
	if q == nil || q.Advice == nil {
		return true
	}
	_, granted := s.advice.tickets[v]
	return granted
}

// slotsAt returns how many tasks of the step the executor should have room for at
// a time, given the room beside its present claims.
func (v *vm) slotsAt(s *step, at, now time.Time) int { return v.slotsIn(s, v.roomAt(at, now)) }

// roomAt returns the room that the executor should have at a time.
func (v *vm) roomAt(at, now time.Time) api.Resources {
	room := v.free()
	for _, cl := range v.claims {
		if !cl.endsFrom(now).After(at) {
			room = room.Add(cl.need)
		}
	}
	return room
}

// slotsIn returns how many tasks of the step some room of the executor holds.
func (v *vm) slotsIn(s *step, room api.Resources) int {
	slots := fits(room, s.spec.Need)
	if s.spec.MaxPerVM > 0 {
		slots = min(slots, s.spec.MaxPerVM-v.countOf(s))
	}
	return slots
}

// overdueShare is how much longer a run that is over its estimate is expected
// to take, as a share of what it has taken. Run times vary by half and more;
// a run that counted as over at any moment would have gangs wait for room that
// doesn't come.
const overdueShare = 0.5

// endsFrom returns when the run is expected to end, as seen at now.
func (cl *claim) endsFrom(now time.Time) time.Time {
	if end, told := cl.progress.end(); told {
		if end.Before(now) {
			return now.Add(endIsNear)
		}
		return end
	}
	if cl.since.IsZero() || cl.ends.After(now) {
		return cl.ends
	}
	taken := now.Sub(cl.since)
	return now.Add(time.Duration(overdueShare * float64(taken)))
}

// fits returns how many times need goes into room.
func fits(room, need api.Resources) int {
	n := int64(1 << 20)
	if need.MilliCPU > 0 {
		n = min(n, room.MilliCPU/need.MilliCPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, room.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, room.Accelerators/need.Accelerators)
	}
	return int(max(0, n))
}
