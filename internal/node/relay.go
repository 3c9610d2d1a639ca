package node

import (
	"context"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/intake"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
)

// storer returns the component that stores records as the leader, or nil if this
// process doesn't lead.
func (n *Node) storer() assist.Storer {
	if r := n.runner.Load(); r != nil {
		return r
	}
	return nil
}

// maxLeaderAttempts is the number of successive leaders to which records are sent.
const maxLeaderAttempts = 3

// relay sends records to the leader. If the leader is replaced before it has answered,
// the records are sent to the next one. That is safe because a record that is stored
// twice counts once, and a leader that was replaced stores nothing more.
func (n *Node) relay(ctx context.Context, records []platformapi.Record) []error {
	results, epoch := n.sendToLeader(ctx, records)
	for range maxLeaderAttempts - 1 {
		if ctx.Err() != nil || !n.hasNewerLeader(epoch) || !hasUnknownOutcome(results) {
			break
		}
		var later []assist.StoreResult
		later, epoch = n.sendToLeader(ctx, records)
		results = combineResults(results, later)
	}
	leaderActive := n.storer() != nil || n.reader.ReceivesDeliveries(time.Now())
	errs := make([]error, len(results))
	for i, r := range results {
		errs[i] = relayError(r, leaderActive)
	}
	return errs
}

// combineResults returns the results of records that were sent to one leader and then to the next.
// What the former leader may have stored isn't certain to be missing because the next one stores
// nothing. Only a refusal for want of capacity shows that: a leader first reads all that is stored.
func combineResults(former, next []assist.StoreResult) []assist.StoreResult {
	combined := slices.Clone(next)
	for i, f := range former {
		switch {
		case f.Outcome == assist.Stored:
			combined[i] = f
		case f.Outcome == assist.StoreUnknown && next[i].Outcome != assist.Stored && next[i].Outcome != assist.TooBusy:
			combined[i] = f
		}
	}
	return combined
}

// sendToLeader sends records to the current leader. It returns their outcomes and the
// leader's epoch, which is 0 if no leader is known.
func (n *Node) sendToLeader(ctx context.Context, records []platformapi.Record) ([]assist.StoreResult, api.Epoch) {
	if s := n.storer(); s != nil {
		return s.Store(ctx, records), api.Epoch(n.epoch.Load())
	}
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return assist.UniformResults(assist.NotLeader, len(records)), 0
	}
	ctx, cancel := n.withActiveLeader(ctx, current.Epoch)
	defer cancel()
	return assist.Store(ctx, n.caller, current.Address, records), current.Epoch
}

// hasNewerLeader reports whether the leader of an epoch is known to have been replaced.
func (n *Node) hasNewerLeader(epoch api.Epoch) bool {
	return epoch != 0 && n.elector.Current().Epoch > epoch
}

// hasUnknownOutcome reports whether the outcome of any record is unknown.
func hasUnknownOutcome(results []assist.StoreResult) bool {
	return slices.ContainsFunc(results, func(r assist.StoreResult) bool { return r.Outcome == assist.StoreUnknown })
}

// relayError translates a result for the intake. leaderActive states whether the leader
// still leads or delivers.
func relayError(r assist.StoreResult, leaderActive bool) error {
	switch r.Outcome {
	case assist.Stored:
		return nil
	case assist.NotStored:
		if leaderActive {
			return intake.ErrStoreRefused
		}
		return intake.ErrNotStored
	case assist.NotLeader:
		return intake.ErrNoLeader
	case assist.TooBusy:
		return &intake.BusyError{RetryAfter: r.RetryAfter}
	default:
		if leaderActive {
			return intake.ErrInProgress
		}
		return intake.ErrUnknown
	}
}

// withActiveLeader returns a context for a call to the leader of the epoch. It ends
// with ctx, or when that leader has been replaced or no longer delivers, since its
// answer is not worth waiting for then.
func (n *Node) withActiveLeader(ctx context.Context, epoch api.Epoch) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	graceEnd := time.Now().Add(relayGracePeriod)
	var check func()
	check = func() {
		now := time.Now()
		switch {
		case ctx.Err() != nil:
		case n.elector.Current().Epoch == epoch && (now.Before(graceEnd) || n.reader.ReceivesDeliveries(now)):
			time.AfterFunc(leaderCheckInterval, check)
		default:
			cancel()
		}
	}
	time.AfterFunc(leaderCheckInterval, check)
	return ctx, cancel
}

// relayGracePeriod is how long the leader may take to store records before
// withActiveLeader requires that it still delivers.
const relayGracePeriod = 500 * time.Millisecond

// syncPollInterval is how often sync checks whether a delivery has arrived.
const syncPollInterval = 10 * time.Millisecond

// unsyncedTimeout is how long a request waits at a process that is still reading the
// jobs before its client is told to retry. A retry may reach another machine.
const unsyncedTimeout = time.Second

// sync returns when the replica holds everything that the store held when sync was
// called. If the store is unavailable, the leader is asked for the end of the
// partition, and sync waits until the leader's deliveries have reached it.
func (n *Node) sync(ctx context.Context) error {
	if !n.replica.Synced() {
		reading, cancel := context.WithTimeout(ctx, unsyncedTimeout)
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
		return platformapi.ErrUnavailable
	}
	end, err := assist.Sync(ctx, n.caller, current.Address)
	if err != nil {
		return err
	}
	for n.replica.Position() < end {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(syncPollInterval):
		}
	}
	return nil
}
