package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Nodes of a network that stand for external systems.
const (
	logNode       api.NodeID = "log"
	vmListNode    api.NodeID = "vm-list"
	workersNode   api.NodeID = "workers"
	executorsNode api.NodeID = "executors"
)

var (
	errPartitioned = errors.New("network is partitioned")
	errDead        = errors.New("the process is dead")
)

// network connects the nodes with each other and with external systems. Data that
// is sent over a cut path is delayed until the path is healed, like packets that
// are lost and sent again. Data that a frozen node sends or receives is delayed
// until the end of the freeze. The node's deadlines don't end this delay, so that
// it continues with what it had decided. A dead node can't send anything.
type network struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each change
	names   map[string]api.NodeID
	cut     map[[2]api.NodeID]bool
	frozen  map[api.NodeID]bool
	dead    map[api.NodeID]bool
}

func newNetwork() *network {
	return &network{
		changed: make(chan struct{}), names: map[string]api.NodeID{},
		cut: map[[2]api.NodeID]bool{}, frozen: map[api.NodeID]bool{}, dead: map[api.NodeID]bool{},
	}
}

// change makes a change and wakes all waiters.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) setCut(cut bool, paths ...[2]api.NodeID) {
	n.change(func() {
		for _, path := range paths {
			n.cut[path] = cut
		}
	})
}

func (n *network) setFrozen(node api.NodeID, frozen bool) {
	n.change(func() { n.frozen[node] = frozen })
}

func (n *network) setDead(node api.NodeID) { n.change(func() { n.dead[node] = true }) }

func (n *network) revive(node api.NodeID) { n.change(func() { n.dead[node] = false }) }

// heal ends all cuts and freezes.
func (n *network) heal() {
	n.change(func() {
		clear(n.cut)
		clear(n.frozen)
	})
}

// awaitPath waits until data can be sent from one node to another. done ends the
// wait unless the sender is frozen.
func (n *network) awaitPath(done <-chan struct{}, from, to api.NodeID) error {
	for {
		n.mu.Lock()
		frozen, cut := n.frozen[from], n.cut[[2]api.NodeID{from, to}] || n.frozen[to]
		dead, changed := n.dead[from] || n.dead[to], n.changed
		n.mu.Unlock()
		switch {
		case dead:
			return errDead
		case frozen:
			<-changed
		case cut:
			select {
			case <-changed:
			case <-done:
				return errPartitioned
			}
		default:
			return nil
		}
	}
}

// call makes a call of a node to an external system. sent is false if the call
// certainly did not reach the system.
func (n *network) call(ctx context.Context, node, system api.NodeID, do func(ctx context.Context)) (sent bool, err error) {
	if err := n.awaitPath(ctx.Done(), node, system); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.contextUntilDead(ctx, node), cancel)()
	do(ctx)
	return true, n.awaitPath(ctx.Done(), system, node)
}

