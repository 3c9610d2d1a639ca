package node

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/dispatch"
	"github.com/skylarklock/skylarklock/internal/leader"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/platform"
)

// startLeading ends any earlier leadership and hands the won epoch to lead.
func (n *Node) startLeading(epoch api.Epoch) {
	n.stopLeading()
	n.epoch.Store(uint64(epoch))
	select {
	case <-n.wonEpochs: // drops an earlier epoch that lead has not received
	default:
	}
	n.wonEpochs <- epoch
}

// stopLeading ends the leadership of this process.
func (n *Node) stopLeading() {
	n.epoch.Store(0)
	if cancel := n.cancelLead.Swap(nil); cancel != nil {
		(*cancel)()
	}
}

// lead schedules the cell whenever this process is elected, until ctx ends.
func (n *Node) lead(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case epoch := <-n.wonEpochs:
			n.leadEpoch(ctx, epoch)
		}
	}
}

// leadEpoch runs the dispatcher in the given epoch until leadership ends.
func (n *Node) leadEpoch(ctx context.Context, epoch api.Epoch) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.cancelLead.Store(&cancel)
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
		Speeds:             platformapi.Partition{Topic: topicSpeeds, Number: cellNumber, Keyed: true},
		Decode:             platform.DecodeExecutor,
		Executors:          executors,
		Replica:            n.replica,
		Reader:             n.reader,
		Peers:              n.peers,
		Caller:             n.caller,
		BulkCaller:         n.bulkCaller,
		LocalDataCentre:    n.settings.DataCentre,
		LinkBytesPerSecond: n.settings.LinkBytesPerSecond,
		LinkFull:           n.linkFull.Load,
		Configuration:      n.currentConfig,
		CanRenewLeases:     n.elector.MayRenewLeases,
		OnFenced:           n.elector.Wake,
		CutOff:             n.cutOff,
		LastRenewal:        n.elector.LastRenewal,
		OnHigherEpoch:      n.handleHigherEpoch,
		LastAppendDuration: n.elector.LastAppendDuration(),
		MaxRecordBytes:     n.settings.MaxRecordBytes,
		JobCounters:        n.jobCounters,
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

// maxClaimLag is the replica lag above which a machine may not claim leadership, as if
// it had read nothing. A machine that follows the store or the leader lags by 1 s at
// most.
const maxClaimLag = 10 * time.Second

// suitability rates this machine as a leader in comparison with the known machines.
func (n *Node) suitability() leader.Suitability {
	if !n.replica.Synced() || !n.replica.HasContent() || n.replica.Lag(time.Now()) > maxClaimLag {
		return leader.Unsynced
	}
	if n.configWatcher.Configuration() == nil { // the queues' attempts, services and latency targets are unknown
		return leader.Unsynced
	}
	return leader.AssessSuitability(leadingProcessors(n.settings), n.peers.MaxFitness(time.Now()))
}

// fitness returns the number of processors with which this machine could lead now,
// or 0 if it can't lead.
func (n *Node) fitness() float64 {
	if n.draining.Load() || n.store.Down() || !n.replica.Synced() || n.configWatcher.Configuration() == nil {
		return 0
	}
	if n.settings.Processors == 0 {
		return defaultProcessors
	}
	return leadingProcessors(n.settings)
}

// linkBytesPerProcessor is what a leader sends a second for each processor that it uses.
const linkBytesPerProcessor = 4e6

// leadingProcessors returns the number of processors that a machine could use as leader, which its link
// may limit; 0: unknown. A leader with a full link refuses jobs, whatever its processors.
func leadingProcessors(s *platform.Settings) float64 {
	if s.LinkBytesPerSecond <= 0 {
		return s.Processors
	}
	return min(s.Processors, s.LinkBytesPerSecond/linkBytesPerProcessor)
}

// defaultProcessors is the fitness of a machine whose settings don't state its
// processors. With 0 the machine would count as unable to lead, and no machine would
// be a standby.
const defaultProcessors = 1

// inviteTimeout bounds an invitation. Other machines learn of the step-down from the
// store in about the same time.
const inviteTimeout = 300 * time.Millisecond

// inviteSuccessor asks the fittest standby to succeed this process, which has stepped down.
func (n *Node) inviteSuccessor(i leader.Invitation) {
	successor := n.peers.Successor(time.Now())
	if successor.Address == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inviteTimeout)
		defer cancel()
		if err := assist.Invite(ctx, n.caller, successor.Address, i); err != nil {
			n.log.WithError(err).WithField("machine", successor.Node).Info("successor not invited; it reads that this process has stepped down")
		}
	}()
}

// handleHigherEpoch ends leadership because another machine knows of a higher epoch.
func (n *Node) handleHigherEpoch(epoch api.Epoch) {
	n.log.WithField("higher_epoch", epoch).Warn("another machine has heard of a later leader")
	n.elector.Wake()
	n.stopLeading()
}
