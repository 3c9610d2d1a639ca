package intake

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// slowAppend is the duration of an append from which requests that may no longer be retried don't wait for
// the next one.
const slowAppend = 500 * time.Millisecond

// appendPace estimates how long a direct append takes. It is safe for concurrent use.
type appendPace struct {
	mu      sync.Mutex
	last    time.Duration // duration of the newest append that has ended, or its timeout
	timeout time.Duration // of the next append, unless the configured one is longer
	sentAt  time.Time     // when the append in flight was sent; zero if there is none
	endedAt time.Time     // when the newest append ended
}

// start records that an append is sent, and returns its timeout, which is at least the given one.
func (p *appendPace) start(minTimeout time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt = time.Now()
	p.timeout = max(p.timeout, minTimeout)
	return p.timeout
}

// end records that the append in flight has ended.
func (p *appendPace) end(timedOut bool, maxTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedAt = time.Now()
	p.last = p.endedAt.Sub(p.sentAt)
	p.sentAt = time.Time{}
	switch {
	case timedOut:
		p.timeout = min(2*p.timeout, maxTimeout)
	case p.last < p.timeout/4:
		p.timeout /= 2
	}
}

// expected returns how long an append is expected to take. What the newest append took counts for as long
// as it took: the store may have recovered since.
func (p *appendPace) expected(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.sentAt.IsZero() && now.Sub(p.endedAt) > p.last:
		return 0
	case p.sentAt.IsZero():
		return p.last
	}
	return max(p.last, now.Sub(p.sentAt))
}

// errStoreSlow is the cause of the refusal of a request that was not sent to the store.
var errStoreSlow = errors.New("the store takes longer than the client can wait")

// isHopeless reports whether a request that nothing was sent for should be refused now: an append would
// not be answered before its deadline, or is slow and the request may no longer be retried. Its client can
// come back, and would otherwise be held until its deadline and then be left unsure.
func (r *request) isHopeless(expected time.Duration, now time.Time) bool {
	if deadline, ok := r.ctx.Deadline(); ok && deadline.Sub(now) <= expected {
		return true
	}
	return expected >= slowAppend && now.After(r.retryUntil)
}

// refuseHopeless refuses the hopeless requests of a batch for which nothing was sent, and returns the
// others.
func (in *Intake) refuseHopeless(batch []*request) []*request {
	now := time.Now()
	expected := in.appendPace.expected(now)
	var remaining []*request
	for _, r := range batch {
		if r.uncertain || !r.isHopeless(expected, now) {
			remaining = append(remaining, r)
			continue
		}
		r.done <- errors.Mark(errStoreSlow, ErrNotStored)
	}
	if refused := len(batch) - len(remaining); refused > 0 {
		in.logger.WithField("requests", refused).WithField("append_ms", expected.Milliseconds()).Info("store is too slow for requests that wait")
	}
	return remaining
}

// refuseHopelessPending is refuseHopeless for the pending requests.
func (in *Intake) refuseHopelessPending() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.pending = in.refuseHopeless(in.pending)
}
