package forecast

import (
	"math"
	"time"
)

// booking is a number of tasks that start in a bucket.
type booking struct {
	bucket, tasks int
}

// place determines when the tasks of a demand would start in a layer and leaves the start
// buckets in p.starts. It starts searching at the time d.NotBefore. With a search cache,
// which is valid for one layer, buckets known to be full are skipped.
func (p *Profile) place(l *layer, d *Demand, known *searchCache) Times {
	p.starts = p.starts[:0]
	if d.Tasks <= 0 {
		return Times{First: d.NotBefore, Last: d.NotBefore, Known: true}
	}
	s := p.shapeOf(d)
	b, run := bucketsIn(d.NotBefore), max(1, bucketsIn(d.Run))
	if d.Gang {
		need := demanded(d.Task, s.amountFor(s.width(d.Tasks)))
		if b = p.search(l, known, need, b, run); b < p.buckets {
			p.starts = append(p.starts, booking{b, d.Tasks})
			return p.times(l, d, 0)
		}
		return p.times(l, d, d.Tasks)
	}
	left, chunk := d.Tasks, (d.Tasks+maxChunks-1)/maxChunks
	for left > 0 && b < p.buckets {
		own := p.ownTasks(b, run)
		wanted := s.width(min(chunk, left))
		if own+wanted > s.width(own+wanted) {
			b = p.nextOwnEnd(b, run) // the step uses all that it may use until some of its tasks end
			continue
		}
		// The layer doesn't contain the step's own tasks yet.
		need := demanded(d.Task, s.amountFor(own+wanted))
		if b = p.search(l, known, need, b, run); b >= p.buckets {
			break
		}
		n := wanted
		if left > wanted {
			fitting := int(s.slots(p.smallest(l.free, d.Task, b, run))+1e-6) - p.ownTasks(b, run)
			n = min(left, max(wanted, fitting))
		}
		p.starts = append(p.starts, booking{b, n})
		left -= n
		b++
	}
	return p.times(l, d, left)
}

// demanded returns the capacity of an amount of tasks, rounded up. An infinite amount is more
// than any layer holds.
func demanded(task Capacity, amount float64) packed {
	part := func(n int64) int64 {
		return int64(min(maxPart, math.Ceil(amount*float64(max(n, 0))-1e-6)))
	}
	if math.IsInf(amount, 1) {
		return Capacity{maxPart, maxPart}.pack()
	}
	return Capacity{part(task.MilliCPU), part(task.MemoryMB)}.pack()
}

// search returns the first bucket from b on at which an amount is free for a whole run, or
// the number of buckets.
func (p *Profile) search(l *layer, known *searchCache, need packed, b, run int) int {
	if known == nil {
		return p.firstFit(l.free, need, b, run)
	}
	first := known.firstCandidate(need, run)
	found := p.firstFit(l.free, need, max(b, first), run)
	if b <= first && found > first+minGain {
		known.add(searchResult{need, run, found})
	}
	return found
}

// firstFit is search without a cache.
func (p *Profile) firstFit(free []packed, need packed, b, run int) int {
	for checked := b; b < p.buckets; {
		end := min(b+run, p.buckets)
		for checked < end && free[checked].holds(need) {
			checked++
		}
		if checked == end {
			return b
		}
		checked++
		b = checked
	}
	return p.buckets
}

// searchCache holds results of earlier searches in a layer into which only bookings are made:
// a demand that needs at least as much can't start earlier than they say. Most steps of a long
// queue thereby skip the part of the profile that is full.
type searchCache struct {
	results [8]searchResult
	next    int
}

// minGain is the number of buckets that a search must have skipped to be kept.
const minGain = 4

// searchResult says that an amount isn't free for a whole run before some bucket.
type searchResult struct {
	need   packed
	run    int
	bucket int
}

// firstCandidate returns a bucket before which the need can't be met.
func (c *searchCache) firstCandidate(need packed, run int) int {
	first := 0
	for i := range c.results {
		if r := &c.results[i]; r.bucket > first && run >= r.run && need.holds(r.need) {
			first = r.bucket
		}
	}
	return first
}

func (c *searchCache) add(r searchResult) {
	for i := range c.results {
		if o := &c.results[i]; o.need.holds(r.need) && o.run >= r.run && r.bucket >= o.bucket {
			*o = r // says more
			return
		}
	}
	c.results[c.next] = r
	c.next = (c.next + 1) % len(c.results)
}

// smallest returns the smallest amount, in tasks, that is free during a run that starts in a bucket.
func (p *Profile) smallest(free []packed, task Capacity, b, run int) float64 {
	low := free[b].unpack()
	lowest := low.pack()
	for _, c := range free[b:min(b+run, p.buckets)] {
		if !c.holds(lowest) {
			low = low.Min(c.unpack())
			lowest = low.pack()
		}
	}
	return amountOf(low, task)
}

// ownTasks returns how many tasks that were placed for the present demand run in a bucket.
func (p *Profile) ownTasks(b, run int) int {
	n := 0
	for _, s := range p.starts {
		if b < s.bucket+run {
			n += s.tasks
		}
	}
	return n
}

// nextOwnEnd returns the first bucket after b in which a task that was placed for the present
// demand has ended.
func (p *Profile) nextOwnEnd(b, run int) int {
	end := p.buckets
	for _, s := range p.starts {
		if e := s.bucket + run; e > b {
			end = min(end, e)
		}
	}
	return end
}

// times returns the start times of a demand whose bookings are in p.starts, with some tasks
// left that have no place within the horizon.
func (p *Profile) times(l *layer, d *Demand, left int) Times {
	t := Times{Known: left == 0}
	if len(p.starts) > 0 {
		t.First = max(d.NotBefore, time.Duration(p.starts[0].bucket)*BucketWidth)
		t.Last = max(d.NotBefore, time.Duration(p.starts[len(p.starts)-1].bucket)*BucketWidth)
	}
	if left > 0 {
		t.Last = max(d.NotBefore, time.Duration(p.buckets)*BucketWidth) + l.overflow.timeOn(p.total)
		if len(p.starts) == 0 {
			t.First = t.Last
		}
	}
	return t
}

// book takes the capacity of the bookings in p.starts from what is free in a layer.
func (p *Profile) book(l *layer, d *Demand) {
	run := max(1, bucketsIn(d.Run))
	left := d.Tasks
	for _, s := range p.starts {
		left -= s.tasks
		taken := d.Task.times(s.tasks).pack()
		window := l.free[s.bucket:min(s.bucket+run, p.buckets)]
		for b := range window {
			window[b] -= taken
		}
	}
	if left > 0 {
		l.overflow = l.overflow.add(d.Task, left, d.Run)
	}
}
