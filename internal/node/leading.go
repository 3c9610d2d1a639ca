package node

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/dispatch"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/platform"
)

// gained begins to lead.
func (n *Node) gained(epoch api.Epoch) {
	n.lost()
	n.epoch.Store(uint64(epoch))
	select {
	case <-n.leading: // a claim that was not taken up
	default:
	}
	n.leading <- epoch
}

// lost ends leading.
func (n *Node) lost() {
	n.epoch.Store(0)
	if cancel := n.stopLead.Swap(nil); cancel != nil {
		(*cancel)()
	}
}

// lead runs the cell whenever this process is elected.
func (n *Node) lead(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case epoch := <-n.leading:
			n.leadAs(ctx, epoch)
		}
	}
}

func (n *Node) leadAs(ctx context.Context, epoch api.Epoch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.stopLead.Store(&cancel)
	if n.epoch.Load() != uint64(epoch) {
		return
	}
	executors := platform.NewExecutorClient(n.traffic)
	defer executors.Close()
	self := n.self
	self.Epoch = epoch
	runner := dispatch.New(dispatch.Config{
		Plan:               n.planConfig(),
		Self:               self,
		Log:                n.store,
		Jobs:               n.reader.Partition,
		Registry:           platform.ExecutorPartition,
		Decode:             platform.DecodeExecutor,
		Executors:          executors,
		Replica:            n.replica,
		Reader:             n.reader,
		Peers:              n.helpers,
		Caller:             n.caller,
		BulkCaller:         n.bulk,
		LocalDataCentre:    n.settings.DataCentre,
		LinkBytesPerSecond: n.settings.LinkBytesPerSecond,
		LinkFull:           n.linkFull.Load,
		Configuration:      n.table,
		CanRenewLeases:     n.elector.MayRenewLeases,
		OnFenced:           n.elector.Wake,
		CutOff:             n.cutOff,
		LastRenewal:        n.elector.LastRenewal,
		OnHigherEpoch:      n.heardOf,
		LastAppendDuration: n.elector.LastAppendDuration(),
		Logger:             n.log.WithField("epoch", epoch),
	})
	n.runner.Store(runner)
	err := runner.Run(ctx)
	n.runner.Store(nil)
	n.log.WithError(err).WithField("epoch", epoch).Info("this process no longer plans for the cell")
	if ctx.Err() == nil && n.epoch.Load() == uint64(epoch) {
		n.elector.Resign()
	}
}

// farBehind is for how long a machine may have missed what was written before it
// counts as one that has read nothing. A machine that follows the store or the leader
// is behind for 1 s at most.
const farBehind = 10 * time.Second

// standing compares this machine with those that are known, as a leader.
func (n *Node) standing() leader.Suitability {
	if !n.replica.Synced() || !n.replica.HasContent() || n.replica.Lag(time.Now()) > farBehind {
		return leader.Unsynced
	}
	if n.watch.Configuration() == nil { // nothing is known of the queues: how often to try, where, how late
		return leader.Unsynced
	}
	return leader.AssessSuitability(n.settings.Processors, n.helpers.MaxFitness(time.Now()))
}

// fitness returns the processors with which this machine could lead now.
func (n *Node) fitness() float64 {
	if n.draining.Load() || n.store.Down() || !n.replica.Synced() || n.watch.Configuration() == nil {
		return 0
	}
	if n.settings.Processors == 0 {
		return processorsNotTold
	}
	return n.settings.Processors
}

// processorsNotTold stands in for processors that the settings don't tell: 0 would
// say that the machine couldn't lead, and no machine would be a standby.
const processorsNotTold = 1

// inviteTimeout bounds an invitation: others find out by reading within about as long.
const inviteTimeout = 300 * time.Millisecond

// invite asks the fittest standby to follow this process, which has stepped down.
func (n *Node) invite(i leader.Invitation) {
	to := n.helpers.Successor(time.Now())
	if to.Address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inviteTimeout)
		defer cancel()
		if err := assist.Invite(ctx, n.caller, to.Address, i); err != nil {
			n.log.WithError(err).WithField("machine", to.Node).Info("successor not invited; it reads that this process has stepped down")
		}
	}()
}

// heardOf ends leading when another machine has heard of a higher epoch.
func (n *Node) heardOf(epoch api.Epoch) {
	n.log.WithField("higher_epoch", epoch).Warn("another machine has heard of a later leader")
	n.elector.Wake()
	n.lost()
}
