package assist

import (
	"math"
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// callClass classifies advice calls by their expected duration.
type callClass int

const (
	shortCalls callClass = iota
	mediumCalls
	longCalls
	numCallClasses // number of classes
)

// Limits of the classes, applied to the fixed part of a call's duration: a call may delay others of
// its own class, but not shorter ones. The number of executors that a call names is left out;
// otherwise calls of one queue would fall into two classes.
const (
	maxShortCall  = 40 * time.Millisecond
	maxMediumCall = 200 * time.Millisecond
)

func classOf(call queue.CallTime) callClass {
	switch {
	case call.Fixed <= maxShortCall:
		return shortCalls
	case call.Fixed <= maxMediumCall:
		return mediumCalls
	default:
		return longCalls
	}
}

// ClassName returns the name of a call's class. Calls of one class share machines.
func ClassName(call queue.CallTime) string {
	return [numCallClasses]string{"short calls", "middling calls", "long calls"}[classOf(call)]
}

// overprovision is the number of machines that a class gets for each machine that its calls keep
// busy, as long as there are enough machines. With the same factor for all classes, all would wait
// equally long when there are more calls than machines can make, which short work cannot afford.
var overprovision = [numCallClasses]float64{shortCalls: 2, mediumCalls: 1.5, longCalls: 1}

// Bounds of the machines that the short class gets beyond its share by demand. A long call occupies a
// machine for 0.3 to 1.3 s, and the demand of a burst shows only after its calls have been made. Bursts
// are 1.5 to 2.5 times the load.
const (
	shortBurstFactor = 2.5
	// maxBurstShare is the share of the machines up to which they are kept for a burst of short calls.
	maxBurstShare = 0.25
)

// demandHalfLife is the time after which past demand counts half.
const demandHalfLife = 2 * time.Second

// demand tracks the recent duration of advice calls for each class.
type demand struct {
	callSeconds   [numCallClasses]float64   // expected duration of all calls, halved every demandHalfLife
	refused       [numCallClasses]float64   // expected duration of the calls that found no machine in the present pass
	waiting       [numCallClasses]float64   // the same in the pass before
	lastRequested [numCallClasses]time.Time // last request for a slot
	decayedAt     time.Time                 // last time at which callSeconds was halved
}

// recordRequest records a request for a slot for a call of the class.
func (d *demand) recordRequest(class callClass, now time.Time) {
	if d.decayedAt.IsZero() {
		d.decayedAt = now
	}
	for now.Sub(d.decayedAt) >= demandHalfLife {
		d.decayedAt = d.decayedAt.Add(demandHalfLife)
		for i := range d.callSeconds {
			d.callSeconds[i] /= 2
		}
	}
	d.lastRequested[class] = now
}

// addCost adds the expected duration of a call to the demand of its class.
func (d *demand) addCost(class callClass, cost time.Duration) { d.callSeconds[class] += cost.Seconds() }

// peerRange is a range of machines, ordered as returned by Peers.responsive.
type peerRange struct{ from, to int }

// assignRanges divides n machines among the recently requested classes by demand, with at least one
// machine for each. With fewer machines than classes, the shorter classes share the first machine,
// because a long call would delay them most.
func (d *demand) assignRanges(n int) [numCallClasses]peerRange {
	total, active := 0.0, 0
	for i := range d.callSeconds {
		if d.active(i) {
			active++
			total += d.weight(i)
		}
	}
	if n < active {
		return d.assignScarce(n)
	}
	if total == 0 {
		total = 1
	}
	spare := n - active
	var counts [numCallClasses]int
	given := 0.0
	for i := range d.callSeconds {
		if !d.active(i) {
			continue
		}
		before := int(given/total*float64(spare) + 0.5)
		given += d.weight(i)
		counts[i] = 1 + int(given/total*float64(spare)+0.5) - before
	}
	d.reserveForBurst(&counts, n)
	return rangesOf(counts)
}

// weight returns the demand by which the class gets machines. Calls that found no machine count:
// otherwise a class with few machines would make few calls and therefore keep few machines.
func (d *demand) weight(i int) float64 { return overprovision[i]*d.callSeconds[i] + d.waiting[i] }

// reserveForBurst gives the short class the machines that a burst of its calls would keep busy, taken
// from the class with the most machines.
func (d *demand) reserveForBurst(counts *[numCallClasses]int, n int) {
	if counts[shortCalls] == 0 {
		return
	}
	// In a steady state callSeconds varies between the demand of one half life and that of two.
	busy := d.callSeconds[shortCalls] / (1.5 * demandHalfLife.Seconds())
	wanted := min(int(math.Ceil(shortBurstFactor*busy)), int(maxBurstShare*float64(n)))
	for counts[shortCalls] < wanted {
		from := mediumCalls
		if counts[longCalls] > counts[mediumCalls] {
			from = longCalls
		}
		if counts[from] <= 1 {
			return
		}
		counts[from]--
		counts[shortCalls]++
	}
}

// rangesOf returns consecutive ranges of machines.
func rangesOf(counts [numCallClasses]int) [numCallClasses]peerRange {
	var out [numCallClasses]peerRange
	from := 0
	for i, count := range counts {
		out[i] = peerRange{from, from + count}
		from += count
	}
	return out
}

// assignScarce assigns machines when there are fewer of them than requested classes.
func (d *demand) assignScarce(n int) [numCallClasses]peerRange {
	var out [numCallClasses]peerRange
	unassigned := n
	for i := int(numCallClasses) - 1; i >= 0; i-- {
		if d.active(i) && unassigned > 1 {
			unassigned--
			out[i] = peerRange{unassigned, unassigned + 1}
			continue
		}
		out[i] = peerRange{0, min(1, n)}
	}
	return out
}

// active reports whether a slot for the class has been requested recently.
func (d *demand) active(i int) bool {
	return !d.lastRequested[i].IsZero() && d.decayedAt.Sub(d.lastRequested[i]) < 2*demandHalfLife
}
