// Package node assembles the process of one machine on the users' platform. The
// process serves clients, follows the store, takes part in the election of the
// cell's leader, schedules the cell when elected, and assists the leader otherwise.
package node

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/dispatch"
	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/jobapi"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/plan"
	platformapi "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/storehealth"
	"github.com/skylarklock/skylarklock/internal/traffic"
	"github.com/skylarklock/skylarklock/platform"
)

// cellNumber is the cell that this process belongs to.
const cellNumber = 0

// Topics of the store that the system reserves for itself. The number of a
// partition is that of its cell.
const (
	topicJobs   = "jobs"   // keyed: submissions, cancellations, progress
	topicLeader = "leader" // claims and renewals of leadership
	topicSpeeds = "speeds" // keyed: speeds of the executors
)

// Node is the process of one machine.
type Node struct {
	settings       *platform.Settings
	self           leader.Leader // without an epoch
	log            *logrus.Entry
	traffic        *traffic.Account
	clientLimiter  *clientlimit.Limiter
	jobCounters    *expvar.Map // of the times in which this process led
	store          *storehealth.Log
	configWatcher  *queue.Watcher
	replica        *replica.Replica
	reader         *replica.Reader
	intake         *intake.Intake
	elector        *leader.Elector
	peers          *assist.Peers
	caller         assist.Caller
	bulkCaller     assist.Caller // for the content of records, on separate connections
	adviser        platformapi.Adviser
	relayExecutors *platform.ExecutorClient // for the leader's orders that this machine relays
	wonEpochs      chan api.Epoch           // won in the election, to be led by lead
	epoch          atomic.Uint64            // epoch in which this process leads; 0: it doesn't lead
	cancelLead     atomic.Pointer[context.CancelFunc]
	runner         atomic.Pointer[dispatch.Runner] // nil unless this process leads
	draining       atomic.Bool
	linkFull       atomic.Bool // the load of the link exceeds maxLinkLoad
	leaderCutOff   atomic.Bool // the leader's newest delivery reported that it is cut off
	attachSoon     atomic.Bool // this machine has news for the leader
	shutdown       shutdown
}

// New returns a node that has not opened any listener or connection yet.
func New(s *platform.Settings, log *logrus.Entry) *Node {
	account := &traffic.Account{}
	n := &Node{
		settings:       s,
		log:            log,
		traffic:        account,
		clientLimiter:  clientlimit.New(clientlimit.ForMachine(s.MemoryBytes, s.FileDescriptors), log.WithField("server", traffic.Clients)),
		jobCounters:    new(expvar.Map).Init(),
		store:          storehealth.Watch(platform.NewStoreClient(s.StoreAddress, account)),
		caller:         newCaller(account),
		bulkCaller:     newCaller(account),
		relayExecutors: platform.NewExecutorClient(account),
		wonEpochs:      make(chan api.Epoch, 1),
		shutdown:       shutdown{gracePeriod: s.Grace},
	}
	if s.AdviceAddress != "" {
		n.adviser = platform.NewAdviceClient(s.AdviceAddress, account)
	}
	jobs := platformapi.Partition{Topic: topicJobs, Number: cellNumber, Keyed: true}
	n.configWatcher = &queue.Watcher{
		Log:       n.store,
		Partition: platform.OperatorPartition,
		Key:       platform.ConfigurationKey,
		Decode:    platform.DecodeConfiguration,
		AskPeers:  n.askForConfiguration,
		Logger:    log,
	}
	n.replica = replica.New(2*s.JobStateRetention, log)
	n.reader = &replica.Reader{
		Replica:   n.replica,
		Log:       n.store,
		Partition: jobs,
		Timing:    replica.DefaultTiming(),
		Leads:     func() bool { return n.epoch.Load() != 0 },
	}
	n.reader.FetchStates, n.reader.StoreReadDelay = n.fetchStates, storeReadDelay(leadingProcessors(s))
	n.intake = intake.New(intake.DefaultConfig(), n.store, jobs, n.relay, n.store.Down, n.replica.HasRequest, log)
	n.intake.SetLeaderEpoch(func() uint64 { return uint64(n.elector.Current().Epoch) })
	n.peers = assist.NewPeers(s.Node, n.adviser, n.caller)
	n.self = leader.Leader{Node: s.Node, Incarnation: api.Incarnation(rand.Uint64() | 1), Address: s.PeerAddress}
	n.elector = leader.New(leader.Config{
		// Separate connections, so that a renewal never waits for a read of jobs.
		Log:         n.store.WithClient(platform.NewStoreClient(s.StoreAddress, account)),
		Partition:   platformapi.Partition{Topic: topicLeader, Number: cellNumber},
		Self:        n.self,
		Timing:      leader.DefaultTiming(),
		Logger:      log,
		Suitability: n.suitability,
		OnElected:   n.startLeading,
		OnLost:      n.stopLeading,
		OnReleased:  n.inviteSuccessor,
	})
	return n
}

