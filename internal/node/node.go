// Package node puts together the process of one machine on the users'
// platform: it answers clients, follows the store, takes part in the election
// of the cell's leader, leads when elected, and helps the leader otherwise.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/dispatch"
	"github.com/skylarklock/skylarklock/internal/intake"
	"github.com/skylarklock/skylarklock/internal/jobapi"
	"github.com/skylarklock/skylarklock/internal/leader"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/plan"
	product "github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/storehealth"
	"github.com/skylarklock/skylarklock/internal/traffic"
	"github.com/skylarklock/skylarklock/platform"
)

// cellNumber is the cell that this process belongs to.
const cellNumber = 0

// Topics of the store that the system keeps for itself. The number of a
// partition is that of its cell.
const (
	topicJobs   = "jobs"   // keyed: submissions, cancels, progress
	topicLeader = "leader" // claims and renewals of leadership
)

// Node is one process.
type Node struct {
	settings  *platform.Settings
	self      leader.Leader // without an epoch
	log       *logrus.Entry
	traffic   *traffic.Account
	store     *storehealth.Log
	watch     *queue.Watcher
	replica   *replica.Replica
	reader    *replica.Reader
	intake    *intake.Intake
	elector   *leader.Elector
	helpers   *assist.Peers
	caller    assist.Caller
	bulk      assist.Caller // content of records, on connections of its own
	adviser   product.Adviser
	executors *platform.ExecutorClient // for orders of the leader that go by this machine
	leading   chan api.Epoch
	epoch     atomic.Uint64 // that this process leads; 0: none
	stopLead  atomic.Pointer[context.CancelFunc]
	runner    atomic.Pointer[dispatch.Runner] // while this process leads
	draining  atomic.Bool
	linkFull  atomic.Bool // little more can be sent without delay
	leaderCut atomic.Bool // the leader's newest delivery said that it is cut off
	shutdown  shutdown
}

// New returns a process that has opened nothing yet.
func New(s *platform.Settings, log *logrus.Entry) *Node {
	account := &traffic.Account{}
	n := &Node{
		settings:  s,
		log:       log,
		traffic:   account,
		store:     storehealth.Watch(platform.NewStoreClient(s.StoreAddress, account)),
		caller:    newCaller(account),
		bulk:      newCaller(account),
		executors: platform.NewExecutorClient(account),
		leading:   make(chan api.Epoch, 1),
		shutdown:  shutdown{grace: s.Grace},
	}
	if s.AdviceAddress != "" {
		n.adviser = platform.NewAdviceClient(s.AdviceAddress, account)
	}
	jobs := product.Partition{Topic: topicJobs, Number: cellNumber, Keyed: true}
	n.watch = &queue.Watcher{
		Log:       n.store,
		Partition: platform.OperatorPartition,
		Key:       platform.ConfigurationKey,
		Decode:    platform.DecodeConfiguration,
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
	n.intake = intake.New(intake.DefaultConfig(), n.store, jobs, n.relay, n.store.Down, n.replica.HasRequest, log)
	n.helpers = assist.NewPeers(s.Node, n.adviser, n.caller)
	n.self = leader.Leader{Node: s.Node, Incarnation: api.Incarnation(rand.Uint64() | 1), Address: s.PeerAddress}
	n.elector = leader.New(leader.Config{
		// On connections of its own: a renewal never waits for a read of jobs.
		Log:         n.store.WithClient(platform.NewStoreClient(s.StoreAddress, account)),
		Partition:   product.Partition{Topic: topicLeader, Number: cellNumber},
		Self:        n.self,
		Timing:      leader.DefaultTiming(),
		Logger:      log,
		Suitability: n.standing,
		OnElected:   n.gained,
		OnLost:      n.lost,
		OnReleased:  n.invite,
	})
	return n
}

// newCaller returns a client of other machines whose bytes count in account.
func newCaller(account *traffic.Account) *peer.Client {
	c := peer.NewClient(peerLimits(), nil)
	c.CountTraffic(account)
	return c
}

// Run serves until ctx ends and then shuts down gracefully. The group's actors
// are interrupted in the order in which they were added, the servers first: a
// request that was read is answered by what the loops do.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"front": n.settings.FrontAddress, "store": n.settings.StoreAddress}).Info("process started")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	n.addServers(&g)
	loops := []func(context.Context) error{
		n.watch.Run, n.reader.Run, n.intake.Run, n.elector.Run, n.lead, n.attach, n.reportTraffic, n.watchLoad,
	}
	for _, loop := range loops {
		g.Add(func() error { return loop(work) }, func(error) { stop() })
	}
	g.Add(func() error { return n.awaitShutdown(ctx, work) }, func(error) { stop() })
	err := g.Run()
	n.log.WithField("after_ms", time.Since(n.shutdown.begin()).Milliseconds()).Info("process stopped")
	return err
}

// table returns the configuration in force, or an empty one before the first.
func (n *Node) table() *queue.Configuration {
	if t := n.watch.Configuration(); t != nil {
		return t
	}
	return &queue.Configuration{}
}

func (n *Node) planConfig() plan.Config {
	cfg := plan.DefaultConfig()
	cfg.Lease = min(cfg.Lease, n.settings.MaxLease)
	cfg.MaxLease = n.settings.MaxLease
	cfg.DrainMargin = min(cfg.DrainMargin, n.settings.DrainDelay/4)
	cfg.FormerLeaderRenewal = leader.DefaultTiming().LeaseRenewalWindow
	cfg.MaxExecutorsPerCall = platform.MaxAdvisedExecutors
	if n.settings.RemoteFactor > 0 {
		cfg.RemoteFactor = n.settings.RemoteFactor
	}
	return cfg
}

// api returns the handler of clients' requests.
func (n *Node) api() http.Handler {
	return &jobapi.API{
		Codec: jobapi.Codec{
			Remaining:     platform.RemainingTime,
			DecodeJob:     platform.DecodeSubmission,
			EncodeState:   platform.EncodeState,
			EncodePending: platform.EncodePending,
			EncodeError:   platform.EncodeError,
		},
		CurrentConfig: n.watch.Configuration,
		Replica:       n.replica,
		Sync:          n.sync,
		Store:         n.intake,
		CutOff:        n.cutOff,
		Leaving:       n.draining.Load,
		Logger:        n.log,
	}
}
