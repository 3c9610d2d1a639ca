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

// Delays of the fake log and network.
const (
	appendDelay = 30 * time.Millisecond
	readDelay   = 5 * time.Millisecond
	pollEvery   = 50 * time.Millisecond
)

// world is a data centre in virtual time: a log, a network of pipes and
// entry VMs with the real controllers, heartbeats and peer connections.
type world struct {
	mu      sync.Mutex
	entries []journal.Entry
	down    atomic.Bool             // the log
	cut     atomic.Bool             // no heartbeat arrives
	servers map[string]*peer.Server // by address
	nodes   []*entryVM
	gone    map[api.NodeID]time.Time // dropped from the VM list
	group   sync.WaitGroup
}

// entryVM is one process. It is the Proposer and Follower of its controller.
type entryVM struct {
	world      *world
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
	w := n.world
	if w.down.Load() || ctx.Err() != nil {
		return journal.ErrNotWritten
	}
	w.mu.Lock()
	place := platform.Offset(len(w.entries))
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	for n.Applied() <= place {
		if ctx.Err() != nil {
			return journal.ErrUnsettled
		}
		time.Sleep(time.Millisecond)
	}
	return n.results[place]
}

func (n *entryVM) follow(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(pollEvery) {
		sent := time.Now()
		time.Sleep(readDelay)
		n.world.mu.Lock()
		entries := n.world.entries
		n.world.mu.Unlock()
		if n.world.down.Load() {
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

func (w *world) dial(_ context.Context, addr string) (net.Conn, error) {
	w.mu.Lock()
	server := w.servers[addr]
	w.mu.Unlock()
	if server == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	server.ServeConn(far)
	return near, nil
}

// Call implements member.Caller over a network that can be cut.
func (n *entryVM) Call(ctx context.Context, addr, method string, args, reply any) error {
	if n.world.cut.Load() {
		return peer.ErrNotSent
	}
	return n.client.Call(ctx, addr, method, args, reply)
}

func init() { logrus.SetOutput(io.Discard) }

// boot starts one entry VM.
func (w *world) boot(i int) *entryVM {
	n := &entryVM{world: w, machine: ownership.NewStateMachine(), address: fmt.Sprintf("10.0.0.%d:7400", i)}
	n.id = ownership.Identity{Node: api.NodeID(fmt.Sprintf("entry-%02d", i)), Incarnation: api.Incarnation(1<<60 + i)}
	n.server = peer.NewServer(peer.Limits{}, nil)
	n.client = peer.NewClient(peer.Limits{}, w.dial)
	n.service = member.New(member.Config{
		Self: n.id, DataCentre: "bne-1", Address: n.address, Caller: n, Applied: n.Applied,
		Roster:     func() []ownership.Member { r, _ := n.machine.Roster(); return r },
		FreeSlots:  func() []member.ServiceFree { return []member.ServiceFree{{Service: "torquebench", Free: i}} },
		IsDraining: func() bool { return n.controller.Draining() },
		Random:     rand.New(rand.NewPCG(uint64(i), 1)),
	})
	n.controller = ownership.NewController(ownership.Config{
		Self: n.id, Address: n.address, Machine: n.machine, Proposer: n, Follower: n,
		Health: n.service.Health, Unlisted: w.unlisted,
		InFlight: func(ownership.Shard) int { return int(n.inFlight.Load()) },
	})
	n.service.Bind(n.controller)
	if err := n.server.Register(member.ServiceName, n.service.Handler()); err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	w.mu.Lock()
	w.servers[n.address] = n.server
	w.mu.Unlock()
	w.group.Go(func() { n.follow(ctx) })
	w.group.Go(func() { n.service.Run(ctx) })
	w.group.Go(func() { n.controller.Run(ctx) })
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) unlisted(now time.Time) map[api.NodeID]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[api.NodeID]time.Duration)
	for node, since := range w.gone {
		out[node] = now.Sub(since)
	}
	return out
}

// kill ends a process without a word.
func (w *world) kill(n *entryVM) {
	w.mu.Lock()
	delete(w.servers, n.address)
	w.mu.Unlock()
	n.stop()
	n.client.Close()
	n.server.Close()
}

// count returns how many shards are in each state, over nodes.
func count(nodes []*entryVM) (states [3]int) {
	for _, n := range nodes {
		for _, s := range ownership.Shards() {
			_, state := n.controller.Authority(s, time.Now())
			states[state]++
		}
	}
	return states
}

const allShards = ownership.EndpointShards + 1

// whole reports whether every shard is in full use.
func (w *world) whole() bool { return count(w.nodes)[ownership.AccessFull] == allShards }

// until returns how long it takes until ok.
func until(t *testing.T, limit time.Duration, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			t.Fatalf("not within %v", limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// grow boots n entry VMs at once and waits until the shards have settled.
func grow(t *testing.T, n int) *world {
	w := &world{servers: make(map[string]*peer.Server), gone: make(map[api.NodeID]time.Time)}
	for i := range n {
		w.boot(i)
	}
	took := until(t, time.Minute, w.whole)
	t.Logf("%d nodes: every shard in use %v after the start", n, took)
	time.Sleep(20 * time.Second)
	return w
}

func (w *world) end() {
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.group.Wait()
}

// rate returns the bytes a second on the first node's connections, both ways.
func (w *world) rate() (sum int64) {
	const seconds = 10
	read := func(sign int64) {
		for _, vars := range []*expvar.Map{w.nodes[0].server.Vars(), w.nodes[0].client.Vars()} {
			sum += sign * (vars.Get("bytes_in").(*expvar.Int).Value() + vars.Get("bytes_out").(*expvar.Int).Value())
		}
	}
	read(-1)
	time.Sleep(seconds * time.Second)
	read(+1)
	return sum / seconds
}

// A holder dies without a word: its shards are decided on again by others.
func TestTakeoverAfterDeath(t *testing.T) {
	for _, n := range []int{3, 9, 90} {
		if n > 9 && testing.Short() {
			continue
		}
		synctest.Test(t, func(t *testing.T) {
			w := grow(t, n)
			defer w.end()
			t.Logf("%d nodes: %d B/s a node", n, w.rate())
			roster, _ := w.nodes[0].machine.Roster()
			for _, m := range roster {
				if m.Challenged != 0 {
					t.Fatalf("%s challenged while all were alive", m.Process.Node)
				}
			}
			w.kill(w.nodes[n-1])
			w.nodes = w.nodes[:n-1]
			took := until(t, 10*time.Second, w.whole)
			t.Logf("%d nodes: all shards in use again %v after the death", n, took)
		})
	}
}

const allSlots = 8 * ownership.EndpointShards

// slots returns the sum of the limits over one endpoint of each shard.
func slots(nodes []*entryVM) (sum int) {
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

// A planned stop hands over at once all slots but those in flight, and the
// leaver stays until these have ended.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := grow(t, 9)
		defer w.end()
		leaver, rest := w.nodes[8], w.nodes[:8]
		own := slots([]*entryVM{leaver})
		leaver.inFlight.Store(3)
		left := make(chan error, 1)
		go func() { left <- leaver.controller.Drain(context.Background()) }()
		want := allSlots - own/8*3
		took := until(t, 10*time.Second, func() bool { return slots(rest) == want })
		t.Logf("all free slots in use %v after the start of the drain", took)
		time.Sleep(2 * time.Second)
		if len(left) != 0 || slots(w.nodes) != want || count([]*entryVM{leaver})[ownership.AccessFull] != 0 {
			t.Fatal("left, or used more, with requests in flight")
		}
		leaver.inFlight.Store(0)
		took = until(t, 10*time.Second, func() bool { return slots(rest) == allSlots && count(rest)[ownership.AccessFull] == allShards })
		t.Logf("all slots in use %v after the last request ended", took)
		if err := <-left; err != nil {
			t.Fatal(err)
		}
		for _, n := range rest {
			if _, ok, at := n.controller.CellAuthority(time.Now()); ok && at.IsZero() {
				t.Fatal("the former holder's last renewal can't be dated")
			}
		}
	})
}

// The log is down: with every peer there, holders go on; with one silent,
// they keep their floors; when it is back, all is as before.
func TestLogDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := grow(t, 9)
		defer w.end()
		w.down.Store(true)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !w.whole() {
				t.Fatal("a shard is unused while the log is down")
			}
		}
		t.Logf("log down: %d B/s a node", w.rate())
		w.kill(w.nodes[8])
		w.nodes = w.nodes[:8]
		took := until(t, 10*time.Second, func() bool { return count(w.nodes)[ownership.AccessFull] == 0 })
		floors := count(w.nodes)[ownership.AccessFloor]
		t.Logf("log down and one dead: %d shards on their floor after %v", floors, took)
		w.down.Store(false)
		took = until(t, 10*time.Second, w.whole)
		t.Logf("all shards in use %v after the log is back", took)
	})
}

