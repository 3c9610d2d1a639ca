package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/operator"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// shutdownGrace is the timeout of each step of a shutdown after the drain.
const shutdownGrace = 2 * time.Second

// rotationInterval is the interval at which the age of request keys is checked.
const rotationInterval = time.Second

// maxHandoverLogAge is the maximum age of the last read of the log while shards are
// released.
const maxHandoverLogAge = 5 * time.Second

// pollInterval is the interval at which the state of streams and requests is checked.
const pollInterval = 50 * time.Millisecond

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("entry: aborted")

// Abort makes Run return immediately without a drain, as if the process had
// crashed: requests in flight are aborted and no shard is released.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborted) })
}

// Run serves until ctx ends and then shuts down gracefully within the drain
// deadline. It returns nil after a graceful shutdown, and otherwise the error of
// the component that failed first.
func (n *Node) Run(ctx context.Context) error {
	n.log.WithFields(logrus.Fields{
		"event": "entry_started", "incarnation": n.origin.Incarnation,
		"callers": n.settings.Listen.Callers, "operators": n.settings.Listen.Operators, "peers": n.settings.Listen.Peers,
	}).Info("entry started")
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.addLoops(work, &g)
	n.addServers(work, &g)
	g.Add(func() error { return n.awaitShutdown(ctx, work) }, func(error) { stopWork() })
	err := g.Run()
	n.handoverClient.Close()
	n.heartbeatClient.Close()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // the loops return this after a graceful shutdown
	}
	n.log.WithField("event", "entry_stopped").Info("entry stopped")
	return err
}

// addLoops adds the loops of every component.
func (n *Node) addLoops(work context.Context, g *run.Group) {
	runFuncs := []func(context.Context) error{
		n.streams.config.Run,
		n.streams.cell.Run,
		n.members.Run,
		n.owner.Run,
		n.watchReadiness,
		n.rotateKeys,
		n.bootstrap,
	}
	runFuncs = append(runFuncs, n.cell.runFuncs()...)
	for _, loop := range runFuncs {
		ctx, cancel := context.WithCancel(work)
		g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
}

// watchReadiness opens the gate for callers once the state is complete, and closes
// it when a stream has a gap.
func (n *Node) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		n.chain.Gate().SetReady(n.streams.ready())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// rotateKeys starts new generations of request keys, so that all entry VMs remove
// the same marks once these are older than the retention.
func (n *Node) rotateKeys(ctx context.Context) error {
	limits := reqkey.DefaultLimits
	rotation := &reqkey.Rotation{
		Interval: n.settings.RequestRetention.Std() / time.Duration(limits.Generations-1),
		Limits:   limits,
	}
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := n.requestKeys.Rotate(ctx, rotation, time.Now()); err != nil {
			n.counters.Inc("request_keys", "rotation_not_applied") // the next check tries again
		}
	}
}

// addServers adds the servers of the three listeners. The callers' server ends
// during the drain and then waits for the rest of the shutdown.
func (n *Node) addServers(work context.Context, g *run.Group) {
	operators := operator.NewServer(n.operatorHandler(), n.settings.Limits)
	g.Add(
		func() error {
			if err := n.front.Serve(n.listeners.callers); err != nil {
				return err
			}
			<-work.Done()
			return nil
		},
		func(error) { n.drainCallers() },
	)
	g.Add(
		func() error { return n.peerServer.Serve(n.listeners.peers) },
		func(error) { n.stopWithGrace(n.peerServer.Shutdown) },
	)
	g.Add(
		func() error { return operators.Serve(n.listeners.operators) },
		func(error) { n.stopWithGrace(operators.Shutdown) },
	)
}

// releaseShards releases the shards that this node holds. It stops once the log
// has not been read for maxHandoverLogAge: without the log no shard can be
// released, and the other members take over after the hold duration.
func (n *Node) releaseShards(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if time.Since(n.streams.cell.ConfirmedAt()) > maxHandoverLogAge {
				cancel(errLogUnreadable)
				return
			}
		}
	}()
	if err := n.owner.Drain(ctx); err != nil {
		return errors.Wrap(context.Cause(ctx), "hand over")
	}
	return nil
}

// errLogUnreadable is the cause of ending a release that can't be journaled.
var errLogUnreadable = errors.New("the log can't be read")

// drainCallers drains the callers' server unless it was drained before.
func (n *Node) drainCallers() {
	if !n.front.Leaving() {
		n.stopWithGrace(n.front.Drain)
	}
}

// stopWithGrace calls stop with the timeout shutdownGrace. The context of an aborted
// node has already ended.
func (n *Node) stopWithGrace(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	select {
	case <-n.aborted:
		cancel()
	default:
	}
	_ = stop(ctx)
}

// awaitShutdown waits until ctx ends and then drains. It returns early if the node
// is aborted or another component fails.
func (n *Node) awaitShutdown(ctx, work context.Context) error {
	select {
	case <-work.Done():
		return work.Err()
	case <-n.aborted:
		return ErrAborted
	case <-ctx.Done():
	}
	deadline, cancel := context.WithTimeout(work, n.settings.DrainDeadline.Std())
	defer cancel()
	go func() {
		select {
		case <-n.aborted:
			cancel()
		case <-deadline.Done():
		}
	}()
	n.log.WithField("event", "drain_started").Info("drain started")
	n.drain(deadline)
	return nil
}

// drain answers the callers and releases the shards at the same time, so that
// other members use the endpoints while the last requests of this node are in
// flight. The node leaves the roster after its last answer. As long as no member
// can take over, it keeps the shards, at most until then.
func (n *Node) drain(ctx context.Context) {
	answered := make(chan struct{})
	released := make(chan bool, 1)
	go func() { released <- n.releaseWhenPossible(ctx, answered) }()
	n.runDrainStep(ctx, "callers", n.front.Drain)
	n.runDrainStep(ctx, "outcomes", n.chain.Close)
	n.callersAnswered.Store(true)
	close(answered)
	if !<-released {
		n.runDrainStep(ctx, "ownership", n.releaseShards)
	}
}

// releaseWhenPossible releases the shards as soon as others can take them over, and
// reports whether it did. It gives up when the callers are answered or ctx ends before.
func (n *Node) releaseWhenPossible(ctx context.Context, answered <-chan struct{}) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !n.canReleaseShards() {
		select {
		case <-ticker.C:
		case <-answered:
			return false
		case <-ctx.Done():
			return false
		}
	}
	n.awaitRequestsDispatched(ctx)
	n.runDrainStep(ctx, "ownership", n.releaseShards)
	return true
}

// canReleaseShards reports whether shards can be released to others: there is another
// member, and the log can be read.
func (n *Node) canReleaseShards() bool {
	roster, _ := n.streams.ownershipState.Roster()
	return len(roster) > 1 && time.Since(n.streams.cell.ConfirmedAt()) < n.settings.Hold.Hold.Std()
}

func (n *Node) runDrainStep(ctx context.Context, name string, do func(context.Context) error) {
	if err := do(ctx); err != nil {
		n.log.WithError(err).WithField("step", name).Warn("drain incomplete")
	}
}

// awaitRequestsDispatched waits until new requests are refused and every request in
// flight has been sent to an endpoint. A request that waits for a slot would not
// get one after the shards are released.
func (n *Node) awaitRequestsDispatched(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		gate := n.chain.Gate()
		if gate.State() == filter.GateDraining && gate.InFlight() <= n.router.InFlight() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
