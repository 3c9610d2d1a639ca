package entry

import (
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/drain"
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

// workerDialTimeout is the timeout for connecting to a worker agent.
const workerDialTimeout = time.Second

// Adapters holds the clients of external systems. Tests replace them with fakes.
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
	adapters Adapters

	streams         *streams
	owner           *ownership.Controller
	members         *member.Service
	heartbeatClient *peer.Client // for small calls
	handoverClient  *peer.Client // for requests with their bodies
	peerServer      *peer.Server
	router          *router.Router
	chain           *filter.Chain
	requestKeys     *reqkey.Keys
	logHealth       *logHealth
	front           *front.Server
	cell            *cellControllers
	listeners       listeners
	callersAnswered atomic.Bool   // all callers were answered during the drain
	aborted         chan struct{} // closed by Abort
	abortOnce       sync.Once
}

// listeners holds the listeners of a node. New opens them, so that a port that is
// in use is reported before anything runs.
type listeners struct {
	callers, operators, peers net.Listener
}

// New returns a node with validated settings and opens its listeners.
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

// NewWithAdapters is like New, but with the given adapters.
func NewWithAdapters(s *settings.Settings, log *logrus.Logger, adapters Adapters) (*Node, error) {
	n := &Node{
		settings: s,
		log:      logging.ForNode(log, s.NodeID, s.DataCentre),
		origin:   journal.Origin{Node: s.NodeID, Incarnation: newIncarnation()},
		started:  time.Now(),
		counters: counter.NewSet(),
		adapters: adapters,
		aborted:  make(chan struct{}),
	}
	var err error
	n.logHealth = newLogHealth(adapters.Log, time.Now)
	n.streams, err = newStreams(s, n.logHealth, n.origin, n.entryVMCount, n.counters, n.log)
	if err != nil {
		return nil, err
	}
	n.buildPeerServices()
	n.buildRequestPath()
	n.cell = newCellControllers(n)
	n.front = front.New(frontSettings(s), n.chain, n.jobService(), n.chain.Gate(), n.counters, n.log)
	if err := n.registerPeerServices(); err != nil {
		return nil, err
	}
	return n, n.listen()
}

// Counters returns the node's counters of refusals, retries and waits.
func (n *Node) Counters() *counter.Set { return n.counters }

// entryVMCount returns the number of entry VMs that share the append budget: those of
// this data centre times the number of data centres.
func (n *Node) entryVMCount() int {
	if n.streams == nil {
		return 1
	}
	roster, _ := n.streams.ownershipState.Roster()
	return max(1, len(roster)) * max(1, len(n.settings.DataCentres))
}

// advertised returns the address at which peers reach this node.
func (n *Node) advertised() string {
	if n.settings.AdvertisePeer != "" {
		return n.settings.AdvertisePeer
	}
	return n.settings.Listen.Peers
}

