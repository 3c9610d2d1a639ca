package ownership_test

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/member"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Delays of the fake log, and the interval at which its followers read it.
const (
	appendDelay  = 30 * time.Millisecond
	readDelay    = 5 * time.Millisecond
	pollInterval = 50 * time.Millisecond
)

// testCluster is a data centre in virtual time: a fake log, a network of pipes,
// and entry VMs with the real controllers, heartbeats and peer connections.
type testCluster struct {
	mu            sync.Mutex
	entries       []journal.Entry
	logDown       atomic.Bool             // the log is unavailable
	peersCut      atomic.Bool             // no heartbeat is delivered
	servers       map[string]*peer.Server // by address
	nodes         []*entryVM
	unlistedSince map[api.NodeID]time.Time // when a node was removed from the VM list
	group         sync.WaitGroup
}

// entryVM is one process. It implements the Proposer and Follower of its
// controller.
type entryVM struct {
	cluster    *testCluster
	id         ownership.Identity
	address    string
	machine    *ownership.StateMachine
	controller *ownership.Controller
	service    *member.Service
	server     *peer.Server
	client     *peer.Client
	stop       context.CancelFunc
	inFlight   atomic.Int32

	mu        sync.Mutex
	applied   int
	results   []error
	confirmed time.Time
}

func (n *entryVM) ConfirmedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.confirmed
}

func (n *entryVM) Applied() platform.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return platform.Offset(n.applied)
}

func (n *entryVM) Propose(ctx context.Context, e journal.Entry) error {
	time.Sleep(appendDelay)
	c := n.cluster
	if c.logDown.Load() || ctx.Err() != nil {
		return journal.ErrNotWritten
	}
	c.mu.Lock()
	offset := platform.Offset(len(c.entries))
	c.entries = append(c.entries, e)
	c.mu.Unlock()
	for n.Applied() <= offset {
		if ctx.Err() != nil {
			return journal.ErrUnsettled
		}
		time.Sleep(time.Millisecond)
	}
	return n.results[offset]
}

func (n *entryVM) follow(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(pollInterval) {
		sent := time.Now()
		time.Sleep(readDelay)
		n.cluster.mu.Lock()
		entries := n.cluster.entries
		n.cluster.mu.Unlock()
		if n.cluster.logDown.Load() {
			continue
		}
		n.mu.Lock()
		for ; n.applied < len(entries); n.applied++ {
			n.results = append(n.results, n.machine.Apply(journal.Position{}, entries[n.applied]))
		}
		n.confirmed = sent
		n.mu.Unlock()
	}
}

func (c *testCluster) dial(_ context.Context, addr string) (net.Conn, error) {
	c.mu.Lock()
	server := c.servers[addr]
	c.mu.Unlock()
	if server == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	server.ServeConn(far)
	return near, nil
}

// Call implements member.Caller over a network that can be cut.
func (n *entryVM) Call(ctx context.Context, addr, method string, args, reply any) error {
	if n.cluster.peersCut.Load() {
		return peer.ErrNotSent
	}
	return n.client.Call(ctx, addr, method, args, reply)
}

func init() { logrus.SetOutput(io.Discard) }

// start starts entry VM number i.
func (c *testCluster) start(i int) *entryVM {
	n := &entryVM{cluster: c, machine: ownership.NewStateMachine(), address: fmt.Sprintf("10.0.0.%d:7400", i)}
	n.id = ownership.Identity{Node: api.NodeID(fmt.Sprintf("entry-%02d", i)), Incarnation: api.Incarnation(1<<60 + i)}
	n.server = peer.NewServer(peer.Limits{}, nil)
	n.client = peer.NewClient(peer.Limits{}, c.dial)
	n.service = member.New(member.Config{
		Self: n.id, DataCentre: "bne-1", Address: n.address, Caller: n, Applied: n.Applied,
		Roster:     func() []ownership.Member { r, _ := n.machine.Roster(); return r },
		FreeSlots:  func() []member.ServiceFree { return []member.ServiceFree{{Service: "torquebench", Free: i}} },
		IsDraining: func() bool { return n.controller.Draining() },
		Random:     rand.New(rand.NewPCG(uint64(i), 1)),
	})
	n.controller = ownership.NewController(ownership.Config{
		Self: n.id, Address: n.address, Machine: n.machine, Proposer: n, Follower: n,
		Health: n.service.Health, Unlisted: c.unlisted,
		InFlight: func(ownership.Shard) int { return int(n.inFlight.Load()) },
	})
	n.service.Bind(n.controller)
	if err := n.server.Register(member.ServiceName, n.service.Handler()); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	c.mu.Lock()
	c.servers[n.address] = n.server
	c.mu.Unlock()
	c.group.Go(func() { n.follow(ctx) })
	c.group.Go(func() { n.service.Run(ctx) })
	c.group.Go(func() { n.controller.Run(ctx) })
	c.nodes = append(c.nodes, n)
	return n
}

