// Package forecast estimates when the tasks of a job would start on a full cluster and when
// the job would end. It does no I/O and reads no clock: all times are durations from the
// moment for which a profile is built.
//
// A Profile is the free capacity of the executors over time, aggregated over the executors
// and divided into buckets. The waiting steps are booked into it in start order. What a
// step can use of an aggregate amount is less than the amount: an executor holds whole
// tasks only, and a step may run on a fraction of the executors.
package forecast

import (
	"slices"
	"time"
)

const (
	// BucketWidth is the time resolution of a profile. Run times are estimates, so a finer
	// one gains nothing.
	BucketWidth = 50 * time.Millisecond
	// MaxHorizon is how far ahead a profile reaches.
	MaxHorizon = 15 * time.Second
	// maxLayers bounds the copies of the profile that are kept for demands that start before
	// some of the waiting steps. With 2,000 steps a demand is placed behind at most 62 steps
	// that follow it in start order.
	maxLayers = 32
	// maxChunks bounds the moments at which the tasks of one step are booked. With one moment
	// for each task, the time for a build would grow with the tasks and not with the steps.
	maxChunks = 3
)

// Capacity is an amount of processors and memory.
type Capacity struct {
	MilliCPU int64 // thousandths of a processor
	MemoryMB int64
}

// Add returns the sum of two amounts.
func (c Capacity) Add(o Capacity) Capacity {
	return Capacity{c.MilliCPU + o.MilliCPU, c.MemoryMB + o.MemoryMB}
}

// Min returns the smaller of each part.
func (c Capacity) Min(o Capacity) Capacity {
	return Capacity{min(c.MilliCPU, o.MilliCPU), min(c.MemoryMB, o.MemoryMB)}
}

// sub returns the difference of two amounts.
func (c Capacity) sub(o Capacity) Capacity {
	return Capacity{c.MilliCPU - o.MilliCPU, c.MemoryMB - o.MemoryMB}
}

// times returns n times the amount.
func (c Capacity) times(n int) Capacity {
	return Capacity{c.MilliCPU * int64(n), c.MemoryMB * int64(n)}
}

// holds reports whether the amount is at least o in both parts.
func (c Capacity) holds(o Capacity) bool { return c.MilliCPU >= o.MilliCPU && c.MemoryMB >= o.MemoryMB }

// Executor is the present state of an executor that may be given work.
type Executor struct {
	Capacity Capacity
	Free     Capacity // not held by any run
	Released Capacity // part of Free that became free after waiting steps were last placed
}

// Release is capacity that a run is expected to free.
type Release struct {
	After    time.Duration
	Capacity Capacity
}

// Demand is the tasks of one step that are still to be started.
type Demand struct {
	Tasks       int
	Task        Capacity      // required by each task
	Run         time.Duration // expected run time of a task
	Gang        bool          // all tasks start at the same moment
	Share       float64       // fraction of the executors on which the step may run, above 0 and at most 1
	NotBefore   time.Duration // earliest start, for example because the step needs advice first; may be in the past
	LatestStart time.Duration // latest start of the last task with which the job can meet its objective
	Expected    bool          // of jobs that have not been submitted yet (Arrivals)
}

// Times are the expected start times of a demand.
type Times struct {
	First, Last time.Duration // start of the first and of the last task
	// Known is false if some task starts beyond the horizon. The times are then extrapolated
	// from the work that has no place within the horizon.
	Known bool
}

// layer is the state of the profile after some of the waiting steps were booked.
type layer struct {
	free     []packed // by bucket; negative if a demand was booked regardless of others
	inTime   []packed // by bucket: free if only steps that can still be in time are booked
	overflow work     // booked work that has no place within the horizon
}

// Profile is the expected free capacity over time. It is not safe for concurrent use.
type Profile struct {
	buckets        int
	executors      []Executor
	total          Capacity             // of the executors
	free           Capacity             // of the executors at present
	freeBins       []bin                // present free capacity of the executors
	emptyBins      []bin                // capacity of the executors
	fragmentations map[Capacity]float64 // usable part of the present free capacity, by rounded size of a task
	waiting        int                  // waiting steps that were booked
	layers         []layer              // with increasing numbers of them; the last contains all
	accepted       layer                // with all waiting steps, but without demands of jobs to come
	starts         []booking
	steps          []Demand // waiting steps, in start order
	added          []addedDemand
}

