package entry

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/front"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/member"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/platform/httpendpoint"
	"github.com/skylarklock/skylarklock/internal/platform/httplog"
	"github.com/skylarklock/skylarklock/internal/platform/httpvmlist"
	"github.com/skylarklock/skylarklock/internal/platform/httpworker"
	"github.com/skylarklock/skylarklock/internal/reqkey"
	"github.com/skylarklock/skylarklock/internal/router"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// workerDialTimeout bounds the connect to a worker agent.
const workerDialTimeout = time.Second

// Adapters holds the adapters to the outside. Tests put fakes in their place.
type Adapters struct {
	Log      platform.Log
	VMList   platform.VMList
	Worker   platform.Worker
	Endpoint EndpointClient
	DialPeer peer.Dialer // nil: TCP
}

// EndpointClient sends requests to endpoints and keeps connections to them.
type EndpointClient interface {
	platform.Endpoint
	Retain(held []api.EndpointID)
}

// Node is the process of one entry VM.
type Node struct {
	settings *settings.Settings
	log      *logrus.Entry
	origin   journal.Origin
	started  time.Time
	counters *counter.Set
	outside  Adapters

	streams    *streams
	owner      *ownership.Controller
	members    *member.Service
	heartbeats *peer.Client // small calls
	handovers  *peer.Client // requests with their bodies
	peerServer *peer.Server
	router     *router.Router
	chain      *filter.Chain
	keys       *reqkey.Keys
	logWatch   *logWatch
	front      *front.Server
	cell       *cellParts
	listeners  listeners
	answered   atomic.Bool   // the drain has answered all callers
	aborted    chan struct{} // closed by Abort
	abortOnce  sync.Once
}

// listeners are open from New on, so that a port that is taken is reported
// before anything runs.
type listeners struct {
	callers, operators, peers net.Listener
}

// New makes a node from checked settings and opens its listeners.
func New(s *settings.Settings, log *logrus.Logger) (*Node, error) {
	logs, err := httplog.NewClient(httplog.Config{BaseURL: s.Log.URLs[0]})
	if err != nil {
		return nil, err
	}
	return NewWithAdapters(s, log, Adapters{
		Log:      logs,
		VMList:   httpvmlist.New(s.VMList.URL),
		Worker:   httpworker.New(workerDialTimeout),
		Endpoint: httpendpoint.New(httpendpoint.Config{}),
	})
}

// NewWithAdapters is New with given adapters to the outside.
func NewWithAdapters(s *settings.Settings, log *logrus.Logger, outside Adapters) (*Node, error) {
	n := &Node{
		settings: s,
		log:      logging.ForNode(log, s.NodeID, s.DataCentre),
		origin:   journal.Origin{Node: s.NodeID, Incarnation: newIncarnation()},
		started:  time.Now(),
		counters: counter.NewSet(),
		outside:  outside,
		aborted:  make(chan struct{}),
	}
	var err error
	n.logWatch = newLogWatch(outside.Log, time.Now)
	n.streams, err = newStreams(s, n.logWatch, n.origin, n.entries, n.counters, n.log)
	if err != nil {
		return nil, err
	}
	n.connectPeers()
	n.connectRequests()
	n.cell = newCellParts(n)
	n.front = front.New(frontSettings(s), n.chain, n.callerJobs(), n.chain.Gate(), n.counters, n.log)
	if err := n.register(); err != nil {
		return nil, err
	}
	return n, n.listen()
}

// Counters returns the node's counters of refusals, retries and waits.
func (n *Node) Counters() *counter.Set { return n.counters }

// entries is the number of entry VMs that share the budget of appends: those
// of this data centre times the data centres.
func (n *Node) entries() int {
	if n.streams == nil {
		return 1
	}
	roster, _ := n.streams.owners.Roster()
	return max(1, len(roster)) * max(1, len(n.settings.DataCentres))
}

// advertised is the address told to peers.
func (n *Node) advertised() string {
	if n.settings.AdvertisePeer != "" {
		return n.settings.AdvertisePeer
	}
	return n.settings.Listen.Peers
}

