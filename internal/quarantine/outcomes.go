package quarantine

import (
	"math"
	"time"
)

// outcomes counts failed and ended tasks with weights that decay over time.
type outcomes struct {
	failed    float64
	ended     float64
	updatedAt time.Time // time up to which the counts have decayed
}

// decay applies the decay since updatedAt.
func (o *outcomes) decay(now time.Time, halfLife time.Duration) {
	if elapsed := now.Sub(o.updatedAt); elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(halfLife))
		o.failed *= factor
		o.ended *= factor
		o.updatedAt = now
	}
}

func (o *outcomes) add(failed bool) {
	o.ended++
	if failed {
		o.failed++
	}
}

// removeFailure removes one failure that was caused by the task, not the VM.
func (o *outcomes) removeFailure() {
	o.failed = max(o.failed-1, 0)
	o.ended = max(o.ended-1, o.failed)
}

// failureRate returns the share of ended tasks that failed, or 0 if none ended.
func (o *outcomes) failureRate() float64 {
	if o.ended <= 0 {
		return 0
	}
	return o.failed / o.ended
}
