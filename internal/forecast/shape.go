package forecast

import (
	"math"
	"math/bits"
)

// Units to which the free capacity of executors is rounded down when the tasks that fit are
// counted. Thousands of executors thereby have some hundred different states.
const (
	cpuUnit    = 500 // thousandths of a processor
	memoryUnit = 1024
)

// bin is a number of executors with the same amount of capacity.
type bin struct {
	capacity Capacity
	count    int
}

// freeAmount returns the free capacity of an executor for bins: rounded down, unless all of it is free.
func freeAmount(e *Executor) Capacity {
	if e.Free == e.Capacity {
		return e.Free
	}
	return Capacity{e.Free.MilliCPU / cpuUnit * cpuUnit, e.Free.MemoryMB / memoryUnit * memoryUnit}
}

// binned groups executors by an amount.
func binned(executors []Executor, amount func(*Executor) Capacity) []bin {
	index := make(map[Capacity]int)
	var bins []bin
	for i := range executors {
		c := amount(&executors[i])
		i, known := index[c]
		if !known {
			i = len(bins)
			index[c] = i
			bins = append(bins, bin{capacity: c})
		}
		bins[i].count++
	}
	return bins
}

// shape describes how many tasks of a step fit into an aggregate amount of capacity. Amounts
// are in tasks that would fit if the capacity were in one piece. Between the present state
// and empty executors the number is interpolated.
type shape struct {
	freeAmount, freeSlots   float64 // present free capacity and the tasks that fit into it
	emptyAmount, emptySlots float64 // the same for empty executors
	share                   float64
}

// shapeOf returns the shape of a demand's tasks.
func (p *Profile) shapeOf(d *Demand) shape {
	s := shape{freeAmount: amountOf(p.free, d.Task), emptyAmount: amountOf(p.total, d.Task), share: min(1, max(minShare, d.Share))}
	s.freeSlots = p.usablePartOfFree(d.Task) * s.freeAmount
	s.emptySlots = max(usablePart(p.emptyBins, p.total, d.Task)*s.emptyAmount, s.freeSlots)
	return s
}

// minShare bounds the share of a demand from below.
const minShare = 0.01

// maxExactBins is the number of different states of the executors up to which the usable part
// of their free capacity is computed for each size of a task.
const maxExactBins = 8

// usablePartOfFree returns the part of the present free capacity that tasks of about a size
// can use, from 0 to 1.
func (p *Profile) usablePartOfFree(task Capacity) float64 {
	if len(p.freeBins) <= maxExactBins {
		return usablePart(p.freeBins, p.free, task)
	}
	key := Capacity{roundSize(task.MilliCPU), roundSize(task.MemoryMB)}
	part, known := p.fragmentations[key]
	if !known {
		part = usablePart(p.freeBins, p.free, key)
		p.fragmentations[key] = part
	}
	return part
}

// roundSize rounds to a multiple of an eighth of the largest power of two that is not above
// n, so that the steps of a queue share a few sizes. It rounds to the nearest multiple, since
// tasks that are systematically taken for larger are refused while there is capacity.
func roundSize(n int64) int64 {
	if n < 16 {
		return n
	}
	unit := int64(1) << (bits.Len64(uint64(n)) - 4)
	return (n + unit/2) / unit * unit
}

// usablePart returns the part of a total that whole tasks can use, from 0 to 1.
func usablePart(bins []bin, total, task Capacity) float64 {
	amount := amountOf(total, task)
	if amount == 0 {
		return 0
	}
	slots := 0.0
	for _, b := range bins {
		slots += float64(b.count) * math.Floor(amountOf(b.capacity, task))
	}
	return min(1, slots/amount)
}

// amountOf returns for how many tasks a capacity would do in one piece.
func amountOf(c, task Capacity) float64 {
	n := maxAmount
	if task.MilliCPU > 0 {
		n = min(n, float64(c.MilliCPU)/float64(task.MilliCPU))
	}
	if task.MemoryMB > 0 {
		n = min(n, float64(c.MemoryMB)/float64(task.MemoryMB))
	}
	return max(0, n)
}

// maxAmount stands for any number of tasks, for tasks that require nothing.
const maxAmount = 1e9

// slots returns how many tasks of the step fit into an amount.
func (s *shape) slots(amount float64) float64 {
	switch {
	case amount <= s.freeAmount:
		if s.freeAmount == 0 {
			return 0
		}
		return s.share * s.freeSlots * amount / s.freeAmount
	case s.emptyAmount <= s.freeAmount:
		return s.share * s.freeSlots
	default:
		part := min(1, (amount-s.freeAmount)/(s.emptyAmount-s.freeAmount))
		return s.share * (s.freeSlots + part*(s.emptySlots-s.freeSlots))
	}
}

// amountFor returns the smallest amount into which n tasks of the step fit, or infinity if
// not even one task fits on empty executors. n must not exceed width(n).
func (s *shape) amountFor(n int) float64 {
	if s.emptySlots <= 0 {
		return math.Inf(1)
	}
	slots := min(float64(n)/s.share, s.emptySlots) // less than one task may fit on the share
	if slots <= s.freeSlots {
		return slots * s.freeAmount / s.freeSlots
	}
	return s.freeAmount + (s.emptyAmount-s.freeAmount)*(slots-s.freeSlots)/(s.emptySlots-s.freeSlots)
}

// width returns how many of n tasks must fit at one moment: at most as many as would fit if
// the executors were empty. The share of executors is learned and may be too low, and a gang
// must not be refused forever because of it.
func (s *shape) width(n int) int { return max(1, min(n, int(s.share*s.emptySlots))) }
