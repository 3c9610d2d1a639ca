package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// storeDownCheckInterval is the time between two checks of a waiting batch whether the store is down.
const storeDownCheckInterval = 50 * time.Millisecond

// slotResult is the reason why a batch no longer waits for a direct append.
type slotResult int

const (
	slotAcquired slotResult = iota
	storeIsDown
	newerLeader // a leader is known that the batch was not passed to
)

// acquireDirectSlot waits until the batch, which was passed to the leader of an epoch, may be appended
// directly and returns the requests that still wait. Otherwise a batch would wait behind an append to a
// slow store for as long as its clients do, although a new leader could store it.
func (in *Intake) acquireDirectSlot(batch []*request, epoch uint64) ([]*request, slotResult) {
	check := time.NewTicker(storeDownCheckInterval)
	defer check.Stop()
	for !in.storeDown() {
		select {
		case in.directSlots <- struct{}{}:
			return in.refuseHopeless(batch), slotAcquired
		case <-check.C:
			in.refuseHopelessPending()
			batch = in.refuseHopeless(batch)
			if in.currentEpoch() > epoch {
				return batch, newerLeader
			}
		}
	}
	return batch, storeIsDown
}

// appendDirectly appends a batch, which was passed to the leader of an epoch. It repeats the append while
// the outcome is uncertain and some of the requests have time left.
func (in *Intake) appendDirectly(batch []*request, epoch uint64) {
	for len(batch) > 0 {
		err := in.append(batch)
		in.recordRefusal(errors.Is(err, platform.ErrUnavailable))
		if err == nil {
			answerAll(batch, nil)
			return
		}
		if errors.Is(err, platform.ErrUncertain) {
			markUncertain(batch)
			for _, r := range batch {
				r.appended = true
			}
		}
		if in.storeDown() {
			in.handleRefusal(batch, err)
			return
		}
		certain, uncertain := split(batch)
		in.handleRefusal(certain, err)
		if batch = dropExpired(uncertain); len(batch) == 0 {
			return
		}
		if in.currentEpoch() > epoch {
			in.requeue(batch)
			return
		}
		time.Sleep(in.cfg.RetryDelay)
	}
}

// split separates the requests for which nothing was sent that could still be stored from the others.
func split(batch []*request) (certain, uncertain []*request) {
	for _, r := range batch {
		if r.uncertain {
			uncertain = append(uncertain, r)
		} else {
			certain = append(certain, r)
		}
	}
	return certain, uncertain
}

// append appends a batch once. The time for the answer doubles after an append that got none, up to
// MaxAppendTimeout: a store with a long queue would otherwise be sent each batch again while it works on
// it.
func (in *Intake) append(batch []*request) error {
	timeout := in.appendPace.start(in.cfg.AppendTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := in.log.Append(ctx, platform.Append{Partition: in.partition, Records: recordsOf(batch)})
	in.appendPace.end(ctx.Err() != nil, in.cfg.MaxAppendTimeout)
	return err
}

func recordsOf(batch []*request) []platform.Record {
	records := make([]platform.Record, len(batch))
	for i, r := range batch {
		records[i] = r.record
	}
	return records
}
