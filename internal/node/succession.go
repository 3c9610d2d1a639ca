package node

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/leader"
)

// Times after which a machine that keeps no content of records reads it all, so
// that it can lead.
const (
	// vacantAfter is the silence of the leader after which its standbys are taken
	// to be gone too: they claim after 0.8 s, or 1.5 s if they are weak.
	vacantAfter = 1800 * time.Millisecond
	// releasedAfter is the same after a leader that has stepped down: its standbys
	// claim at once.
	releasedAfter = 600 * time.Millisecond
	// vacantSpread is the time over which machines begin to read, so that the first
	// to claim spares the others.
	vacantSpread = time.Second
	// weakAfter is how much later machines begin that would be too weak to
	// lead a large cell.
	weakAfter = time.Second
)

// succession decides when a machine that keeps no content of records should
// become able to lead.
type succession struct {
	processors float64 // of this machine; 0: not told
	spread     time.Duration
}

// due reports whether that is now, given whether a leader delivers to this machine,
// for how long nothing was heard of one, and whether the last one has stepped down.
func (s *succession) due(fed bool, silence time.Duration, released bool) bool {
	if fed || s.spread == 0 {
		s.spread = 1 + rand.N(vacantSpread)
	}
	if fed {
		return false
	}
	after := vacantAfter + s.spread
	if released {
		after = releasedAfter + s.spread
	}
	if s.processors > 0 && leader.AssessSuitability(s.processors, 0) != leader.Suitable {
		after += weakAfter
	}
	return silence > after
}
