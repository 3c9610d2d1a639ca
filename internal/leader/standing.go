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
	// restart, and could plan nothing until then.
	Unread
)

// Processors with which a machine can lead.
const (
	// enoughProcessors leads a cell of 350 executors: that was measured to
	// take 0.36 to 0.43 of a processor, and 0.08 at 48 executors.
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
// claim; e.mu is not held.
func (e *Elector) reserve() time.Duration {
	if e.cfg.Standing() == Fit {
		return 0
	}
	return e.cfg.Timing.Modest
}

// shouldYield reports whether a machine of the given standing should hand
// leadership to one that could lead much better; e.mu is held.
func (e *Elector) shouldYield(s Standing, now time.Time) bool {
	return s == Surpassed &&
		now.Sub(e.ledSince) > e.cfg.Timing.Settled &&
		(e.yielded.IsZero() || now.Sub(e.yielded) > e.cfg.Timing.Cooling)
}
