package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Errors of a Relay while the leader is active. A direct append would only queue behind the leader's
// append.
var (
	// ErrStoreRefused says that the store currently accepts no appends from the leader; the record is not
	// stored.
	ErrStoreRefused = errors.New("intake: the store accepts nothing from the leader")
	// ErrInProgress says that the leader's append has no answer yet and will be repeated until it has.
	ErrInProgress = errors.New("intake: the leader's append is in progress")
)

// Relay passes records to the current leader, which stores them together with its own, and returns
// the result for each: nil, ErrNotStored, ErrUnknown, ErrNoLeader, ErrStoreRefused, ErrInProgress or a
// *BusyError.
type Relay func(ctx context.Context, records []platform.Record) []error

// storeViaLeader passes a batch to the leader, waits at most until the last deadline of its clients,
// and answers the requests that have a final result. It returns those that the leader can't settle.
func (in *Intake) storeViaLeader(batch []*request) []*request {
	if len(batch) == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), lastDeadline(batch))
	defer cancel()
	var refused, remaining []*request
	for i, err := range in.relay(ctx, recordsOf(batch)) {
		var busy *BusyError
		switch r := batch[i]; {
		case errors.As(err, &busy) && r.appended: // what the leader doesn't know may still be stored
			go in.awaitOutcome(r)
		case err == nil, errors.As(err, &busy):
			r.done <- err
		case errors.Is(err, ErrStoreRefused):
			refused = append(refused, r)
		case errors.Is(err, ErrInProgress):
			r.uncertain = true
			go in.awaitOutcome(r)
		default:
			r.uncertain = r.uncertain || errors.Is(err, ErrUnknown)
			remaining = append(remaining, r)
		}
	}
	if len(refused) > 0 {
		in.handleRefusal(refused, ErrStoreRefused)
	}
	return remaining
}

// awaitOutcome waits for the outcome of a request that may be stored. It answers the request once the
// record is known to be stored. If another leader is known before, the request is passed to it: that leader
// knows all that the former one has stored.
func (in *Intake) awaitOutcome(r *request) {
	poll := time.NewTicker(in.cfg.DeliveryPollInterval)
	defer poll.Stop()
	timeout := time.NewTimer(in.cfg.DeliveryPollTimeout)
	defer timeout.Stop()
	for !in.isDelivered(r.record.Key) {
		select {
		case <-poll.C:
			if in.currentEpoch() > r.epoch {
				in.requeue([]*request{r})
				return
			}
		case <-timeout.C:
			r.done <- errors.Mark(ErrInProgress, ErrUnknown)
			return
		case <-r.ctx.Done():
			r.done <- errors.Mark(r.ctx.Err(), ErrUnknown)
			return
		}
	}
	r.done <- nil
}