// No heartbeat arrives anywhere, but the log does: nobody loses a shard.
func TestHeartbeatsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := grow(t, 3)
		defer w.end()
		before := w.nodes[0].machine.Holder(ownership.Cell)
		w.cut.Store(true)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if !w.whole() {
				t.Fatal("a shard is unused while the log is there")
			}
		}
		status := w.nodes[0].controller.Status(time.Now())
		if now := w.nodes[0].machine.Holder(ownership.Cell); now.Epoch != before.Epoch || !status.Members[1].Suspected {
			t.Fatalf("epoch %d, was %d; %+v", now.Epoch, before.Epoch, status.Members)
		}
	})
}

// A replacement under a new name takes its share once the VM list has
// dropped the dead one, and another's heartbeats tell its load.
func TestReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := grow(t, 3)
		defer w.end()
		w.kill(w.nodes[2])
		w.mu.Lock()
		w.gone[w.nodes[2].id.Node] = time.Now()
		w.mu.Unlock()
		w.nodes = w.nodes[:2]
		fresh := w.boot(3)
		took := until(t, 30*time.Second, func() bool { return count([]*entryVM{fresh})[ownership.AccessFull] > 0 })
		t.Logf("first share of the replacement after %v", took)
		until(t, 30*time.Second, w.whole)
		loads := w.nodes[0].service.Candidates("torquebench")
		if len(loads) != 2 || loads[0].Node != fresh.id.Node || loads[0].Free != 3 {
			t.Fatalf("candidates %+v", loads)
		}
		took = until(t, 10*time.Second, func() bool { return slots(w.nodes) == allSlots })
		t.Logf("floor shares of the dead one in use after %v more", took)
	})
}
