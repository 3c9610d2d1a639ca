package leader

import "time"

// Suitability is how suitable a machine is as the leader, compared with others.
type Suitability int

// Levels of suitability.
const (
	// Suitable means that this machine has at least sufficientProcessors, that its number
	// of processors is unknown, or that other machines could lead now but none of them has
	// many more processors.
	Suitable Suitability = iota
	// Outclassed means that this machine has fewer than sufficientProcessors, and that
	// another machine that could lead now has many more than this one.
	Outclassed
	// Underpowered means that this machine has too few processors to lead a large cell,
	// and that no other machine is known that could lead now.
	Underpowered
	// Unsynced means that this machine has not read the cell's jobs yet, for example
	// after a restart. It can't plan until then, so it doesn't claim.
	Unsynced
)

// Thresholds for the processors of a leader.
const (
	// sufficientProcessors is enough to lead a cell of some hundred executors.
	sufficientProcessors = 0.4
	// outclassedRatio is how many times this machine's processors another machine
	// must have for leadership to wait for it, which costs part of a second.
	outclassedRatio = 1.5
)

// AssessSuitability returns the suitability of a machine, given its own processors and
// the maximum among the other machines that could lead now. Zero means unknown.
func AssessSuitability(own, fittest float64) Suitability {
	switch {
	case own == 0 || own >= sufficientProcessors:
		return Suitable
	case fittest == 0:
		return Underpowered
	case fittest > outclassedRatio*own:
		return Outclassed
	default:
		return Suitable
	}
}

// claimDelay returns the additional silence before this machine claims, and whether it
// may claim at all. A machine that has not read the jobs may not: it can't plan, and its
// renewals would keep machines from claiming that can.
func (e *Elector) claimDelay() (time.Duration, bool) {
	switch e.cfg.Suitability() {
	case Unsynced:
		return 0, false
	case Suitable:
		return 0, true
	default:
		return e.cfg.Timing.UnsuitableClaimDelay, true
	}
}

// shouldHandOver reports whether leadership should be handed to a machine with many
// more processors. The caller holds e.mu.
func (e *Elector) shouldHandOver(suitability Suitability, now time.Time) bool {
	return suitability == Outclassed &&
		now.Sub(e.leadingSince) > e.cfg.Timing.MinTenure &&
		(e.lastHandover.IsZero() || now.Sub(e.lastHandover) > e.cfg.Timing.HandoverCooldown)
}