func (c *testCluster) unlisted(now time.Time) map[api.NodeID]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[api.NodeID]time.Duration)
	for node, since := range c.unlistedSince {
		out[node] = now.Sub(since)
	}
	return out
}

// kill stops a process without a graceful shutdown.
func (c *testCluster) kill(n *entryVM) {
	c.mu.Lock()
	delete(c.servers, n.address)
	c.mu.Unlock()
	n.stop()
	n.client.Close()
	n.server.Close()
}

// countAccess returns the number of shards at each level of access, summed over
// nodes.
func countAccess(nodes []*entryVM) (counts [3]int) {
	for _, n := range nodes {
		for _, s := range ownership.Shards() {
			_, access := n.controller.Authority(s, time.Now())
			counts[access]++
		}
	}
	return counts
}

const allShards = ownership.EndpointShards + 1

// allShardsFull reports whether every shard is in full use: as many times as there are
// shards, a node has full access to one.
func (c *testCluster) allShardsFull() bool {
	return countAccess(c.nodes)[ownership.AccessFull] == allShards
}

// waitFor waits until ok returns true and returns how long that took.
func waitFor(t *testing.T, limit time.Duration, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("condition not met within %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// startCluster starts n entry VMs at the same time and waits until the
// distribution of the shards is stable.
func startCluster(t *testing.T, n int) *testCluster {
	c := &testCluster{servers: make(map[string]*peer.Server), unlistedSince: make(map[api.NodeID]time.Time)}
	for i := range n {
		c.start(i)
	}
	took := waitFor(t, time.Minute, c.allShardsFull)
	t.Logf("%d nodes: every shard was in use %v after the start", n, took)
	time.Sleep(20 * time.Second)
	return c
}

func (c *testCluster) killAll() {
	for _, n := range c.nodes {
		c.kill(n)
	}
	c.group.Wait()
}

// bytesPerSecond returns the traffic on the first node's connections, in both
// directions.
func (c *testCluster) bytesPerSecond() (sum int64) {
	const seconds = 10
	read := func(sign int64) {
		for _, vars := range []*expvar.Map{c.nodes[0].server.Vars(), c.nodes[0].client.Vars()} {
			sum += sign * (vars.Get("bytes_in").(*expvar.Int).Value() + vars.Get("bytes_out").(*expvar.Int).Value())
		}
	}
	read(-1)
	time.Sleep(seconds * time.Second)
	read(+1)
	return sum / seconds
}

// TestTakeoverAfterDeath checks that other members take over the shards of a
// holder that is killed.
func TestTakeoverAfterDeath(t *testing.T) {
	for _, n := range []int{3, 9, 90} {
		if n > 9 && testing.Short() {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, n)
			defer c.killAll()
			t.Logf("%d nodes: %d B/s per node", n, c.bytesPerSecond())
			roster, _ := c.nodes[0].machine.Roster()
			for _, m := range roster {
				if m.Challenged != 0 {
					t.Fatalf("%s was challenged while all members were alive", m.Process.Node)
				}
			}
			c.kill(c.nodes[n-1])
			c.nodes = c.nodes[:n-1]
			took := waitFor(t, 10*time.Second, c.allShardsFull)
			t.Logf("%d nodes: all shards were in use again %v after the death", n, took)
		})
	}
}

const allSlots = 8 * ownership.EndpointShards

// totalSlots returns the sum of the nodes' slot limits over one endpoint of each
// shard.
func totalSlots(nodes []*entryVM) (sum int) {
	seen := make(map[ownership.Shard]bool)
	for i := 0; len(seen) < ownership.EndpointShards; i++ {
		ep := api.Endpoint{ID: api.EndpointID(fmt.Sprint(i)), Slots: 8}
		if seen[ownership.ShardOf(ep.ID)] {
			continue
		}
		seen[ownership.ShardOf(ep.ID)] = true
		for _, n := range nodes {
			limit, _ := n.controller.SlotLimit(ep, time.Now())
			sum += limit
		}
	}
	return sum
}

