package assist

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/queue"
)

// length sorts calls by how long they are expected to take.
type length int

const (
	shortest length = iota
	middling
	long
	lengths // how many there are
)

// Bounds between the lengths, of the fixed part of a call: a call may delay another of
// its own length, not a shorter one. How many executors a call names doesn't count, or
// the calls of one queue would be of two lengths.
const (
	shortestUpTo = 40 * time.Millisecond
	middlingUpTo = 200 * time.Millisecond
)

func lengthOf(call queue.CallTime) length {
	switch {
	case call.Fixed <= shortestUpTo:
		return shortest
	case call.Fixed <= middlingUpTo:
		return middling
	default:
		return long
	}
}

// ClassName names the length of a call: calls of one length share machines.
func ClassName(call queue.CallTime) string {
	return [lengths]string{"short calls", "middling calls", "long calls"}[lengthOf(call)]
}

// headroom is how many times the machines that its calls keep busy are dealt to a
// length, where there are enough. Dealt by what each takes, all lengths wait alike
// when calls are more than machines, which short work can't afford.
var headroom = [lengths]float64{shortest: 2, middling: 1.5, long: 1}

// demandHalf is the time after which the demand of the past counts half.
const demandHalf = 2 * time.Second

// demand is how much time the calls of each length have taken lately.
type demand struct {
	taken [lengths]float64   // seconds, halved every demandHalf
	asked [lengths]time.Time // when a slot was last asked for
	at    time.Time          // when taken was last halved
}

// note takes in that a slot for a call of this length is asked for.
func (d *demand) note(of length, now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	for now.Sub(d.at) >= demandHalf {
		d.at = d.at.Add(demandHalf)
		for i := range d.taken {
			d.taken[i] /= 2
		}
	}
	d.asked[of] = now
}

// add counts a call.
func (d *demand) add(of length, cost time.Duration) { d.taken[of] += cost.Seconds() }

// span is a range of machines in their order.
type span struct{ from, to int }

// divide deals n machines out to the lengths that were asked for lately, by
// their demand, at least one to each. Where there are fewer machines than
// lengths, the shorter lengths share the first: a long call would keep them
// waiting longest.
func (d *demand) divide(n int) [lengths]span {
	var out [lengths]span
	total, wanted := 0.0, 0
	for i := range d.taken {
		if d.wanted(i) {
			wanted++
			total += headroom[i] * d.taken[i]
		}
	}
	if n < wanted {
		return d.crowd(n)
	}
	if total == 0 {
		total = 1
	}
	spare := n - wanted
	from, given := 0, 0.0
	for i := range d.taken {
		if !d.wanted(i) {
			out[i] = span{from, from}
			continue
		}
		before := int(given/total*float64(spare) + 0.5)
		given += headroom[i] * d.taken[i]
		share := int(given/total*float64(spare)+0.5) - before
		out[i] = span{from, from + 1 + share}
		from = out[i].to
	}
	return out
}

// crowd deals out fewer machines than there are lengths asked for.
func (d *demand) crowd(n int) [lengths]span {
	var out [lengths]span
	machine := n
	for i := int(lengths) - 1; i >= 0; i-- {
		if d.wanted(i) && machine > 1 {
			machine--
			out[i] = span{machine, machine + 1}
			continue
		}
		out[i] = span{0, min(1, n)}
	}
	return out
}

// wanted reports whether calls of this length were asked for lately.
func (d *demand) wanted(i int) bool {
	return !d.asked[i].IsZero() && d.at.Sub(d.asked[i]) < 2*demandHalf
}
