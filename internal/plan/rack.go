package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/advicepolicy"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/rackchoice"
)

// rackOf returns the rack of an executor. An executor without one counts as a rack of its own.
func rackOf(v *vm) string {
	if rack := v.Rack(); rack != "" {
		return rack
	}
	return "\x00" + v.Ref.ID
}

// onChosenRacks returns those of the executors on which a step with SameRack should start some
// tasks now, and all of them for other steps. A step with suspected tasks isn't bound to a rack: these
// may need executors of their own, of which the rack may have none.
func (c *Cell) onChosenRacks(s *step, q *queue.Queue, vms []*vm, tasks []*task, now time.Time) []*vm {
	s.racks = rackchoice.Choice{}
	if !s.spec.SameRack || firstSuspect(tasks) != nil {
		return vms
	}
	s.racks = c.chooseRacks(s, q, vms, len(tasks), now)
	return slices.DeleteFunc(vms, func(v *vm) bool { return !s.racks.Contains(rackOf(v)) })
}

// chooseRacks returns the racks on which a number of tasks should be placed. The vms are the executors on
// which a task may start now.
func (c *Cell) chooseRacks(s *step, q *queue.Queue, vms []*vm, tasks int, now time.Time) rackchoice.Choice {
	racks := make(map[string]*rackchoice.Rack)
	rackNamed := func(name string) *rackchoice.Rack {
		if racks[name] == nil {
			racks[name] = &rackchoice.Rack{Name: name}
		}
		return racks[name]
	}
	largest := 0
	for _, v := range vms {
		r := rackNamed(rackOf(v))
		slots := v.slotsIn(s, v.freeFor(s))
		if v.onTrial(&c.cfg) {
			slots = min(slots, 1)
		}
		r.Now += slots
		largest = max(largest, r.Now)
	}
	for _, t := range s.tasks {
		if t.allocations > 0 {
			if v := c.vms[t.incarnation.ID]; v != nil {
				rackNamed(rackOf(v)).Runs++
			}
		}
	}
	slack := c.rankOf(s, now).LatestStart.Sub(now)
	if slack > 0 && (largest < tasks || s.hasRuns()) {
		for _, v := range c.permittedVMs(s, q) {
			if c.suitable(s, q, v, now) {
				rackNamed(rackOf(v)).Later += v.slotsAt(s, now.Add(slack), now)
			}
		}
	}
	list := make([]rackchoice.Rack, 0, len(racks))
	for _, r := range racks {
		list = append(list, *r)
	}
	return rackchoice.Choose(tasks, slack, list)
}

// hasRuns reports whether runs of the step may exist.
func (s *step) hasRuns() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.allocations > 0 })
}

// waitsForRack reports whether the step waits for capacity on one rack, according to the newest plan.
func (s *step) waitsForRack() bool { return s.spec.SameRack && s.racks.Wait }

// excludedByRack reports whether the step waits for capacity on another rack than the executor's.
func (s *step) excludedByRack(v *vm) bool {
	return s.waitsForRack() && !s.racks.Contains(rackOf(v))
}

// rackFactor returns how many times as long the tasks of a step take for being spread over racks.
func (c *Cell) rackFactor(s *step) float64 {
	if s.spec.SameRack && s.racks.Spread() {
		return c.cfg.RemoteFactor
	}
	return 1
}

// groupByRack sorts the candidates of a call for a step with SameRack by rack, those of the rack that
// best suits a number of tasks first, so that the call concentrates on few racks. Executors with
// tickets count towards their racks. The order within a rack is unchanged.
func groupByRack(cands []candidate, s *step, tasks int, grantShare float64) {
	if !s.spec.SameRack {
		return
	}
	expected := make(map[string]float64)
	named := make(map[*vm]bool, len(cands))
	for _, cand := range cands {
		named[cand.vm] = true
		slots := advicepolicy.EventualSlots(cand.slots, gather.FitCount(cand.vm.Capacity, s.spec.TaskResources), s.spec.Gang)
		expected[rackOf(cand.vm)] += grantShare * float64(slots)
	}
	for v := range s.advice.tickets {
		if !named[v] {
			expected[rackOf(v)] += float64(v.slotsIn(s, v.free()))
		}
	}
	positions := rackchoice.Order(slotMargin*float64(tasks), expected)
	slices.SortStableFunc(cands, func(x, y candidate) int {
		return cmp.Compare(positions[rackOf(x.vm)], positions[rackOf(y.vm)])
	})
}
