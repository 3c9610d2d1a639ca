package intake

import (
	"time"

	"github.com/cockroachdb/errors"
)

// storeBatch makes the leader store a batch. If that is not possible, or if its outcome is unknown, the
// batch is appended directly: a record that is stored twice counts once.
func (in *Intake) storeBatch(batch []*request) {
	uncertain, batch := in.storeViaLeader(batch)
	if len(batch) == 0 {
		return
	}
	if !uncertain {
		in.setInProgress(batch, false) // nothing is sent until a slot is free
	}
	batch, free := in.acquireDirectSlot(batch, uncertain)
	if !free {
		in.handleRefusal(batch, errors.New("the store has been silent for a while"), uncertain)
		return
	}
	defer func() { <-in.directSlots }()
	in.appendDirectly(dropExpired(in.resume(batch), uncertain), uncertain)
}

// setInProgress records whether the requests of a batch may be stored now or later.
func (in *Intake) setInProgress(batch []*request, inProgress bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range batch {
		r.inProgress = inProgress
	}
}

// resume marks the requests of a batch as in progress and returns those that were not withdrawn.
func (in *Intake) resume(batch []*request) []*request {
	in.mu.Lock()
	defer in.mu.Unlock()
	var remaining []*request
	for _, r := range batch {
		if !r.withdrawn {
			r.inProgress = true
			remaining = append(remaining, r)
		}
	}
	return remaining
}

// lastDeadline returns the latest deadline of the batch's clients.
func lastDeadline(batch []*request) time.Time {
	var last time.Time
	for _, r := range batch {
		if d, ok := r.ctx.Deadline(); ok && d.After(last) {
			last = d
		}
	}
	if last.IsZero() {
		return time.Now().Add(defaultWait)
	}
	return last
}

// defaultWait replaces the deadline if no client of the batch has one.
const defaultWait = 3 * time.Second

// handleRefusal answers a batch that the store did not accept. Requests that are certainly not stored
// and may still be retried are queued again after a delay.
func (in *Intake) handleRefusal(batch []*request, cause error, uncertain bool) {
	if uncertain {
		answerAll(batch, errors.Mark(cause, ErrUnknown))
		return
	}
	var retried []*request
	for _, r := range batch {
		if time.Now().Before(r.retryUntil) && r.ctx.Err() == nil {
			retried = append(retried, r)
			continue
		}
		r.done <- errors.Mark(cause, ErrNotStored)
	}
	if refused := len(batch) - len(retried); refused > 0 {
		in.logger.WithError(cause).WithField("requests", refused).Info("store takes nothing")
	}
	if len(retried) > 0 {
		in.requeueAfterDelay(retried)
	}
}

// requeueAfterDelay queues requests again after a delay; none of them is stored.
func (in *Intake) requeueAfterDelay(batch []*request) {
	in.mu.Lock()
	for _, r := range batch {
		r.inProgress = false
	}
	in.mu.Unlock()
	time.AfterFunc(min(in.refusalDelay(), time.Until(earliestRetryDeadline(batch))), func() { in.requeue(batch) })
}

func (in *Intake) requeue(batch []*request) {
	for _, r := range batch {
		if err := in.enqueue(r); err != nil {
			r.done <- err
		}
	}
}

// dropExpired answers the requests whose clients no longer wait and returns the others.
func dropExpired(batch []*request, uncertain bool) []*request {
	outcome := ErrNotStored
	if uncertain {
		outcome = ErrUnknown
	}
	var remaining []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.done <- errors.Mark(r.ctx.Err(), outcome)
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

func answerAll(batch []*request, err error) {
	for _, r := range batch {
		r.done <- err
	}
}
