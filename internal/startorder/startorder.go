// Package startorder orders the steps that wait for a start. It does no I/O and reads no clock.
//
// Steps that can be in time come first, by the latest start that meets their objective: short work with
// a tight objective thereby passes long work that can wait. Late steps come after those that can be in
// time, so that a step that is just too late doesn't make the next one late as well.
package startorder

import (
	"cmp"
	"time"
)

// Lateness says whether a step's job can still end in time to be useful.
type Lateness int

// Degrees of lateness.
const (
	InTime  Lateness = iota // it can end within its latency objective
	Late                    // it can end while it is still of use
	Overdue                 // it can end within neither
)

// Policy says how work in excess of a workspace's weight, or of its share, is ordered.
type Policy int

const (
	// Classes starts work in excess after everything else, and that of workspaces over their share
	// after that of the others with the same lateness.
	Classes Policy = iota
	// Delays orders such work as if its latest start were later. While clients compete for too little
	// capacity, work with seconds to spare lets short work in excess pass, and is started before it
	// once it has little to spare itself. In classes, a workspace's burst of short work would wait
	// for all work of the others, and end when it is of no use.
	Delays
)

const (
	// ExcessDelay is the time to spare that other work keeps ahead of work in excess. Advice calls and
	// the wait for capacity of a step take about as long.
	ExcessDelay = 2 * time.Second
	// ShareDelay is the same for work of workspaces over their share.
	ShareDelay = time.Second
)

// Rank is the position of a step in the start order.
type Rank struct {
	Policy      Policy
	Excess      bool // of a workspace that submits more than its weight
	Lateness    Lateness
	OverShare   bool      // of a workspace that uses more than its share of the capacity
	LatestStart time.Time // latest start with which the job can meet its objective
}

// Compare returns a negative number if r comes before o. Both have the same policy.
func (r Rank) Compare(o Rank) int {
	if r.Policy == Delays {
		return cmp.Or(cmp.Compare(r.Lateness, o.Lateness), r.delayedStart().Compare(o.delayedStart()))
	}
	return cmp.Or(
		CompareBools(r.Excess, o.Excess),
		cmp.Compare(r.Lateness, o.Lateness),
		CompareBools(r.OverShare, o.OverShare),
		r.LatestStart.Compare(o.LatestStart),
	)
}

// delayedStart returns the latest start by which the step is ordered under Delays.
func (r Rank) delayedStart() time.Time {
	at := r.LatestStart
	if r.Excess {
		at = at.Add(ExcessDelay)
	}
	if r.OverShare {
		at = at.Add(ShareDelay)
	}
	return at
}

// CompareBools returns a negative number if only b is true, and a positive one if only a is.
func CompareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
