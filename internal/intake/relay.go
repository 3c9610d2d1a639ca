package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// Outcomes of a Relay while the leader lives: an append made from here would
// only queue behind the leader's.
var (
	// ErrStoreRefused: the store takes nothing from the leader at the moment; the
	// record is not stored.
	ErrStoreRefused = errors.New("intake: the store takes nothing from the leader")
	// ErrInProgress: the leader's append has no answer yet and will be repeated
	// until it has.
	ErrInProgress = errors.New("intake: the leader's append is under way")
)

// Relay hands records to whoever leads the cell, which stores them with its
// own. It returns what became of each: nil, ErrNotStored, ErrUnknown,
// ErrNoLeader, ErrRefused, ErrUnderWay or a *BusyError.
type Relay func(ctx context.Context, records []platform.Record) []error

// viaLeader hands a batch to the leader, waits as long as one of its clients
// does, and answers the requests that it has settled. It returns the others,
// and whether some of these may be stored.
func (in *Intake) viaLeader(batch []*request) (uncertain bool, left []*request) {
	ctx, cancel := context.WithDeadline(context.Background(), lastDeadline(batch))
	defer cancel()
	var refused []*request
	for i, err := range in.relay(ctx, recordsOf(batch)) {
		var busy *BusyError
		switch r := batch[i]; {
		case err == nil, errors.As(err, &busy):
			r.done <- err
		case errors.Is(err, ErrStoreRefused):
			refused = append(refused, r)
		case errors.Is(err, ErrInProgress):
			go in.awaitDelivery(r)
		default:
			uncertain = uncertain || errors.Is(err, ErrUnknown)
			left = append(left, r)
		}
	}
	if len(refused) > 0 {
		in.giveUp(refused, ErrStoreRefused, false)
	}
	return uncertain, left
}

// awaitDelivery answers a request whose record the leader is storing, as soon
// as the record is known to be stored.
func (in *Intake) awaitDelivery(r *request) {
	look := time.NewTicker(in.cfg.DeliveryPollInterval)
	defer look.Stop()
	end := time.NewTimer(in.cfg.DeliveryPollTimeout)
	defer end.Stop()
	for !in.delivered(r.record.Key) {
		select {
		case <-look.C:
		case <-end.C:
			r.done <- errors.Mark(ErrInProgress, ErrUnknown)
			return
		case <-r.ctx.Done():
			r.done <- errors.Mark(r.ctx.Err(), ErrUnknown)
			return
		}
	}
	r.done <- nil
}
