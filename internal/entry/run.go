package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/operator"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// stopGrace bounds the parts of a shutdown that come after the drain.
const stopGrace = 2 * time.Second

// rotationInterval is the time between two looks at the age of request keys.
const rotationInterval = time.Second

// handOverPatience is how old the last reading of the log may be in a
// hand-over.
const handOverPatience = 5 * time.Second

// readinessInterval is the time between two looks at the streams' state.
const readinessInterval = 50 * time.Millisecond

// ErrAborted is returned by Run after Abort.
var ErrAborted = errors.New("entry: aborted")

// Abort makes Run end at once, without a drain: requests in flight are cut off
// and nothing is handed over, as when the process dies.
func (n *Node) Abort() {
	n.abortOnce.Do(func() { close(n.aborted) })
}

// Run serves until ctx ends, then shuts down gracefully within the drain
// deadline. It returns nil after a graceful shutdown, and otherwise the error
// of the part that failed first.
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
	n.handovers.Close()
	n.heartbeats.Close()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		err = nil // loops end so after a graceful shutdown
	}
	n.log.WithField("event", "entry_stopped").Info("entry stopped")
	return err
}

// addLoops adds every controller.
func (n *Node) addLoops(work context.Context, g *run.Group) {
	loops := []func(context.Context) error{
		n.streams.config.Run,
		n.streams.cell.Run,
		n.members.Run,
		n.owner.Run,
		n.watchReadiness,
		n.rotateKeys,
		n.bootstrap,
	}
	loops = append(loops, n.cell.loops()...)
	for _, loop := range loops {
		ctx, cancel := context.WithCancel(work)
		g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
}

// watchReadiness opens the gate to callers once the state is complete, and
// closes it when a stream has a gap.
func (n *Node) watchReadiness(ctx context.Context) error {
	ticker := time.NewTicker(readinessInterval)
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

// rotateKeys starts new generations of request keys, so that marks older than
// the retention are forgotten by all entry VMs alike.
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
		if err := n.keys.Rotate(ctx, rotation, time.Now()); err != nil {
			n.counters.Inc("request_keys", "rotation_not_applied") // the next look tries again
		}
	}
}

// addServers adds the three listeners. The callers' server ends with the drain
// and then waits for the rest of the shutdown.
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
		func(error) { n.stopCallers() },
	)
	g.Add(
		func() error { return n.peerServer.Serve(n.listeners.peers) },
		func(error) { n.stopWithin(n.peerServer.Shutdown) },
	)
	g.Add(
		func() error { return operators.Serve(n.listeners.operators) },
		func(error) { n.stopWithin(operators.Shutdown) },
	)
}

// handOver releases what this node holds. It gives up once the log has not
// been read for a while: without it nothing can be handed over, and the others
// take over after the hold time.
func (n *Node) handOver(ctx context.Context) error {
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	watch := time.NewTicker(readinessInterval)
	defer watch.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-watch.C:
			}
			if time.Since(n.streams.cell.ConfirmedAt()) > handOverPatience {
				giveUp(errLogUnread)
				return
			}
		}
	}()
	if err := n.owner.Drain(ctx); err != nil {
		return errors.Wrap(context.Cause(ctx), "hand over")
	}
	return nil
}

// errLogUnread ends a hand-over that can't be journaled.
var errLogUnread = errors.New("the log can't be read")

// stopCallers drains the callers' server, unless that was done.
func (n *Node) stopCallers() {
	if !n.front.Leaving() {
		n.stopWithin(n.front.Drain)
	}
}

// stopWithin calls stop, which gets the grace for what is still open. An
// aborted node has none.
func (n *Node) stopWithin(stop func(context.Context) error) {
	ctx, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	select {
	case <-n.aborted:
		cancel()
	default:
	}
	_ = stop(ctx)
}

// awaitShutdown waits until ctx ends and drains.
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

// drain answers the callers and meanwhile hands the shards over, so that
// others use the endpoints while the last requests here are in flight. The
// node leaves the roster after its last answer. When nobody can take over, the
// shards are kept until then.
func (n *Node) drain(ctx context.Context) {
	leave := sync.OnceFunc(func() {
		n.awaitUnqueued(ctx)
		n.drainStep(ctx, "ownership", n.handOver)
	})
	if n.canHandOver() {
		go leave()
	}
	n.drainStep(ctx, "callers", n.front.Drain)
	n.drainStep(ctx, "outcomes", n.chain.Close)
	n.answered.Store(true)
	leave()
}

// canHandOver reports whether there is another member, and the log that a
// hand-over goes through.
func (n *Node) canHandOver() bool {
	roster, _ := n.streams.owners.Roster()
	return len(roster) > 1 && time.Since(n.streams.cell.ConfirmedAt()) < n.settings.Hold.Hold.Std()
}

func (n *Node) drainStep(ctx context.Context, name string, do func(context.Context) error) {
	if err := do(ctx); err != nil {
		n.log.WithError(err).WithField("step", name).Warn("drain incomplete")
	}
}

// awaitUnqueued waits until nothing new is taken on and every request in
// flight is at an endpoint: one that waits for a slot would find none after
// the hand-over.
func (n *Node) awaitUnqueued(ctx context.Context) {
	look := time.NewTicker(readinessInterval)
	defer look.Stop()
	for {
		gate := n.chain.Gate()
		if gate.State() == filter.GateDraining && gate.InFlight() <= n.router.InFlight() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		}
	}
}
