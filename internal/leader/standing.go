package leader

import "time"

// Standing says how a machine compares with others as a leader.
type Standing int

// Standings.
const (
	// Fit: as far as is known no machine could lead much better.
	Fit Standing = iota
	// Surpassed: a machine that is there now could lead much better.
	Surpassed
	// Weak: nothing is known of others, and this machine would be too weak to
	// lead a large cell.
	Weak
	// Unread: this machine has not read the cell's jobs yet, as after a
	// restart, and could plan nothing until then. It doesn't claim.
	Unread
)

// Processors with which a machine can lead.
const (
	// enoughProcessors leads a cell of some hundred executors.
	enoughProcessors = 0.4
	// muchBetter is how many times the processors another machine must have
	// for leadership to wait for it, which costs part of a second.
	muchBetter = 1.5
)

// Compare returns the standing of a machine with its processors and the most
// that any other machine has that could lead now; 0: none is known.
func Compare(own, fittest float64) Standing {
	switch {
	case own == 0 || own >= enoughProcessors:
		return Fit
	case fittest == 0:
		return Weak
	case fittest > muchBetter*own:
		return Surpassed
	default:
		return Fit
	}
}

// reserve returns for how much longer this machine leaves it to others to
// claim, and whether it may claim at all. One that has read no jobs may not: it
// could plan nothing, and its renewals would keep those from claiming that
// have read them.
func (e *Elector) reserve() (time.Duration, bool) {
	switch e.cfg.Standing() {
	case Unread:
		return 0, false
	case Fit:
		return 0, true
	default:
		return e.cfg.Timing.Modest, true
	}
}

// shouldYield reports whether leadership should be handed to a machine that
// could lead much better; e.mu is held.
func (e *Elector) shouldYield(standing Standing, now time.Time) bool {
	return standing == Surpassed &&
		now.Sub(e.ledSince) > e.cfg.Timing.Settled &&
		(e.yielded.IsZero() || now.Sub(e.yielded) > e.cfg.Timing.Cooling)
}
