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
	settings *platform.Settings
	self     leader.Leader // without an epoch
	log      *logrus.Entry
	store    *storehealth.Log
	watch    *queue.Watch
	replica  *replica.Replica
	reader   *replica.Reader
	intake   *intake.Intake
	elector  *leader.Elector
	helpers  *assist.Helpers
	caller   *peer.Client
	adviser  product.Adviser
	leading  chan api.Epoch
	epoch    atomic.Uint64 // that this process leads; 0: none
	stopLead atomic.Pointer[context.CancelFunc]
	runner   atomic.Pointer[dispatch.Runner] // while this process leads
	draining atomic.Bool
}

// New returns a process that has opened nothing yet.
func New(s *platform.Settings, log *logrus.Entry) *Node {
	n := &Node{
		settings: s,
		log:      log,
		store:    storehealth.Watch(platform.NewStore(s.Store)),
		caller:   peer.NewClient(peerLimits(), nil),
		leading:  make(chan api.Epoch, 1),
	}
	if s.Advice != "" {
		n.adviser = platform.NewAdvice(s.Advice)
	}
	jobs := product.Partition{Topic: topicJobs, Number: cellNumber, Keyed: true}
	n.watch = &queue.Watch{
		Log:       n.store,
		Partition: platform.OperatorRecords,
		Key:       platform.ConfigurationKey,
		Decode:    platform.DecodeConfiguration,
		Events:    log,
	}
	n.replica = replica.New(2*s.StateKept, log)
	n.reader = &replica.Reader{
		Replica:   n.replica,
		Log:       n.store,
		Partition: jobs,
		Timing:    replica.DefaultTiming(),
		Leads:     func() bool { return n.epoch.Load() != 0 },
	}
	n.intake = intake.New(intake.DefaultConfig(), n.store, jobs, n.relay, n.store.Down, n.replica.Holds, log)
	n.helpers = assist.NewHelpers(s.Node, n.adviser, n.caller)
	n.self = leader.Leader{Node: s.Node, Incarnation: api.Incarnation(rand.Uint64() | 1), Address: s.Peer}
	n.elector = leader.New(leader.Config{
		Log:       n.store,
		Partition: product.Partition{Topic: topicLeader, Number: cellNumber},
		Self:      n.self,
		Timing:    leader.DefaultTiming(),
		Events:    log,
		Standing:  n.standing,
		Gained:    n.gained,
		Lost:      n.lost,
	})
	return n
}

// Run serves until ctx ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{"front": n.settings.Front, "store": n.settings.Store}).Info("process started")
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g run.Group
	loops := []func(context.Context) error{
		n.watch.Run, n.reader.Run, n.intake.Run, n.elector.Run, n.lead, n.attach,
	}
	for _, loop := range loops {
		loopCtx, cancel := context.WithCancel(work)
		g.Add(func() error { return loop(loopCtx) }, func(error) { cancel() })
	}
	n.addServers(&g)
	g.Add(func() error { return n.awaitShutdown(ctx, work) }, func(error) { stop() })
	err := g.Run()
	n.log.Info("process stopped")
	return err
}

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
	executors := platform.NewExecutors()
	defer executors.Close()
	self := n.self
	self.Epoch = epoch
	runner := dispatch.New(dispatch.Config{
		Plan:      n.planConfig(),
		Self:      self,
		Log:       n.store,
		Jobs:      n.reader.Partition,
		Registry:  platform.ExecutorRecords,
		Decode:    platform.DecodeExecutor,
		Executors: executors,
		Replica:   n.replica,
		Reader:    n.reader,
		Helpers:   n.helpers,
		Caller:    n.caller,
		Table:     n.table,
		MayRenew:  n.elector.MayRenewLeases,
		Replaced:  n.elector.Replaced,
		Renewed:   n.elector.Confirmed,
		HeardOf:   n.heardOf,
		Events:    n.log.WithField("epoch", epoch),
	})
	n.runner.Store(runner)
	err := runner.Run(ctx)
	n.runner.Store(nil)
	n.log.WithError(err).WithField("epoch", epoch).Info("this process no longer plans for the cell")
}

// standing compares this machine with those that are known, as a leader.
func (n *Node) standing() leader.Standing {
	if !n.replica.Synced() {
		return leader.Unread
	}
	return leader.Compare(n.settings.Processors, n.helpers.Fittest(time.Now()))
}

// fitness returns the processors with which this machine could lead now.
func (n *Node) fitness() float64 {
	if n.draining.Load() || n.store.Down() || !n.replica.Synced() {
		return 0
	}
	return n.settings.Processors
}

// heardOf ends leading when another machine has heard of a higher epoch.
func (n *Node) heardOf(epoch api.Epoch) {
	n.log.WithField("higher_epoch", epoch).Warn("another machine has heard of a later leader")
	n.elector.Replaced()
	n.lost()
}

// storer returns who stores records as the leader; nil unless this process
// leads.
func (n *Node) storer() assist.Storer {
	if r := n.runner.Load(); r != nil {
		return r
	}
	return nil
}

