// Package rackchoice chooses the racks for the tasks of a step that runs slower across racks. The
// choice is pure: the capacity of the racks is passed in.
package rackchoice

import (
	"cmp"
	"slices"
	"time"
)

// Rack is the capacity of one rack for tasks of a step.
type Rack struct {
	Name  string
	Now   int // tasks that fit now
	Later int // tasks expected to fit at the end of the step's slack, including those that fit now
	Runs  int // tasks of the step that run there
}

// Choice is the racks on which the tasks of a step should be placed.
type Choice struct {
	Racks []string // in the order in which they should be used
	Wait  bool     // one rack is expected to have the capacity within the slack, but does not have it yet
}

// Contains reports whether the choice includes a rack.
func (c Choice) Contains(rack string) bool { return slices.Contains(c.Racks, rack) }

// Spread reports whether the step runs on more than one rack.
func (c Choice) Spread() bool { return len(c.Racks) > 1 }

// Choose returns the racks for a number of tasks. It takes one rack if that has the capacity now, the
// one with the least left over, or else one that is expected to have it within the slack. Otherwise it
// returns as few racks as possible. Tasks that run already bind the step to their racks. Executors
// without a rack are passed as separate racks by the caller.
func Choose(tasks int, slack time.Duration, racks []Rack) Choice {
	bound := slices.DeleteFunc(slices.Clone(racks), func(r Rack) bool { return r.Runs == 0 })
	if len(bound) == 0 {
		bound = racks
	}
	if r, ok := tightest(bound, tasks, func(r Rack) int { return r.Now }); ok && !severalUsed(racks) {
		return Choice{Racks: []string{r.Name}}
	}
	if slack > 0 && !severalUsed(racks) {
		if r, ok := tightest(bound, tasks, func(r Rack) int { return r.Later }); ok {
			return Choice{Racks: []string{r.Name}, Wait: true}
		}
	}
	return Choice{Racks: fewest(tasks, racks)}
}

// severalUsed reports whether tasks of the step run on more than one rack.
func severalUsed(racks []Rack) bool {
	used := 0
	for _, r := range racks {
		if r.Runs > 0 {
			used++
		}
	}
	return used > 1
}

// tightest returns the rack with the least capacity that is enough.
func tightest(racks []Rack, tasks int, capacity func(Rack) int) (Rack, bool) {
	var best Rack
	found := false
	for _, r := range racks {
		if capacity(r) < tasks {
			continue
		}
		if !found || cmp.Or(cmp.Compare(capacity(r), capacity(best)), cmp.Compare(r.Name, best.Name)) < 0 {
			best, found = r, true
		}
	}
	return best, found
}

// fewest returns as few racks as have capacity for the tasks now, or all with capacity if they don't
// suffice. Racks with runs of the step come first.
func fewest(tasks int, racks []Rack) []string {
	sorted := slices.Clone(racks)
	slices.SortFunc(sorted, func(a, b Rack) int {
		return cmp.Or(compareUsed(a, b), cmp.Compare(b.Now, a.Now), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, r := range sorted {
		if r.Now == 0 && r.Runs == 0 {
			continue
		}
		if tasks <= 0 && r.Runs == 0 {
			break
		}
		names = append(names, r.Name)
		tasks -= r.Now
	}
	return names
}

// compareUsed orders racks with runs of the step first.
func compareUsed(a, b Rack) int {
	switch {
	case (a.Runs > 0) == (b.Runs > 0):
		return 0
	case a.Runs > 0:
		return -1
	default:
		return 1
	}
}

// Order returns the position of each rack in an advice call that should find slots for a step: the
// racks with enough expected slots first, the one with the fewest of them in front, then the others,
// those with the most slots in front.
func Order(slots float64, expected map[string]float64) map[string]int {
	names := make([]string, 0, len(expected))
	for name := range expected {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := expected[a], expected[b]
		switch {
		case (x >= slots) != (y >= slots):
			if x >= slots {
				return -1
			}
			return 1
		case x >= slots:
			return cmp.Or(cmp.Compare(x, y), cmp.Compare(a, b))
		default:
			return cmp.Or(cmp.Compare(y, x), cmp.Compare(a, b))
		}
	})
	positions := make(map[string]int, len(names))
	for i, name := range names {
		positions[name] = i
	}
	return positions
}
