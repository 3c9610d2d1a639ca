package intake

import "time"

// firstPatience returns when the first of the requests is to be answered.
func firstPatience(batch []*request) time.Time {
	first := batch[0].patience
	for _, r := range batch {
		if r.patience.Before(first) {
			first = r.patience
		}
	}
	return first
}

// noteRefused counts the refusals in a row.
func (in *Intake) noteRefused(refused bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !refused {
		in.refused = 0
		return
	}
	in.refused++
}

// steadyTries is after how many refusals the pause begins to grow: short
// outages are over by then.
const steadyTries = 5

// pauseAgain returns the pause before a store that took nothing is tried
// again; parts of it are left to chance, so that machines don't come together.
func (in *Intake) pauseAgain() time.Duration {
	in.mu.Lock()
	defer in.mu.Unlock()
	d := in.cfg.RefusalDelay
	for i := steadyTries; i < in.refused && d < in.cfg.MaxRefusalDelay; i++ {
		d *= 2
	}
	d = min(d, in.cfg.MaxRefusalDelay)
	return d/2 + in.chance(d/2+1)
}