// Build returns the profile of executors whose runs end as in releases, with the waiting
// steps booked in start order. A later step uses capacity that earlier ones leave unused. The
// profile keeps the slices.
func Build(horizon time.Duration, executors []Executor, releases []Release, waiting []Demand) *Profile {
	p := &Profile{
		buckets:        max(1, int(min(horizon, MaxHorizon)/BucketWidth)),
		executors:      executors,
		fragmentations: make(map[Capacity]float64),
		waiting:        len(waiting),
		steps:          waiting,
	}
	for i := range executors {
		p.total = p.total.Add(executors[i].Capacity)
		p.free = p.free.Add(executors[i].Free)
	}
	p.freeBins = binned(executors, freeAmount)
	p.emptyBins = binned(executors, func(e *Executor) Capacity { return e.Capacity })
	current := p.emptyLayer(releases)
	p.accepted = current.clone()
	layers := min(maxLayers, len(waiting)) + 1
	p.layers = make([]layer, 0, layers)
	buffer := make([]packed, 0, 2*layers*p.buckets) // one allocation for all layers
	inTime, accepted := make(changes, p.buckets+1), make(changes, p.buckets+1)
	keep := func() {
		n := len(buffer)
		buffer = append(append(buffer, current.free...), current.inTime...)
		l := layer{free: buffer[n : n+p.buckets : n+p.buckets], inTime: buffer[n+p.buckets : len(buffer) : len(buffer)], overflow: current.overflow}
		inTime.apply(l.inTime)
		p.layers = append(p.layers, l)
	}
	keep()
	var known searchCache
	for i := range waiting {
		d := &waiting[i]
		p.place(&current, d, &known)
		overflow := current.overflow
		p.book(&current, d)
		if d.LatestStart > 0 {
			p.noteBooking(inTime, d)
		}
		if !d.Expected {
			p.noteBooking(accepted, d)
			p.accepted.overflow = p.accepted.overflow.plus(current.overflow.minus(overflow))
		}
		if i+1 == len(waiting) || p.layerOf(i+2) > p.layerOf(i+1) {
			keep()
		}
	}
	accepted.apply(p.accepted.free)
	return p
}

// changes are the differences of an amount from bucket to bucket.
type changes []packed

// apply adds the amounts to buckets.
func (c changes) apply(to []packed) {
	sum := packed(0)
	for b := range to {
		sum += c[b]
		to[b] += sum
	}
}

// noteBooking takes the capacity of the bookings in p.starts.
func (p *Profile) noteBooking(c changes, d *Demand) {
	run := max(1, bucketsIn(d.Run))
	for _, s := range p.starts {
		taken := d.Task.times(s.tasks).pack()
		c[s.bucket] -= taken
		c[min(s.bucket+run, p.buckets)] += taken
	}
}

// emptyLayer returns the free capacity without any waiting step.
func (p *Profile) emptyLayer(releases []Release) layer {
	released := make([]Capacity, p.buckets)
	for _, r := range releases {
		// Rounded up, since a bucket holds what is free during all of it.
		if b := bucketsIn(r.After); b < p.buckets {
			released[b] = released[b].Add(r.Capacity)
		}
	}
	l := layer{free: make([]packed, p.buckets), inTime: make([]packed, p.buckets)}
	sum := p.free
	for b := range l.free {
		sum = sum.Add(released[b])
		l.free[b] = sum.pack()
	}
	copy(l.inTime, l.free)
	return l
}

func (l *layer) clone() layer {
	return layer{free: slices.Clone(l.free), inTime: slices.Clone(l.inTime), overflow: l.overflow}
}

// layerOf returns the number of the first layer that contains the first n waiting steps.
func (p *Profile) layerOf(n int) int {
	layers := min(maxLayers, p.waiting)
	n = min(max(0, n), p.waiting)
	if n == 0 {
		return 0
	}
	return (n*layers + p.waiting - 1) / p.waiting
}

// bucketsIn returns the number of buckets that a duration covers, rounded up.
func bucketsIn(d time.Duration) int {
	return int((max(0, d) + BucketWidth - 1) / BucketWidth)
}