// buildPeerServices creates the heartbeat service, the ownership controller and the
// server for peers.
func (n *Node) buildPeerServices() {
	s := n.settings
	limits := peer.DefaultLimits()
	limits.Call = s.Limits.PeerTimeout.Std()
	n.heartbeatClient = peer.NewClient(limits, n.adapters.DialPeer)
	limits.MaxRequest = int(s.Limits.MaxPeerBytes)
	limits.MaxAnswer = int(s.Limits.MaxPeerBytes)
	limits.Call = s.Limits.MaxRequestTimeout.Std()
	n.handoverClient = peer.NewClient(limits, n.adapters.DialPeer)
	n.peerServer = peer.NewServer(limits, n.log)
	n.members = member.New(member.Config{
		Self:       identityOf(n.origin),
		DataCentre: s.DataCentre,
		Address:    n.advertised(),
		Seeds:      s.Peers,
		Timing:     member.Timing{Heartbeat: s.Hold.Heartbeat.Std()},
		Hold:       s.Hold.Hold.Std(),
		Caller:     n.heartbeatClient,
		Roster: func() []ownership.Member {
			roster, _ := n.streams.ownershipState.Roster()
			return roster
		},
		Applied:    n.streams.cell.Applied,
		FreeSlots:  n.freeSlots,
		IsDraining: func() bool { return n.front.Leaving() || n.owner.Draining() },
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	n.owner = ownership.NewController(ownership.Config{
		Self:       identityOf(n.origin),
		Address:    n.advertised(),
		Timing:     ownership.Timing{HoldDuration: s.Hold.Hold.Std(), MaxClockDrift: s.Hold.Drift},
		Machine:    n.streams.ownershipState,
		Proposer:   n.streams.cell,
		Follower:   n.streams.cell,
		Health:     n.members.Health,
		Unlisted:   n.unlisted,
		InFlight:   n.maxInFlight,
		StopNewUse: func() { n.cell.endpoints.Step() },
		Logger:     n.log,
	})
	n.members.Bind(n.owner)
}

// buildRequestPath creates the components that process requests.
func (n *Node) buildRequestPath() {
	s := n.settings
	n.router = router.New(router.Config{})
	n.streams.configState.Subscribe(n.updateServices)
	n.requestKeys = reqkey.NewKeys(n.streams.markState, n.streams.cell, n.origin, reqkey.DefaultMaxBodyBytes)
	n.chain = filter.New(filter.Settings{
		Node:           s.NodeID,
		DataCentre:     s.DataCentre,
		DataCentres:    s.DataCentres,
		MaxInFlight:    s.Limits.MaxRequests,
		MaxTimeout:     s.Limits.MaxRequestTimeout.Std(),
		JournalTimeout: s.Log.AppendTimeout.Std(),
		MarkRetention:  s.RequestRetention.Std(),
	}, filter.Deps{
		Router:   routerAdapter{router: n.router},
		Endpoint: n.adapters.Endpoint,
		Peers: peerAdapter{
			self: s.NodeID, address: n.advertised(),
			members: n.members, ownershipState: n.streams.ownershipState, client: n.handoverClient, counters: n.counters,
		},
		Keys:     failFastKeys{Keys: n.requestKeys, health: n.logHealth},
		Services: configAdapter{configState: n.streams.configState},
		Limits:   configAdapter{configState: n.streams.configState},
		Counters: n.counters,
		Now:      time.Now,
		Log:      n.log,
	})
}

// updateServices passes changed service records to the router.
func (n *Node) updateServices(c config.Change) {
	if c.Restored || c.Key.Kind == api.KindService {
		for _, spec := range n.streams.configState.Services() {
			n.router.SetService(spec.Service, spec)
		}
	}
}

// freeSlots returns, for peers, how many more requests of each service this node
// could send to endpoints.
func (n *Node) freeSlots() []member.ServiceFree {
	var free []member.ServiceFree
	for _, spec := range n.streams.configState.Services() {
		if len(free) == member.MaxServices {
			break
		}
		free = append(free, member.ServiceFree{Service: spec.Service, Free: n.router.Free(spec.Service)})
	}
	return free
}

// registerPeerServices registers the services that peers call.
func (n *Node) registerPeerServices() error {
	maxWait := n.settings.Limits.MaxRequestTimeout.Std()
	if err := n.peerServer.Register(member.ServiceName, n.members.Handler()); err != nil {
		return errors.Wrap(err, "register heartbeats")
	}
	if err := n.peerServer.Register(statesService, &States{replicas: n.replicas()}); err != nil {
		return errors.Wrap(err, "register states")
	}
	err := n.peerServer.Register(requestsService, &Requests{chain: n.chain, maxWait: maxWait})
	return errors.Wrap(err, "register handovers")
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
	n.listeners.operators = open(n.settings.Listen.Operators)
	n.listeners.peers = open(n.settings.Listen.Peers)
	if err == nil {
		n.listeners.callers, err = drain.Listen(n.settings.Listen.Callers)
	}
	return errors.Wrap(err, "listen")
}

// frontSettings returns the settings of the callers' server.
func frontSettings(s *settings.Settings) front.Settings {
	return front.Settings{
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		MaxBodyBytes:      s.Limits.MaxBodyBytes,
		MaxConnections:    s.Limits.MaxConnections,
		ReadHeaderTimeout: s.Limits.ReadHeaderTimeout.Std(),
		ReadBodyTimeout:   s.Limits.ReadTimeout.Std(),
		WriteTimeout:      s.Limits.WriteTimeout.Std(),
		IdleTimeout:       s.Limits.IdleTimeout.Std(),
		ReadinessDelay:    s.ReadinessDelay.Std(),
	}
}
