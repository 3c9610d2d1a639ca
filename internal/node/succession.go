package node

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/leader"
)

// Times after which a machine that keeps no content of records reads all of it, so
// that it can lead.
const (
	// keepContentDelay is the time without contact to the leader after which its
	// standbys are presumed lost too. They claim after 0.8 s, or after 1.5 s if they
	// are underpowered.
	keepContentDelay = 1800 * time.Millisecond
	// keepContentDelayReleased is the same after a leader has stepped down, since its
	// standbys claim immediately then.
	keepContentDelayReleased = 600 * time.Millisecond
	// keepContentJitter is the period over which the machines' starts are spread, so
	// that the others need not read once the first one has claimed.
	keepContentJitter = time.Second
	// underpoweredDelay is how much later machines start that have too few processors
	// to lead a large cell.
	underpoweredDelay = time.Second
)

// succession decides when a machine that keeps no content of records should
// become able to lead.
type succession struct {
	processors float64 // of this machine; 0: unknown
	jitter     time.Duration
}

// due reports whether this machine should read all content now. receivesDeliveries
// states whether a leader delivers to this machine, sinceContact how long ago a leader
// was last heard of, and released whether the last leader has stepped down.
func (s *succession) due(receivesDeliveries bool, sinceContact time.Duration, released bool) bool {
	if receivesDeliveries || s.jitter == 0 {
		s.jitter = 1 + rand.N(keepContentJitter)
	}
	if receivesDeliveries {
		return false
	}
	delay := keepContentDelay + s.jitter
	if released {
		delay = keepContentDelayReleased + s.jitter
	}
	if s.processors > 0 && leader.AssessSuitability(s.processors, 0) != leader.Suitable {
		delay += underpoweredDelay
	}
	return sinceContact > delay
}