// contextUntilDead returns a context that ends with ctx or when node is dead.
func (n *network) contextUntilDead(ctx context.Context, node api.NodeID) context.Context {
	dead, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			n.mu.Lock()
			over, changed := n.dead[node], n.changed
			n.mu.Unlock()
			if over {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return dead
}

// wrap returns adapters that connect a node through the network.
func (n *network) wrap(node api.NodeID, o Adapters) Adapters {
	return Adapters{
		Log: netLog{n, node, o.Log}, VMList: netList{n, node, o.VMList},
		Worker: netWorker{n, node, o.Worker}, Endpoint: netEndpoint{n, node, o.Endpoint}, DialPeer: n.dialer(node),
	}
}

type netLog struct {
	net  *network
	node api.NodeID
	log  platform.Log
}

func (l netLog) Append(ctx context.Context, stream string, data []byte) (offset platform.Offset, err error) {
	sent, cut := l.net.call(ctx, l.node, logNode, func(ctx context.Context) { offset, err = l.log.Append(ctx, stream, data) })
	switch {
	case !sent:
		return 0, platform.ErrUnavailable
	case cut != nil:
		return 0, platform.ErrUncertain
	}
	return offset, err
}

func (l netLog) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (batch platform.LogBatch, err error) {
	_, cut := l.net.call(ctx, l.node, logNode, func(ctx context.Context) { batch, err = l.log.Read(ctx, stream, from, max, wait) })
	if cut != nil {
		return platform.LogBatch{}, platform.ErrUnavailable
	}
	return batch, err
}

type netList struct {
	net  *network
	node api.NodeID
	list platform.VMList
}

func (l netList) List(ctx context.Context, dc api.DataCentre) (vms []api.VM, err error) {
	if _, cut := l.net.call(ctx, l.node, vmListNode, func(ctx context.Context) { vms, err = l.list.List(ctx, dc) }); cut != nil {
		return nil, cut
	}
	return vms, err
}

type netWorker struct {
	net    *network
	node   api.NodeID
	worker platform.Worker
}

func (w netWorker) Sync(ctx context.Context, vm api.VM, msg platform.WorkerSync) (report platform.WorkerReport, err error) {
	sent, cut := w.net.call(ctx, w.node, workersNode, func(ctx context.Context) { report, err = w.worker.Sync(ctx, vm, msg) })
	switch {
	case !sent:
		return platform.WorkerReport{}, platform.ErrWorkerUnreachable
	case cut != nil:
		return platform.WorkerReport{}, platform.ErrWorkerUncertain
	}
	return report, err
}

type netEndpoint struct {
	net  *network
	node api.NodeID
	EndpointClient
}

func (e netEndpoint) Attempt(ctx context.Context, ep api.Endpoint, epoch api.Epoch, req *api.Request, maxAnswer int64) (answer *api.Answer, f platform.Feedback, err error) {
	sent, cut := e.net.call(ctx, e.node, executorsNode, func(ctx context.Context) {
		answer, f, err = e.EndpointClient.Attempt(ctx, ep, epoch, req, maxAnswer)
	})
	failure := &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonAnswerTimeout, Endpoint: ep.ID, Cause: cut}
	if !sent {
		failure.Certainty, failure.Reason = platform.CertainNotRun, api.ReasonConnectFailed
	}
	if cut != nil {
		return nil, platform.Feedback{SlotsBusy: -1}, failure
	}
	return answer, f, err
}

// dialer returns a function that dials peers of node. The network identifies the
// peers by their addresses.
func (n *network) dialer(node api.NodeID) peer.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		n.mu.Unlock()
		for _, path := range [][2]api.NodeID{{node, to}, {to, node}} {
			if err := n.awaitPath(ctx.Done(), path[0], path[1]); err != nil {
				return nil, err
			}
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &netConn{Conn: conn, net: n, from: node, to: to, closed: make(chan struct{})}, nil
	}
}

// netConn is a connection of one node to another. Data that is written to a cut
// path is held, in order, until the path is healed, like in the buffers of an
// operating system.
type netConn struct {
	net.Conn
	net       *network
	from, to  api.NodeID
	once      sync.Once
	closed    chan struct{}
	mu        sync.Mutex
	heldBytes []byte // written, but not yet sent; flushHeld runs while it is not empty
}

func (c *netConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cut := c.net.awaitPath(c.closed, c.to, c.from); cut != nil {
		return 0, cut
	}
	return n, err
}

// closedChannel is a done channel that ends a wait immediately.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (c *netConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.net.awaitPath(closedChannel, c.from, c.to)
	switch {
	case errors.Is(err, errDead):
		return 0, err
	case err == nil && len(c.heldBytes) == 0:
		return c.Conn.Write(b)
	case len(c.heldBytes) == 0:
		go c.flushHeld()
	}
	c.heldBytes = append(c.heldBytes, b...)
	return len(b), nil
}

// flushHeld sends the held data once the path is healed.
func (c *netConn) flushHeld() {
	if c.net.awaitPath(c.closed, c.from, c.to) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.heldBytes) // a failure is returned by the next call
	c.heldBytes = nil
}

func (c *netConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