// relay hands records to the leader.
func (n *Node) relay(ctx context.Context, records []product.Record) []error {
	results := assist.Same(assist.NotLeader, len(records))
	if s := n.storer(); s != nil {
		results = s.Store(ctx, records)
	} else if current := n.elector.Current(); current.Epoch != 0 && current.Address != n.settings.Peer {
		ctx, cancel := n.whileLeads(ctx, current.Epoch)
		defer cancel()
		results = assist.Store(ctx, n.caller, current.Address, records)
	}
	lives := n.storer() != nil || n.reader.IsFed(time.Now())
	errs := make([]error, len(results))
	for i, r := range results {
		errs[i] = relayError(r, lives)
	}
	return errs
}

// relayError returns what a result means to the intake, where the leader still
// lives or not.
func relayError(r assist.StoreResult, lives bool) error {
	switch r.Outcome {
	case assist.Stored:
		return nil
	case assist.NotStored:
		if lives {
			return intake.ErrRefused
		}
		return intake.ErrNotStored
	case assist.NotLeader:
		return intake.ErrNoLeader
	case assist.TooBusy:
		return &intake.BusyError{RetryAfter: r.RetryAfter}
	default:
		if lives {
			return intake.ErrUnderWay
		}
		return intake.ErrUnknown
	}
}

// whileLeads returns a context that ends with ctx or when the leader of the
// epoch was replaced or delivers nothing any more: a call to it is worth
// waiting for until then.
func (n *Node) whileLeads(ctx context.Context, epoch api.Epoch) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var look func()
	look = func() {
		switch {
		case ctx.Err() != nil:
		case n.elector.Current().Epoch == epoch && n.reader.IsFed(time.Now()):
			time.AfterFunc(tieLook, look)
		default:
			cancel()
		}
	}
	time.AfterFunc(relayPatience, look)
	return ctx, cancel
}

// relayPatience is how long the leader may take with records before it is
// looked whether it still delivers.
const relayPatience = 500 * time.Millisecond

// table returns the configuration in force, or an empty one before the first.
func (n *Node) table() *queue.Table {
	if t := n.watch.Table(); t != nil {
		return t
	}
	return &queue.Table{}
}

func (n *Node) planConfig() plan.Config {
	cfg := plan.DefaultConfig()
	cfg.Lease = min(cfg.Lease, n.settings.LongestLease)
	cfg.DrainMargin = min(cfg.DrainMargin, n.settings.DrainAfter/4)
	cfg.Inherited = leader.DefaultTiming().LeaseRenewal
	cfg.MostAdvised = platform.MostAdvised
	if n.settings.RemoteFactor > 0 {
		cfg.RemoteFactor = n.settings.RemoteFactor
	}
	return cfg
}

// api returns the handler of clients' requests.
func (n *Node) api() http.Handler {
	return &jobapi.API{
		Forms: jobapi.Forms{
			Remaining:     platform.Remaining,
			DecodeJob:     platform.DecodeSubmission,
			EncodeState:   platform.EncodeState,
			EncodePending: platform.EncodePending,
			EncodeError:   platform.EncodeError,
		},
		Table:   n.watch.Table,
		Replica: n.replica,
		Sync:    n.sync,
		Store:   n.intake,
		Events:  n.log,
	}
}

// syncLook is how often it is looked whether a delivery has come.
const syncLook = 10 * time.Millisecond

// sync returns when the replica holds everything that the store held when it
// was called. Without a store the leader is asked, which delivers it.
func (n *Node) sync(ctx context.Context) error {
	if !n.store.Down() {
		if err := n.reader.Sync(ctx); err == nil {
			return nil
		}
	}
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.Peer {
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

// Timing of the ties between a machine and the leader.
const (
	// attachEvery is the time between two offers of help to the leader.
	attachEvery = time.Second
	// tieLook is how often a machine looks whether the leader still delivers.
	tieLook = 100 * time.Millisecond
	// attachTimeout bounds an offer; it takes a few milliseconds.
	attachTimeout = 300 * time.Millisecond
)

// attach offers this machine's help to the leader now and then, and at once
// when nothing comes from it any more. A leader that doesn't answer then is
// suspected.
func (n *Node) attach(ctx context.Context) error {
	ticker := time.NewTicker(tieLook)
	defer ticker.Stop()
	var offered time.Time
	for {
		now := time.Now()
		if now.Sub(offered) >= attachEvery || !n.reader.IsFed(now) {
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
	if current.Epoch == 0 || current.Address == n.settings.Peer || n.draining.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	offer := assist.Attachment{Node: n.settings.Node, Address: n.settings.Peer, Fitness: n.fitness()}
	epoch, err := assist.Attach(ctx, n.caller, current.Address, offer)
	switch {
	case err != nil:
		n.log.WithError(err).WithField("leader", current.Node).Debug("leader gives no answer")
		n.elector.Suspect(current.Epoch)
	case epoch != current.Epoch:
		n.log.WithFields(logrus.Fields{"leader": current.Node, "epoch": current.Epoch, "answered_epoch": epoch}).Info("process at the leader's address doesn't lead")
		n.elector.Abandoned(current.Epoch)
	default:
		n.elector.Trust()
	}
}
