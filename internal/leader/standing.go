package leader

import "time"

// Suitability says how a machine compares with others as a leader.
type Suitability int

// Standings.
const (
	// Suitable: as far as is known no machine could lead much better.
	Suitable Suitability = iota
	// Outclassed: a machine that is there now could lead much better.
	Outclassed
	// Underpowered: nothing is known of others, and this machine would be too weak to
	// lead a large cell.
	Underpowered
	// Unsynced: this machine has not read the cell's jobs yet, as after a
	// restart, and could plan nothing until then. It doesn't claim.
	Unsynced
)

// Processors with which a machine can lead.
const (
	// enoughProcessors leads a cell of some hundred executors.
	enoughProcessors = 0.4
	// muchBetter is how many times the processors another machine must have
	// for leadership to wait for it, which costs part of a second.
	muchBetter = 1.5
)

// AssessSuitability returns the standing of a machine with its processors and the most
// that any other machine has that could lead now; 0: none is known.
func AssessSuitability(own, fittest float64) Suitability {
	switch {
	case own == 0 || own >= enoughProcessors:
		return Suitable
	case fittest == 0:
		return Underpowered
	case fittest > muchBetter*own:
		return Outclassed
	default:
		return Suitable
	}
}

// reserve returns for how much longer this machine leaves it to others to
// claim, and whether it may claim at all. One that has read no jobs may not: it
// could plan nothing, and its renewals would keep those from claiming that
// have read them.
func (e *Elector) reserve() (time.Duration, bool) {
	switch e.cfg.Suitability() {
	case Unsynced:
		return 0, false
	case Suitable:
		return 0, true
	default:
		return e.cfg.Timing.UnsuitableClaimDelay, true
	}
}

// shouldYield reports whether leadership should be handed to a machine that
// could lead much better; e.mu is held.
func (e *Elector) shouldYield(standing Suitability, now time.Time) bool {
	return standing == Outclassed &&
		now.Sub(e.ledSince) > e.cfg.Timing.MinTenure &&
		(e.yielded.IsZero() || now.Sub(e.yielded) > e.cfg.Timing.HandoverCooldown)
}
