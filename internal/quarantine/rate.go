package quarantine

import (
	"math"
	"time"
)

// rate counts outcomes that fade with time.
type rate struct {
	failed float64
	ended  float64
	at     time.Time // to which the counts are faded
}

// fade brings the counts to now.
func (r *rate) fade(now time.Time, halfLife time.Duration) {
	if passed := now.Sub(r.at); passed > 0 {
		left := math.Exp2(-float64(passed) / float64(halfLife))
		r.failed *= left
		r.ended *= left
		r.at = now
	}
}

func (r *rate) add(failed bool) {
	r.ended++
	if failed {
		r.failed++
	}
}

// forgive takes back one failure that was the task's own fault.
func (r *rate) forgive() {
	r.failed = max(r.failed-1, 0)
	r.ended = max(r.ended-1, r.failed)
}

// of returns the share that failed; 0 when nothing ended.
func (r *rate) of() float64 {
	if r.ended <= 0 {
		return 0
	}
	return r.failed / r.ended
}
