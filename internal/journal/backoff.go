package journal

import "time"

// backoff gives growing pauses with jitter. It is not safe for concurrent use.
type backoff struct {
	min, max time.Duration
	random   func() float64 // in [0, 1)
	next     time.Duration
}

// pause returns how long to wait after one more failure: between half of the
// current step and all of it.
func (b *backoff) pause() time.Duration {
	step := max(b.next, b.min)
	b.next = min(2*step, b.max)
	half := step / 2
	return half + time.Duration(b.random()*float64(half))
}

// reset starts over after a success.
func (b *backoff) reset() {
	b.next = 0
}
