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

// Names of the outside systems in a network.
const (
	logName       api.NodeID = "log"
	listName      api.NodeID = "vm-list"
	workersName   api.NodeID = "workers"
	executorsName api.NodeID = "executors"
)

var (
	errCut  = errors.New("no way through the network")
	errDead = errors.New("the process is dead")
)

// network stands between the nodes and all that they talk to. A cut way holds
// what is sent on it until it is healed, as lost packets that are sent again
// are. What a frozen node sends or gets waits until it thaws; its deadlines
// don't end the wait, so that it goes on with what it had decided. Of a dead
// node nothing gets out.
type network struct {
	mu      sync.Mutex
	changed chan struct{} // closed and renewed with each change
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

// change makes a change and wakes all that waits.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) setCut(cut bool, ways ...[2]api.NodeID) {
	n.change(func() {
		for _, way := range ways {
			n.cut[way] = cut
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

// pass waits until something gets from one to the other. done ends the wait,
// unless the sender is frozen.
func (n *network) pass(done <-chan struct{}, from, to api.NodeID) error {
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
				return errCut
			}
		default:
			return nil
		}
	}
}

// call does a call of a node to an outside system. sent is false when nothing
// of it can have got there.
func (n *network) call(ctx context.Context, node, system api.NodeID, do func(ctx context.Context)) (sent bool, err error) {
	if err := n.pass(ctx.Done(), node, system); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.death(ctx, node), cancel)()
	do(ctx)
	return true, n.pass(ctx.Done(), system, node)
}

// death returns a context that ends when node is dead, or with ctx.
func (n *network) death(ctx context.Context, node api.NodeID) context.Context {
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

// outside puts the network between a node and its adapters.
func (n *network) outside(node api.NodeID, o Adapters) Adapters {
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
	sent, cut := l.net.call(ctx, l.node, logName, func(ctx context.Context) { offset, err = l.log.Append(ctx, stream, data) })
	switch {
	case !sent:
		return 0, platform.ErrUnavailable
	case cut != nil:
		return 0, platform.ErrUncertain
	}
	return offset, err
}

func (l netLog) Read(ctx context.Context, stream string, from platform.Offset, max int, wait time.Duration) (batch platform.LogBatch, err error) {
	_, cut := l.net.call(ctx, l.node, logName, func(ctx context.Context) { batch, err = l.log.Read(ctx, stream, from, max, wait) })
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
	if _, cut := l.net.call(ctx, l.node, listName, func(ctx context.Context) { vms, err = l.list.List(ctx, dc) }); cut != nil {
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
	sent, cut := w.net.call(ctx, w.node, workersName, func(ctx context.Context) { report, err = w.worker.Sync(ctx, vm, msg) })
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
	sent, cut := e.net.call(ctx, e.node, executorsName, func(ctx context.Context) {
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

// dialer dials peers of node, which the network knows by their addresses.
func (n *network) dialer(node api.NodeID) peer.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.names[address]
		n.mu.Unlock()
		for _, way := range [][2]api.NodeID{{node, to}, {to, node}} {
			if err := n.pass(ctx.Done(), way[0], way[1]); err != nil {
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

// netConn is a connection of one node to another. What is written on a cut way
// is kept, in order, until it gets through, as the system's buffers do.
type netConn struct {
	net.Conn
	net      *network
	from, to api.NodeID
	once     sync.Once
	closed   chan struct{}
	mu       sync.Mutex
	kept     []byte // written, but held up; while there is some, sendKept runs
}

func (c *netConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if cut := c.net.pass(c.closed, c.to, c.from); cut != nil {
		return 0, cut
	}
	return n, err
}

// through is a done channel that ends a wait at once.
var through = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (c *netConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := c.net.pass(through, c.from, c.to)
	switch {
	case errors.Is(err, errDead):
		return 0, err
	case err == nil && len(c.kept) == 0:
		return c.Conn.Write(b)
	case len(c.kept) == 0:
		go c.sendKept()
	}
	c.kept = append(c.kept, b...)
	return len(b), nil
}

// sendKept sends what was kept once the way is free.
func (c *netConn) sendKept() {
	if c.net.pass(c.closed, c.from, c.to) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Conn.Write(c.kept) // a failure shows in the next call
	c.kept = nil
}

func (c *netConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
