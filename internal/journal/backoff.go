package journal

import "time"

// backoff computes an exponential backoff with jitter. It is not safe for
// concurrent use.
type backoff struct {
	min, max time.Duration
	random   func() float64 // in [0, 1)
	next     time.Duration
}

// pause returns how long to wait after another failure: a random time between
// half of the current step and the whole step.
func (b *backoff) pause() time.Duration {
	step := max(b.next, b.min)
	b.next = min(2*step, b.max)
	half := step / 2
	return half + time.Duration(b.random()*float64(half))
}

// reset returns to the minimum after a success.
func (b *backoff) reset() {
	b.next = 0
}