// newCaller returns a client for calls to other machines. Its bytes are counted in
// account.
func newCaller(account *traffic.Account) *peer.Client {
	c := peer.NewClient(peerLimits(), nil)
	c.CountTraffic(account)
	return c
}

// Run serves until ctx ends and then shuts down gracefully. The group's actors
// are interrupted in the order in which they were added. The servers come first,
// because they need the loops to answer requests that have been read.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"front": n.settings.FrontAddress, "store": n.settings.StoreAddress}).Info("process started")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	n.addServers(&g)
	loops := []func(context.Context) error{
		n.configWatcher.Run, n.reader.Run, n.intake.Run, n.elector.Run, n.lead, n.attach, n.reportTraffic, n.monitorLinkLoad,
	}
	for _, loop := range loops {
		g.Add(func() error { return loop(work) }, func(error) { stop() })
	}
	g.Add(func() error { return n.awaitShutdown(ctx, work) }, func(error) { stop() })
	err := g.Run()
	n.log.WithField("after_ms", time.Since(n.shutdown.start()).Milliseconds()).Info("process stopped")
	return err
}

// currentConfig returns the configuration in force, or an empty one if none has been
// read yet.
func (n *Node) currentConfig() *queue.Configuration {
	if c := n.configWatcher.Configuration(); c != nil {
		return c
	}
	return &queue.Configuration{}
}

// planConfig returns the planner's defaults, adjusted to the settings of this machine.
func (n *Node) planConfig() plan.Config {
	cfg := plan.DefaultConfig()
	cfg.Lease = min(cfg.Lease, n.settings.MaxLease)
	cfg.MaxLease = n.settings.MaxLease
	cfg.DrainMargin = min(cfg.DrainMargin, n.settings.DrainDelay/4)
	cfg.FormerLeaderRenewal = leader.DefaultTiming().LeaseRenewalWindow
	cfg.MaxExecutorsPerCall = platform.MaxAdvisedExecutors
	cfg.Overload = n.settings.Overload
	if n.settings.RemoteFactor > 0 {
		cfg.RemoteFactor = n.settings.RemoteFactor
	}
	return cfg
}

// handler returns the HTTP handler of clients' requests.
func (n *Node) handler() http.Handler {
	return &jobapi.API{
		Codec: jobapi.Codec{
			Remaining:     platform.RemainingTime,
			DecodeJob:     platform.DecodeSubmission,
			EncodeState:   platform.EncodeState,
			EncodePending: platform.EncodePending,
			EncodeError:   platform.EncodeError,
			WorkspaceKey:  platform.WorkspaceKey,
		},
		RequireKeys:    n.settings.RequireKeys,
		KeysOutdated:   n.keysOutdated,
		CurrentConfig:  n.configWatcher.Configuration,
		Replica:        n.replica,
		Sync:           n.sync,
		Store:          n.intake,
		CutOff:         n.cutOff,
		Leaving:        n.draining.Load,
		MaxRecordBytes: n.settings.MaxRecordBytes,
		Logger:         n.log,
	}
}
