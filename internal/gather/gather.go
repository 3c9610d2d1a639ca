// Package gather plans the starts of gangs that don't fit into a full cell. A plan is the
// earliest time at which all tasks of a gang should fit, and a fixed set of executors with the
// slots that the gang takes on each. A Keeper keeps the plans of several gangs from pass to
// pass. The package uses no clock and no network: times and offers are passed in.
package gather

import (
	"cmp"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Horizon is how far ahead a start is planned. The expected ends of runs are estimates that
// are off by 20 to 90 percent, so a start further ahead says little.
const Horizon = 8 * time.Second

// Request describes a gang that waits for capacity.
type Request struct {
	Gang         work.StepKey
	Width        int           // number of tasks, which start together
	Task         api.Resources // resources of each task
	LatestStart  time.Time     // latest start with which its job is in time
	LatestUseful time.Time     // latest start with which its job is of use
	First        bool          // it goes before all others
	Late         bool          // it can't be in time any more
}

// milliCPU returns what all tasks request together, in thousandths of a processor.
func (r *Request) milliCPU() int64 { return int64(r.Width) * r.Task.MilliCPU }

// Offer is the capacity that an executor should have over time for a gang.
type Offer struct {
	Executor int           // unique number of the executor
	Free     api.Resources // capacity that is free now
	Releases []Release     // capacity that becomes free, by time
	MaxTasks int           // most tasks of the gang that may run there
}

// Release is capacity that should become free at a time.
type Release struct {
	At        time.Time
	Resources api.Resources
}

// Slots are the slots that a gang takes on one executor.
type Slots struct {
	Executor int
	Count    int       // number of tasks
	FreeAt   time.Time // when the last of them should be free
}

// Reservation is the plan of one gang.
type Reservation struct {
	Request Request
	Start   time.Time // when all slots should be free, not before the newest review
	Slots   []Slots   // by executor
}

// Resources returns what the tasks on one executor request together.
func (r *Reservation) Resources(s Slots) api.Resources { return r.Request.Task.Mul(int64(s.Count)) }

// Plan returns the earliest start of a gang by the offers and the slots that become free first,
// or false if the gang doesn't fit within the horizon or can't be of use by then. Among slots
// that become free at the same time it takes those of the executors with the most of them, so
// that a call for tickets names few executors.
func Plan(r Request, offers []Offer, now time.Time) (*Reservation, bool) {
	end := now.Add(Horizon)
	if r.LatestUseful.Before(end) {
		end = r.LatestUseful
	}
	if r.Width <= 0 || end.Before(now) {
		return nil, false
	}
	var gains []Slots
	for i := range offers {
		gains = offers[i].appendGains(gains, r.Task, now, end)
	}
	slices.SortFunc(gains, func(a, b Slots) int {
		return cmp.Or(a.FreeAt.Compare(b.FreeAt), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Executor, b.Executor))
	})
	planned := &Reservation{Request: r, Start: now}
	missing := r.Width
	for _, g := range gains {
		if missing == 0 {
			break
		}
		g.Count = min(g.Count, missing)
		missing -= g.Count
		planned.Start = g.FreeAt
		planned.Slots = append(planned.Slots, g)
	}
	if missing > 0 {
		return nil, false
	}
	planned.Slots = mergeByExecutor(planned.Slots)
	return planned, true
}

// mergeByExecutor joins the slots that become free on the same executor at different times.
func mergeByExecutor(slots []Slots) []Slots {
	slices.SortStableFunc(slots, func(a, b Slots) int { return cmp.Compare(a.Executor, b.Executor) })
	merged := slots[:0]
	for _, s := range slots {
		if n := len(merged); n > 0 && merged[n-1].Executor == s.Executor {
			merged[n-1].Count += s.Count
			merged[n-1].FreeAt = s.FreeAt
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

// appendGains appends the slots that the executor gains at each time up to end.
func (o *Offer) appendGains(gains []Slots, task api.Resources, now, end time.Time) []Slots {
	found := 0
	o.each(now, end, func(at time.Time, free api.Resources) bool {
		if n := min(o.MaxTasks, FitCount(free, task)); n > found {
			gains = append(gains, Slots{Executor: o.Executor, Count: n - found, FreeAt: at})
			found = n
		}
		return found < o.MaxTasks
	})
	return gains
}

// freeAt returns the time up to end at which a number of tasks should fit.
func (o *Offer) freeAt(count int, task api.Resources, now, end time.Time) (time.Time, bool) {
	var freeAt time.Time
	fits := false
	o.each(now, end, func(at time.Time, free api.Resources) bool {
		if min(o.MaxTasks, FitCount(free, task)) >= count {
			freeAt, fits = at, true
		}
		return !fits
	})
	return freeAt, fits
}

// each calls visit with the free capacity now and after each release up to end, until visit
// returns false.
func (o *Offer) each(now, end time.Time, visit func(at time.Time, free api.Resources) bool) {
	free := o.Free
	if !visit(now, free) {
		return
	}
	for _, release := range o.Releases {
		if release.At.After(end) {
			return
		}
		free = free.Add(release.Resources)
		at := release.At
		if at.Before(now) {
			at = now
		}
		if !visit(at, free) {
			return
		}
	}
}

// FitCount returns how many times need fits into free.
func FitCount(free, need api.Resources) int {
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