// connectPeers makes heartbeats, ownership and the peers' server.
func (n *Node) connectPeers() {
	s := n.settings
	limits := peer.DefaultLimits()
	limits.Call = s.Limits.PeerTimeout.Std()
	n.heartbeats = peer.NewClient(limits, n.outside.DialPeer)
	limits.MaxRequest = int(s.Limits.MaxPeerBytes)
	limits.MaxAnswer = int(s.Limits.MaxPeerBytes)
	limits.Call = s.Limits.MaxRequestTimeout.Std()
	n.handovers = peer.NewClient(limits, n.outside.DialPeer)
	n.peerServer = peer.NewServer(limits, n.log)
	n.members = member.New(member.Config{
		Self:       identityOf(n.origin),
		DataCentre: s.DataCentre,
		Address:    n.advertised(),
		Seeds:      s.Peers,
		Timing:     member.Timing{Heartbeat: s.Hold.Heartbeat.Std()},
		Hold:       s.Hold.Hold.Std(),
		Caller:     n.heartbeats,
		Roster: func() []ownership.Member {
			roster, _ := n.streams.owners.Roster()
			return roster
		},
		Applied:    n.streams.cell.Applied,
		FreeSlots:  n.load,
		IsDraining: func() bool { return n.front.Leaving() || n.owner.Draining() },
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	n.owner = ownership.NewController(ownership.Config{
		Self:       identityOf(n.origin),
		Address:    n.advertised(),
		Timing:     ownership.Timing{HoldDuration: s.Hold.Hold.Std(), MaxClockDrift: s.Hold.Drift},
		Machine:    n.streams.owners,
		Proposer:   n.streams.cell,
		Follower:   n.streams.cell,
		Health:     n.members.Health,
		Unlisted:   n.unlisted,
		InFlight:   n.inFlight,
		StopNewUse: func() { n.cell.endpoints.Step() },
		Logger:     n.log,
	})
	n.members.Bind(n.owner)
}

// connectRequests makes the way of a request.
func (n *Node) connectRequests() {
	s := n.settings
	n.router = router.New(router.Config{})
	n.streams.configs.Subscribe(n.configChanged)
	n.keys = reqkey.NewKeys(n.streams.marks, n.streams.cell, n.origin, reqkey.DefaultMaxBodyBytes)
	n.chain = filter.New(filter.Settings{
		Node:           s.NodeID,
		DataCentre:     s.DataCentre,
		DataCentres:    s.DataCentres,
		MaxInFlight:    s.Limits.MaxRequests,
		MaxTimeout:     s.Limits.MaxRequestTimeout.Std(),
		JournalTimeout: s.Log.AppendTimeout.Std(),
		MarkRetention:  s.RequestRetention.Std(),
	}, filter.Deps{
		Router:   slots{router: n.router},
		Endpoint: n.outside.Endpoint,
		Peers: peers{
			self: s.NodeID, address: n.advertised(),
			members: n.members, owners: n.streams.owners, client: n.handovers, counts: n.counters,
		},
		Keys:     promptKeys{Keys: n.keys, log: n.logWatch},
		Services: records{configs: n.streams.configs},
		Limits:   records{configs: n.streams.configs},
		Counters: n.counters,
		Now:      time.Now,
		Log:      n.log,
	})
}

// configChanged passes records of services on to the router.
func (n *Node) configChanged(c config.Change) {
	if c.Restored || c.Key.Kind == api.KindService {
		for _, spec := range n.streams.configs.Services() {
			n.router.SetService(spec.Service, spec)
		}
	}
}

// load tells peers how many more requests of each service this node could
// send out.
func (n *Node) load() []member.ServiceFree {
	var free []member.ServiceFree
	for _, spec := range n.streams.configs.Services() {
		if len(free) == member.MaxServices {
			break
		}
		free = append(free, member.ServiceFree{Service: spec.Service, Free: n.router.Free(spec.Service)})
	}
	return free
}

// register adds the services that peers call.
func (n *Node) register() error {
	wait := n.settings.Limits.MaxRequestTimeout.Std()
	if err := n.peerServer.Register(member.ServiceName, n.members.Handler()); err != nil {
		return errors.Wrap(err, "register heartbeats")
	}
	if err := n.peerServer.Register(statesService, &States{replicas: n.replicas()}); err != nil {
		return errors.Wrap(err, "register states")
	}
	err := n.peerServer.Register(requestsService, &Requests{chain: n.chain, wait: wait})
	return errors.Wrap(err, "register hand-overs")
}

// listen opens the listeners.
func (n *Node) listen() error {
	var err error
	open := func(address string) net.Listener {
		if err != nil {
			return nil
		}
		var l net.Listener
		l, err = net.Listen("tcp", address)
		return l
	}
	n.listeners.callers = open(n.settings.Listen.Callers)
	n.listeners.operators = open(n.settings.Listen.Operators)
	n.listeners.peers = open(n.settings.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	n.listeners.callers = netutil.LimitListener(n.listeners.callers, n.settings.Limits.MaxConnections)
	return nil
}

// frontSettings takes the bounds of the callers' server from the settings.
func frontSettings(s *settings.Settings) front.Settings {
	return front.Settings{
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		MaxBodyBytes:      s.Limits.MaxBodyBytes,
		ReadHeaderTimeout: s.Limits.ReadHeaderTimeout.Std(),
		ReadBodyTimeout:   s.Limits.ReadTimeout.Std(),
		WriteTimeout:      s.Limits.WriteTimeout.Std(),
		IdleTimeout:       s.Limits.IdleTimeout.Std(),
		ReadinessDelay:    s.ReadinessDelay.Std(),
	}
}
