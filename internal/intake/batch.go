package intake

import (
	"time"

	"github.com/cockroachdb/errors"
)

// storeBatch makes the leader store a batch. What the leader can't store, or what may or may not be stored,
// is appended directly, unless another leader is known by then: a record that is stored twice counts once.
func (in *Intake) storeBatch(batch []*request) {
	epoch := in.currentEpoch()
	for _, r := range batch {
		r.epoch = epoch
	}
	batch = in.storeViaLeader(dropExpired(batch))
	if len(batch) == 0 {
		return
	}
	in.releaseUnsent(batch) // nothing is sent until a slot is free
	batch, slot := in.acquireDirectSlot(batch, epoch)
	switch slot {
	case newerLeader:
		in.requeue(in.resume(batch))
	case storeIsDown:
		in.handleRefusal(batch, errors.New("the store has been silent for a while"))
	case slotAcquired:
		defer func() { <-in.directSlots }()
		in.appendDirectly(dropExpired(in.resume(batch)), epoch)
	}
}

// releaseUnsent records that the requests of a batch for which nothing was sent may be withdrawn.
func (in *Intake) releaseUnsent(batch []*request) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, r := range batch {
		r.inProgress = r.uncertain
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

// handleRefusal handles a batch that was not accepted. Requests that are certainly not stored and may still
// be retried are queued again after a delay. For those that may be stored, the outcome is awaited.
func (in *Intake) handleRefusal(batch []*request, cause error) {
	var retried, resent []*request
	refused := 0
	for _, r := range batch {
		switch {
		case r.uncertain && errors.Is(cause, ErrStoreRefused) && r.ctx.Err() == nil:
			resent = append(resent, r) // a new leader accepts nothing until it has taken over
		case r.uncertain:
			go in.awaitOutcome(r)
		case time.Now().Before(r.retryUntil) && r.ctx.Err() == nil:
			retried = append(retried, r)
		default:
			refused++
			r.done <- errors.Mark(cause, ErrNotStored)
		}
	}
	if refused > 0 {
		in.logger.WithError(cause).WithField("requests", refused).Info("store takes nothing")
	}
	if len(retried) > 0 {
		in.requeueAfterDelay(retried)
	}
	if len(resent) > 0 {
		time.AfterFunc(in.refusalDelay(), func() { in.requeue(resent) })
	}
}

// requeueAfterDelay queues requests again after a delay; none of them is stored.
func (in *Intake) requeueAfterDelay(batch []*request) {
	in.releaseUnsent(batch)
	time.AfterFunc(min(in.refusalDelay(), time.Until(earliestRetryDeadline(batch))), func() { in.requeue(batch) })
}

// requeue queues requests again at once.
func (in *Intake) requeue(batch []*request) {
	in.releaseUnsent(batch)
	for _, r := range batch {
		if err := in.enqueue(r); err != nil {
			r.fail(err)
		}
	}
}

// dropExpired answers the requests whose clients no longer wait and returns the others.
func dropExpired(batch []*request) []*request {
	var remaining []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			r.fail(r.ctx.Err())
			continue
		}
		remaining = append(remaining, r)
	}
	return remaining
}

// fail answers a request that is not stored as far as this machine knows. The answer says so only if
// nothing was sent that could still be stored.
func (r *request) fail(cause error) {
	if r.uncertain {
		r.done <- errors.Wrap(ErrUnknown, cause.Error()) // the cause may be marked as ErrNotStored
		return
	}
	r.done <- errors.Mark(cause, ErrNotStored)
}

// markUncertain records that the requests of a batch may be stored now or later.
func markUncertain(batch []*request) {
	for _, r := range batch {
		r.uncertain = true
	}
}

func answerAll(batch []*request, err error) {
	for _, r := range batch {
		r.done <- err
	}
}
