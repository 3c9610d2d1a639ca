package node

import (
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/drain"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/reach"
	"github.com/skylarklock/skylarklock/internal/traffic"
	"github.com/skylarklock/skylarklock/platform"
)

// Limits of the clients' server, which apply where the configuration sets none.
const (
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 5 * time.Second // for a whole request
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// maxSinceContact is how long this machine may go without an answer from the store or a
// delivery from the leader before it reports that it is not ready. It could accept no
// jobs then.
const maxSinceContact = 2 * time.Second

// adviceTimeout bounds a call to the advice service, which answers the calls
// of a machine one after the other.
const adviceTimeout = 4 * time.Second

// addServers adds the servers for clients, peers and readiness. The clients' server
// is added first, so that it shuts down first: its requests need the others.
func (n *Node) addServers(g *run.Group) {
	front := drain.New(&http.Server{
		Addr:              n.settings.FrontAddress,
		Handler:           n.clientLimiter.Handler(n.handler()),
		ConnState:         n.clientLimiter.ConnState,
		ConnContext:       n.clientLimiter.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(n.log.WriterLevel(logrus.DebugLevel), "", 0),
	})
	g.Add(func() error {
		tcp, err := n.clientLimiter.Listen(n.settings.FrontAddress)
		if err != nil {
			return errors.Wrapf(err, "listener for %s", traffic.Clients)
		}
		l := n.traffic.Listener(drain.NewListener(tcp), traffic.Clients)
		return front.Serve(n.clientLimiter.Listener(l))
	}, func(error) { n.shutDownFront(front) })
	n.addPeerServer(g)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, n.serveReadiness)
	mux.HandleFunc("GET "+countersPath, n.serveCounters)
	mux.Handle("GET "+limitCountersPath, varHandler(n.clientLimiter.Vars()))
	mux.Handle("GET "+jobCountersPath, varHandler(n.jobCounters))
	n.addReadinessServer(g, mux)
}

// maxReadinessConns bounds the connections to the readiness server, to which the platform opens one a second.
const maxReadinessConns = 32

// addReadinessServer adds the server for readiness checks and counters.
func (n *Node) addReadinessServer(g *run.Group, handler http.Handler) {
	limiter := clientlimit.New(clientlimit.Limits{Connections: maxReadinessConns}, n.log.WithField("server", traffic.Readiness))
	server := &http.Server{
		Addr:              n.settings.ReadinessAddress,
		Handler:           limiter.Handler(handler),
		ConnState:         limiter.ConnState,
		ConnContext:       limiter.ConnContext,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(n.log.WriterLevel(logrus.DebugLevel), "", 0),
	}
	g.Add(func() error {
		l, err := limiter.Listen(n.settings.ReadinessAddress)
		if err != nil {
			return errors.Wrapf(err, "listener for %s", traffic.Readiness)
		}
		return ignoreServerClosed(server.Serve(limiter.Listener(n.traffic.Listener(l, traffic.Readiness))))
	}, func(error) { n.closeReady(server) })
}

// ignoreServerClosed drops the error that a server returns after it was closed.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addPeerServer adds the server for calls of other machines.
func (n *Node) addPeerServer(g *run.Group) {
	server := peer.NewServer(n.peerServerLimits(), n.log)
	server.CountTraffic(n.traffic)
	handler := &assist.Handler{
		LeadingEpoch:    func() api.Epoch { return api.Epoch(n.epoch.Load()) },
		Storer:          n.storer,
		Receiver:        n.reader,
		Elector:         n.elector,
		SetLeaderCutOff: n.leaderCutOff.Store,
		Peers:           n.peers,
		Adviser:         n.adviser,
		Executors:       n.relayExecutors,
		CallTimeout:     adviceTimeout,

		NewestConfiguration: n.configWatcher.Newest,
	}
	if err := server.Register(assist.ServiceName, handler); err != nil {
		n.log.WithError(err).Error("peer service not registered")
	}
	g.Add(func() error {
		listener, err := net.Listen("tcp", n.settings.PeerAddress)
		if err != nil {
			return errors.Wrap(err, "peer listener")
		}
		return server.Serve(listener)
	}, func(error) { n.shutDownPeers(server) })
}

// Limits of calls between processes.
const (
	maxPeerMessageBytes = 1 << 20
	// maxPeerConns bounds the connections from other machines, each of which opens two
	// at most. It allows for three times the 300 machines that were simulated.
	maxPeerConns    = 2048
	peerCallTimeout = 5 * time.Second
)

// peerLimits returns the limits of peer servers and clients.
func peerLimits() peer.Limits {
	return peer.Limits{
		MaxRequest: maxPeerMessageBytes,
		MaxAnswer:  maxPeerMessageBytes,
		MaxConns:   maxPeerConns,
		Call:       peerCallTimeout,
	}
}

// maxPeerDescriptorShare is the share of the file descriptors that connections from other machines may take.
const maxPeerDescriptorShare = 0.5

// peerServerLimits returns the limits of the peer server on this machine.
func (n *Node) peerServerLimits() peer.Limits {
	limits := peerLimits()
	if files := n.settings.FileDescriptors; files > 0 {
		limits.MaxConns = max(1, min(limits.MaxConns, int(maxPeerDescriptorShare*float64(files))))
	}
	return limits
}

// serveReadiness answers the platform's readiness checks, which decide whether this
// machine gets new connections.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether this machine can accept jobs.
func (n *Node) isReady() bool {
	return !n.draining.Load() &&
		n.configWatcher.Configuration() != nil &&
		n.replica.Synced() &&
		n.replica.SinceContact(time.Now()) < maxSinceContact &&
		!n.cutOff()
}

// cutOff reports whether this machine can reach neither the store nor a leader that
// can store a job.
func (n *Node) cutOff() bool {
	now := time.Now()
	sinceContactOutside, anyOutside := n.peers.SinceContactOutside(n.settings.DataCentre, now)
	return reach.Connectivity{
		SinceStore:      n.store.SinceSuccess(now),
		Leads:           n.epoch.Load() != 0,
		HasRemotePeers:  anyOutside,
		SinceRemotePeer: sinceContactOutside,
		LeaderDelivers:  n.reader.ReceivesDeliveries(now),
		LeaderCutOff:    n.leaderCutOff.Load(),
	}.CutOff()
}
