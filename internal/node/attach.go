package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
)

// Timing of the attachment of a machine to the leader.
const (
	// attachInterval is the time between two attachment calls to the leader.
	attachInterval = time.Second
	// leaderCheckInterval is how often a machine checks that the leader still delivers.
	leaderCheckInterval = 50 * time.Millisecond
	// maxAttachTimeout and minAttachTimeout bound the timeout of an attachment call,
	// which takes a few milliseconds. A leader that has delivered promptly so far
	// gets a shorter timeout.
	maxAttachTimeout = 300 * time.Millisecond
	minAttachTimeout = 150 * time.Millisecond
)

// attach attaches this machine to the leader at intervals, and immediately when
// deliveries are overdue. A leader that doesn't answer the call is suspected.
func (n *Node) attach(ctx context.Context) error {
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	var lastAttach time.Time
	takeover := succession{processors: leadingProcessors(n.settings)}
	for {
		now := time.Now()
		if sinceContact, released := n.elector.SinceContact(now); takeover.due(n.reader.ReceivesDeliveries(now), sinceContact, released) {
			n.replica.KeepContent() // no standby, which could claim immediately, has claimed the cell
		}
		_, released := n.elector.SinceContact(now)
		overdue := n.epoch.Load() == 0 && n.reader.DeliveryOverdue(now) && !released // nobody leads after a release
		if now.Sub(lastAttach) >= attachInterval || overdue || n.attachSoon.Swap(false) {
			n.attachOnce(ctx)
			lastAttach = now
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// attachOnce attaches to the current leader and passes the result to the elector.
func (n *Node) attachOnce(ctx context.Context) {
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return
	}
	// The call is also made while stopping, to report a fitness of 0: this machine
	// answers deliveries until it exits, which would keep its last reported fitness
	// valid.
	ctx, cancel := context.WithTimeout(ctx, min(max(minAttachTimeout, n.reader.DeliveryTimeout()/2), maxAttachTimeout))
	defer cancel()
	attachment := assist.Attachment{
		Node: n.settings.Node, Address: n.settings.PeerAddress, DataCentre: n.settings.DataCentre,
		Fitness: n.fitness(), HasContent: n.replica.HasContent(),
	}
	epoch, err := assist.Attach(ctx, n.caller, current.Address, attachment)
	switch {
	case err != nil:
		n.log.WithError(err).WithField("leader", current.Node).Debug("leader gives no answer")
		n.elector.SuspectLeader(current.Epoch)
	case epoch != current.Epoch:
		n.log.WithFields(logrus.Fields{"leader": current.Node, "epoch": current.Epoch, "answered_epoch": epoch}).Info("process at the leader's address doesn't lead")
		n.elector.LeaderDenied(current.Epoch)
	default:
		n.elector.ClearSuspicion()
	}
}
