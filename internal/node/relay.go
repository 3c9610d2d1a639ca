package node

import (
	"context"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/intake"
	product "github.com/skylarklock/skylarklock/internal/platform"
)

// storer returns who stores records as the leader; nil unless this process
// leads.
func (n *Node) storer() assist.Storer {
	if r := n.runner.Load(); r != nil {
		return r
	}
	return nil
}

// mostLeaders is to how many leaders, one after the other, records are handed.
const mostLeaders = 3

// relay hands records to the leader. If another one takes the cell before it has
// answered, they are handed to that one: a record that is stored twice counts once, and a
// leader that was replaced stores nothing more.
func (n *Node) relay(ctx context.Context, records []product.Record) []error {
	results, epoch := n.handOver(ctx, records)
	for range mostLeaders - 1 {
		if ctx.Err() != nil || !n.replaced(epoch) || !unanswered(results) {
			break
		}
		results, epoch = n.handOver(ctx, records)
	}
	lives := n.storer() != nil || n.reader.ReceivesDeliveries(time.Now())
	errs := make([]error, len(results))
	for i, r := range results {
		errs[i] = relayError(r, lives)
	}
	return errs
}

// handOver hands records to the leader that is known now, and returns what became of them
// and the leader's epoch; 0: there is none.
func (n *Node) handOver(ctx context.Context, records []product.Record) ([]assist.StoreResult, api.Epoch) {
	if s := n.storer(); s != nil {
		return s.Store(ctx, records), api.Epoch(n.epoch.Load())
	}
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return assist.UniformResults(assist.NotLeader, len(records)), 0
	}
	ctx, cancel := n.whileLeads(ctx, current.Epoch)
	defer cancel()
	return assist.Store(ctx, n.caller, current.Address, records), current.Epoch
}

// replaced reports whether a leader is known that came after that of an epoch.
func (n *Node) replaced(epoch api.Epoch) bool {
	return epoch != 0 && n.elector.Current().Epoch > epoch
}

// unanswered reports whether it isn't known what became of the records.
func unanswered(results []assist.StoreResult) bool {
	return slices.ContainsFunc(results, func(r assist.StoreResult) bool { return r.Outcome == assist.StoreUnknown })
}

// relayError returns what a result means to the intake, where the leader still
// lives or not.
func relayError(r assist.StoreResult, lives bool) error {
	switch r.Outcome {
	case assist.Stored:
		return nil
	case assist.NotStored:
		if lives {
			return intake.ErrStoreRefused
		}
		return intake.ErrNotStored
	case assist.NotLeader:
		return intake.ErrNoLeader
	case assist.TooBusy:
		return &intake.BusyError{RetryAfter: r.RetryAfter}
	default:
		if lives {
			return intake.ErrInProgress
		}
		return intake.ErrUnknown
	}
}

// whileLeads returns a context that ends with ctx or when the leader of the
// epoch was replaced or delivers nothing any more: a call to it is worth
// waiting for until then.
func (n *Node) whileLeads(ctx context.Context, epoch api.Epoch) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	patient := time.Now().Add(relayPatience)
	var look func()
	look = func() {
		now := time.Now()
		switch {
		case ctx.Err() != nil:
		case n.elector.Current().Epoch == epoch && (now.Before(patient) || n.reader.ReceivesDeliveries(now)):
			time.AfterFunc(tieLook, look)
		default:
			cancel()
		}
	}
	time.AfterFunc(tieLook, look)
	return ctx, cancel
}

// relayPatience is how long the leader may take with records before it is
// looked whether it still delivers.
const relayPatience = 500 * time.Millisecond

// syncLook is how often it is looked whether a delivery has come.
const syncLook = 10 * time.Millisecond

// unreadPatience is for how long a request waits at a process that still reads the
// jobs, before its client is told to come back: retries reach other machines.
const unreadPatience = time.Second

// sync returns when the replica holds everything that the store held when it
// was called. Without a store the leader is asked, which delivers it.
func (n *Node) sync(ctx context.Context) error {
	if !n.replica.Synced() {
		reading, cancel := context.WithTimeout(ctx, unreadPatience)
		defer cancel()
		return n.reader.Sync(reading)
	}
	if !n.store.Down() {
		if err := n.reader.Sync(ctx); err == nil {
			return nil
		}
	}
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return product.ErrUnavailable
	}
	end, err := assist.Sync(ctx, n.caller, current.Address)
	if err != nil {
		return err
	}
	for n.replica.Position() < end {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(syncLook):
		}
	}
	return nil
}
