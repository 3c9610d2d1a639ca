package forecast

import "math"

// Work ahead of a job is known by its tasks and by the share of executors that its kind may run
// on, but not by the executors that it will run on. What it leaves free is therefore estimated: each
// slot is available with a probability, and a job may start unless it is almost certain that its
// tasks find too few slots. A booking by amounts isn't exact enough here: it counts steps that have
// waited beside the free capacity because they can't use it.

// maxMissProbability is the probability of finding enough slots up to which a job counts as not
// fitting.
const maxMissProbability = 1e-4

// FitsNow reports whether the steps of a job that depend on no other may fit into what is free of
// the executors, beside demands ahead of the job. Times of the demands are from the same moment as
// those of the job.
//
// A demand ahead takes free slots if its earliest start lies between the last placement of waiting
// steps and the job's own start. One that could have started before takes only capacity that was
// released since: it has been offered the rest and can't use it. Expected demands take nothing.
func FitsNow(executors []Executor, j *Job, ahead ...[]Demand) bool {
	placed := j.Submitted - j.SincePlacement
	counts := slotCounts{executors: executors}
	var own []Demand // steps of the job that were found to fit
	for i := range j.Steps {
		s := &j.Steps[i]
		if len(s.DependsOn) > 0 || s.Tasks <= 0 {
			continue
		}
		f := newFreeSlots(executors, &s.Demand)
		if !f.mayFit() {
			return false
		}
		for _, demands := range ahead {
			for k := range demands {
				d := &demands[k]
				if d.Expected || d.Tasks <= 0 || d.NotBefore > s.NotBefore {
					continue
				}
				if f.take(&counts, d, d.NotBefore > placed); !f.mayFit() {
					return false
				}
			}
		}
		for k := range own {
			if f.take(&counts, &own[k], true); !f.mayFit() {
				return false
			}
		}
		own = append(own, s.Demand)
	}
	return true
}

// freeSlots estimates how many tasks of a demand find a slot.
type freeSlots struct {
	task    Capacity
	share   float64
	width   int     // tasks that must find a slot
	offered float64 // slots that were free when waiting steps were last placed
	fresh   float64 // slots in capacity that was released since
	perVM   float64 // mean number of slots on the executor of a slot: these are granted together

	// Probabilities that a slot is not taken by demands ahead, of all slots and, in addition, of the
	// fresh ones.
	available, freshAvailable float64
}

func newFreeSlots(executors []Executor, d *Demand) freeSlots {
	f := freeSlots{task: d.Task, share: min(1, max(minShare, d.Share)), available: 1, freshAvailable: 1}
	squares, empty := 0.0, 0.0
	for i := range executors {
		e := &executors[i]
		all := math.Floor(amountOf(e.Free, d.Task))
		if all > 0 {
			offered := all
			if e.Released != (Capacity{}) {
				offered = math.Floor(amountOf(e.Free.sub(e.Released), d.Task))
			}
			f.offered += offered
			f.fresh += all - offered
			squares += all * all
		}
		empty += math.Floor(amountOf(e.Capacity, d.Task))
	}
	if slots := f.offered + f.fresh; slots > 0 {
		f.perVM = squares / slots
	}
	f.width = max(1, min(d.Tasks, int(f.share*empty)))
	return f
}

// mayFit reports whether the tasks may find enough slots that they are permitted to use.
func (f *freeSlots) mayFit() bool {
	slots, width := f.offered+f.fresh, float64(f.width)
	if slots < width {
		return false
	}
	mean := f.share * f.available * (f.offered + f.freshAvailable*f.fresh)
	if mean >= width {
		return true
	}
	// Chernoff bound of the probability that at least width of the slots can be used, each of them
	// with the same probability, by the relative entropy of the two shares.
	used, usable := width/slots, mean/slots
	entropy := used * math.Log(used/usable)
	if used < 1 {
		entropy += (1 - used) * math.Log((1-used)/(1-usable))
	}
	return math.Exp(-slots*entropy/f.perVM) > maxMissProbability
}

// take reduces the probability that slots are available by what a demand ahead is expected to take,
// of all slots if isNew is set and otherwise only of the fresh ones.
func (f *freeSlots) take(counts *slotCounts, d *Demand, isNew bool) {
	available, own := f.available, f.offered+f.freshAvailable*f.fresh
	if !isNew {
		available, own = f.available*f.freshAvailable, f.fresh
	}
	own *= available
	if own == 0 {
		return
	}
	share := min(1, max(minShare, d.Share))
	usable := share * counts.of(d.Task, !isNew) * available
	if d.Gang && usable < float64(d.Tasks) {
		return
	}
	lost := min(float64(d.Tasks), usable) * amountOf(d.Task, f.task)
	left := 1 - min(share, lost/own)
	if isNew {
		f.available *= left
	} else {
		f.freshAvailable *= left
	}
}

// maxExactCounts is the number of sizes of tasks of which the slots are counted exactly.
const maxExactCounts = 32

// slotCounts counts the slots that demands find in the free capacity of executors. With many sizes of
// tasks they are rounded, so that the steps of a long queue share some counts.
type slotCounts struct {
	executors []Executor
	counts    map[slotKind]float64
}

type slotKind struct {
	task     Capacity
	released bool // in capacity released since the newest placement only
}

func (c *slotCounts) of(task Capacity, released bool) float64 {
	kind := slotKind{task, released}
	slots, known := c.counts[kind]
	if !known && len(c.counts) >= maxExactCounts {
		kind.task = Capacity{roundSize(task.MilliCPU), roundSize(task.MemoryMB)}
		slots, known = c.counts[kind]
	}
	if known {
		return slots
	}
	for i := range c.executors {
		free := c.executors[i].Free
		if released {
			free = c.executors[i].Released
		}
		slots += math.Floor(amountOf(free, kind.task))
	}
	if c.counts == nil {
		c.counts = make(map[slotKind]float64)
	}
	c.counts[kind] = slots
	return slots
}

// FreeIn reports whether the steps of a job that depend on no other may fit into the free capacity
// of executors that were seen since the profile was built, beside the demands ahead of the job.
// Runs often end earlier than expected, and what they free is not in the profile.
func (p *Profile) FreeIn(executors []Executor, j *Job, position int) bool {
	position = min(max(0, position), len(p.steps))
	latestStart := j.Objective - j.shortestRun()
	var added []Demand
	for i := range p.added {
		if d := &p.added[i]; d.position < position || d.position == position && d.LatestStart <= latestStart {
			added = append(added, d.Demand)
		}
	}
	return FitsNow(executors, j, p.steps[:position], added)
}

// addedDemand is a demand of a job that was added to a profile.
type addedDemand struct {
	Demand
	position int // number of waiting steps ahead of it
}

// noteAdded keeps the first steps of an added job for FreeIn.
func (p *Profile) noteAdded(j *Job, position int) {
	latestStart := j.Objective - j.shortestRun()
	for i := range j.Steps {
		if s := &j.Steps[i]; len(s.DependsOn) == 0 {
			d := s.Demand
			d.LatestStart = latestStart
			p.added = append(p.added, addedDemand{d, position})
		}
	}
}