// TestDrain checks that a planned stop immediately hands over all slots except
// those in flight, and that the leaving member stays until these are free.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 9)
		defer c.killAll()
		leaver, rest := c.nodes[8], c.nodes[:8]
		own := totalSlots([]*entryVM{leaver})
		leaver.inFlight.Store(3)
		left := make(chan error, 1)
		go func() { left <- leaver.controller.Drain(context.Background()) }()
		want := allSlots - own/8*3
		took := waitFor(t, 10*time.Second, func() bool { return totalSlots(rest) == want })
		t.Logf("all free slots were in use %v after the start of the drain", took)
		time.Sleep(2 * time.Second)
		if len(left) != 0 || totalSlots(c.nodes) != want || countAccess([]*entryVM{leaver})[ownership.AccessFull] != 0 {
			t.Fatal("with requests in flight, the leaving member left, kept full access, or the slot limits changed")
		}
		leaver.inFlight.Store(0)
		took = waitFor(t, 10*time.Second, func() bool {
			return totalSlots(rest) == allSlots && countAccess(rest)[ownership.AccessFull] == allShards
		})
		t.Logf("all slots were in use %v after the last request ended", took)
		if err := <-left; err != nil {
			t.Fatal(err)
		}
		for _, n := range rest {
			if _, ok, at := n.controller.CellAuthority(time.Now()); ok && at.IsZero() {
				t.Fatal("the time of the takeover is not known, so the former holder's last lease renewal can't be dated")
			}
		}
	})
}

// TestLogDown checks that holders keep full access while the log is unavailable
// and every peer responds, that they are limited to their floor shares once a
// peer is lost, and that all shards are in use again when the log is back.
func TestLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 9)
		defer c.killAll()
		c.logDown.Store(true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !c.allShardsFull() {
				t.Fatal("a shard is not in full use while the log is unavailable")
			}
		}
		t.Logf("log unavailable: %d B/s per node", c.bytesPerSecond())
		c.kill(c.nodes[8])
		c.nodes = c.nodes[:8]
		took := waitFor(t, 10*time.Second, func() bool { return countAccess(c.nodes)[ownership.AccessFull] == 0 })
		floors := countAccess(c.nodes)[ownership.AccessFloor]
		t.Logf("log unavailable and one node killed: %d shards at their floor share after %v", floors, took)
		c.logDown.Store(false)
		took = waitFor(t, 10*time.Second, c.allShardsFull)
		t.Logf("all shards were in use %v after the log was available again", took)
	})
}

// TestHeartbeatsLost checks that no member loses a shard while all heartbeats are
// lost but every member follows the log.
func TestHeartbeatsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3)
		defer c.killAll()
		before := c.nodes[0].machine.Holder(ownership.Cell)
		c.peersCut.Store(true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if !c.allShardsFull() {
				t.Fatal("a shard is not in full use while the log is available")
			}
		}
		status := c.nodes[0].controller.Status(time.Now())
		if now := c.nodes[0].machine.Holder(ownership.Cell); now.Epoch != before.Epoch || !status.Members[1].Suspected {
			t.Fatalf("epoch of the cell shard: %d, was %d; members: %+v", now.Epoch, before.Epoch, status.Members)
		}
	})
}

// TestReplacement checks that a replacement with a new name gets its share after
// the killed node was removed from the VM list, and that heartbeats report its
// load.
func TestReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 3)
		defer c.killAll()
		c.kill(c.nodes[2])
		c.mu.Lock()
		c.unlistedSince[c.nodes[2].id.Node] = time.Now()
		c.mu.Unlock()
		c.nodes = c.nodes[:2]
		fresh := c.start(3)
		took := waitFor(t, 30*time.Second, func() bool { return countAccess([]*entryVM{fresh})[ownership.AccessFull] > 0 })
		t.Logf("the replacement had its first shards after %v", took)
		waitFor(t, 30*time.Second, c.allShardsFull)
		loads := c.nodes[0].service.Candidates("torquebench")
		if len(loads) != 2 || loads[0].Node != fresh.id.Node || loads[0].Free != 3 {
			t.Fatalf("candidates %+v", loads)
		}
		took = waitFor(t, 10*time.Second, func() bool { return totalSlots(c.nodes) == allSlots })
		t.Logf("the floor shares of the killed node were in use after another %v", took)
	})
}
