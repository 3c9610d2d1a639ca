package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/assist"
)

// Timing of the ties between a machine and the leader.
const (
	// attachEvery is the time between two offers of help to the leader.
	attachEvery = time.Second
	// tieLook is how often a machine looks whether the leader still delivers.
	tieLook = 50 * time.Millisecond
	// attachTimeout bounds an offer, which takes a few milliseconds, and attachLeast
	// that to a leader that was quick so far.
	attachTimeout = 300 * time.Millisecond
	attachLeast   = 150 * time.Millisecond
)

// attach offers this machine's help to the leader now and then, and at once
// when nothing comes from it any more. A leader that doesn't answer then is
// suspected.
func (n *Node) attach(ctx context.Context) error {
	ticker := time.NewTicker(tieLook)
	defer ticker.Stop()
	var offered time.Time
	alone := succession{processors: n.settings.Processors}
	for {
		now := time.Now()
		if silence, released := n.elector.SinceContact(now); alone.due(n.reader.ReceivesDeliveries(now), silence, released) {
			n.replica.KeepContent() // nobody has claimed the cell who could have at once
		}
		if now.Sub(offered) >= attachEvery || (n.epoch.Load() == 0 && n.reader.DeliveryOverdue(now)) {
			n.attachOnce(ctx)
			offered = now
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) attachOnce(ctx context.Context) {
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return
	}
	// A machine that stops tells so by its fitness: it answers deliveries up
	// to its end, which would keep its last offer to lead valid.
	ctx, cancel := context.WithTimeout(ctx, min(max(attachLeast, n.reader.DeliveryTimeout()/2), attachTimeout))
	defer cancel()
	offer := assist.Attachment{
		Node: n.settings.Node, Address: n.settings.PeerAddress, DataCentre: n.settings.DataCentre,
		Fitness: n.fitness(), HasContent: n.replica.HasContent(),
	}
	epoch, err := assist.Attach(ctx, n.caller, current.Address, offer)
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
