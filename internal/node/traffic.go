package node

import (
	"context"
	"expvar"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/traffic"
)

// Measurement and limit of the link's load.
const (
	// loadInterval is the time between two samples of the bytes sent.
	loadInterval = 250 * time.Millisecond
	// loadWeight is the weight of the newest sample in the moving average, which covers
	// about the last second.
	loadWeight = 0.3
	// maxLinkLoad is the load of the link above which a leader accepts no further jobs.
	// Above it packets queue up on the link, and those of leadership renewals with them.
	// On a link of 2 Mbit/s, 105 starts per second amount to a load of 0.65.
	maxLinkLoad = 0.9
)

// monitorLinkLoad keeps linkFull up to date from the share of the link's rate that this
// process has recently used for sending.
func (n *Node) monitorLinkLoad(ctx context.Context) error {
	if n.settings.LinkBytesPerSecond <= 0 {
		<-ctx.Done()
		return nil
	}
	load, before, at := 0.0, n.traffic.Snapshot(), time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, loadInterval)
		_, total := n.traffic.Since(before)
		before = n.traffic.Snapshot()
		now := time.Now()
		share := float64(total.Out) / (n.settings.LinkBytesPerSecond * now.Sub(at).Seconds())
		at = now
		load += loadWeight * (share - load)
		n.linkFull.Store(load > maxLinkLoad)
	}
	return nil
}

// trafficInterval is the time covered by one log line about the bytes of this process.
const trafficInterval = 5 * time.Second

// countersPath is the path of the process's counters, on the readiness server.
const countersPath = "/debug/vars"

// reportTraffic logs the bytes that the process has sent and received in each
// interval, by kind.
func (n *Node) reportTraffic(ctx context.Context) error {
	before := n.traffic.Snapshot()
	for ctx.Err() == nil {
		began := time.Now()
		pause.For(ctx, trafficInterval)
		delta, total := n.traffic.Since(before)
		before = n.traffic.Snapshot()
		n.log.WithFields(logrus.Fields{
			"span_ms": time.Since(began).Milliseconds(), "out": total.Out, "in": total.In,
			"by_kind": traffic.FormatLine(delta),
		}).Info("bytes of this process")
	}
	return nil
}

// limitCountersPath is the path of the counters of clients' connections and requests that were dropped.
const limitCountersPath = countersPath + "/clients"

// jobCountersPath is the path of the counters of jobs that were withdrawn from the planner or missing from it.
const jobCountersPath = countersPath + "/jobs"

// varHandler returns a handler that answers with the value of v as JSON.
func varHandler(v expvar.Var) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, v.String()+"\n") // a client that is gone needs no answer
	})
}

// serveCounters answers with the bytes of each kind since the process started.
func (n *Node) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write([]byte(n.traffic.String() + "\n")); err != nil {
		n.log.WithError(err).Debug("counters not delivered")
	}
}
