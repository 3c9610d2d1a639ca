package intake

import "time"

// earliestRetryDeadline returns the earliest time at which a request of the batch may no longer be retried.
func earliestRetryDeadline(batch []*request) time.Time {
	earliest := batch[0].retryUntil
	for _, r := range batch {
		if r.retryUntil.Before(earliest) {
			earliest = r.retryUntil
		}
	}
	return earliest
}

// recordRefusal counts consecutive refusals of direct appends.
func (in *Intake) recordRefusal(refused bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !refused {
		in.consecutiveRefusals = 0
		return
	}
	in.consecutiveRefusals++
}

// constantDelayRefusals is the number of consecutive refusals after which the delay before a retry
// starts to grow: short outages have ended by then.
const constantDelayRefusals = 5

// refusalDelay returns the delay before an append that the store refused is retried. Half of it is
// random, so that machines do not retry at the same time.
func (in *Intake) refusalDelay() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	d := in.cfg.RefusalDelay
	for i := constantDelayRefusals; i < in.consecutiveRefusals && d < in.cfg.MaxRefusalDelay; i++ {
		d *= 2
	}
	d = min(d, in.cfg.MaxRefusalDelay)
	return d/2 + in.randomDuration(d/2+1)
}
