package intake

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/platform"
)

// storeDownCheckInterval is the time between two checks of a waiting batch whether the store is down.
const storeDownCheckInterval = 50 * time.Millisecond

// acquireDirectSlot waits until the batch may be appended directly and returns the requests that still
// wait. It returns false if the store is down.
func (in *Intake) acquireDirectSlot(batch []*request, uncertain bool) ([]*request, bool) {
	check := time.NewTicker(storeDownCheckInterval)
	defer check.Stop()
	for !in.storeDown() {
		select {
		case in.directSlots <- struct{}{}:
			if !uncertain {
				batch = in.refuseHopeless(batch)
			}
			return batch, true
		case <-check.C:
			in.refuseHopelessPending()
			if !uncertain {
				batch = in.refuseHopeless(batch)
			}
		}
	}
	return batch, false
}

// appendDirectly appends a batch. It repeats the append while the outcome is uncertain and some of the
// requests have time left.
func (in *Intake) appendDirectly(batch []*request, uncertain bool) {
	for len(batch) > 0 {
		err := in.append(batch)
		in.recordRefusal(errors.Is(err, platform.ErrUnavailable))
		if err == nil {
			answerAll(batch, nil)
			return
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if !uncertain || in.storeDown() {
			in.handleRefusal(batch, err, uncertain)
			return
		}
		if batch = dropExpired(batch, uncertain); len(batch) > 0 {
			time.Sleep(in.cfg.RetryDelay)
		}
	}
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
