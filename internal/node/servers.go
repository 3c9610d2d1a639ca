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
	"github.com/skylarklock/skylarklock/internal/drain"
	"github.com/skylarklock/skylarklock/internal/peer"
	"github.com/skylarklock/skylarklock/internal/reach"
	"github.com/skylarklock/skylarklock/internal/traffic"
	"github.com/skylarklock/skylarklock/platform"
)

// Limits of the clients' server, where no configuration names others.
const (
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 5 * time.Second // of a whole request
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 16 << 10
)

// storeSilence is how long the store may give this machine no answer before
// it asks the platform for no more connections: it could take no jobs.
const storeSilence = 2 * time.Second

// adviceTimeout bounds a call to the advice service, which answers the calls
// of a machine in turn.
const adviceTimeout = 4 * time.Second

// addServers adds the listeners for clients, readiness and peers. Clients'
// server ends first: its requests need the others.
func (n *Node) addServers(g *run.Group) {
	front := drain.New(&http.Server{
		Addr:              n.settings.FrontAddress,
		Handler:           n.api(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(n.log.WriterLevel(logrus.DebugLevel), "", 0),
	})
	g.Add(func() error { return n.listen(n.settings.FrontAddress, traffic.Clients, front.Serve) }, func(error) { n.endFront(front) })
	n.addPeers(g)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, n.serveReadiness)
	mux.HandleFunc("GET "+countersPath, n.serveCounters)
	ready := &http.Server{Addr: n.settings.ReadinessAddress, Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	g.Add(func() error {
		return served(n.listen(n.settings.ReadinessAddress, traffic.Readiness, ready.Serve))
	}, func(error) { n.endReady(ready) })
}

// listen serves on an address, all of whose bytes count as one kind.
func (n *Node) listen(address string, kind traffic.Kind, serve func(net.Listener) error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listener for %s", kind)
	}
	return serve(n.traffic.Listener(l, kind))
}

// served hides the error that a server's end brings.
func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *Node) addPeers(g *run.Group) {
	server := peer.NewServer(peerLimits(), n.log)
	server.CountTraffic(n.traffic)
	handler := &assist.Handler{
		LeadingEpoch:    func() api.Epoch { return api.Epoch(n.epoch.Load()) },
		Storer:          n.storer,
		Receiver:        n.reader,
		Elector:         n.elector,
		SetLeaderCutOff: n.leaderCut.Store,
		Peers:           n.helpers,
		Adviser:         n.adviser,
		Executors:       n.executors,
		CallTimeout:     adviceTimeout,
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
	}, func(error) { n.endPeers(server) })
}

// Limits of calls between processes.
const (
	peerMessageBytes = 1 << 20
	// peerConns is how many connections other machines may have to one, at most
	// two each: three times the 300 machines that were played, and about half of the
	// descriptors of the weakest machines.
	peerConns       = 2048
	peerCallTimeout = 5 * time.Second
)

func peerLimits() peer.Limits {
	return peer.Limits{
		MaxRequest: peerMessageBytes,
		MaxAnswer:  peerMessageBytes,
		MaxConns:   peerConns,
		Call:       peerCallTimeout,
	}
}

// serveReadiness tells the platform whether to send new connections.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) ready() bool {
	return !n.draining.Load() &&
		n.watch.Configuration() != nil &&
		n.replica.Synced() &&
		n.replica.SinceContact(time.Now()) < storeSilence &&
		!n.cutOff()
}

// cutOff reports whether this machine reaches nobody who could have a job stored.
func (n *Node) cutOff() bool {
	now := time.Now()
	beyond, spread := n.helpers.SinceContactOutside(n.settings.DataCentre, now)
	return reach.Connectivity{
		SinceStore:      n.store.SinceSuccess(now),
		Leads:           n.epoch.Load() != 0,
		HasRemotePeers:  spread,
		SinceRemotePeer: beyond,
		LeaderDelivers:  n.reader.ReceivesDeliveries(now),
		LeaderCutOff:    n.leaderCut.Load(),
	}.CutOff()
}
