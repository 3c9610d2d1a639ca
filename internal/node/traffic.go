package node

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/traffic"
)

// Bounds of the link's load.
const (
	// loadEvery is the time between two looks at how much was sent.
	loadEvery = 250 * time.Millisecond
	// loadWeight is the weight of the newest look in the moving mean: about the
	// last second counts.
	loadWeight = 0.3
	// fullLoad is the load of the link above which a leader takes no further jobs.
	// Packets wait on a link that is used beyond that, renewals of leadership too.
	// On a link of 2 Mbit/s 105 starts a second are 0.65.
	fullLoad = 0.9
)

// watchLoad keeps up how much of the link's rate this process has sent of late.
func (n *Node) watchLoad(ctx context.Context) error {
	if n.settings.LinkBytesPerSecond <= 0 {
		<-ctx.Done()
		return nil
	}
	load, before, at := 0.0, n.traffic.Snapshot(), time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, loadEvery)
		_, total := n.traffic.Since(before)
		before = n.traffic.Snapshot()
		now := time.Now()
		share := float64(total.Out) / (n.settings.LinkBytesPerSecond * now.Sub(at).Seconds())
		at = now
		load += loadWeight * (share - load)
		n.linkFull.Store(load > fullLoad)
	}
	return nil
}

// trafficSpan is the time that one line about a process's bytes covers.
const trafficSpan = 5 * time.Second

// countersPath is where a process tells its counters, beside its readiness.
const countersPath = "/debug/vars"

// reportTraffic logs what the process has sent and received in each span, by
// kind.
func (n *Node) reportTraffic(ctx context.Context) error {
	before := n.traffic.Snapshot()
	for ctx.Err() == nil {
		began := time.Now()
		pause.For(ctx, trafficSpan)
		grown, total := n.traffic.Since(before)
		before = n.traffic.Snapshot()
		n.log.WithFields(logrus.Fields{
			"span_ms": time.Since(began).Milliseconds(), "out": total.Out, "in": total.In,
			"by_kind": traffic.FormatLine(grown),
		}).Info("bytes of this process")
	}
	return nil
}

// serveCounters tells the bytes of each kind since the process started.
func (n *Node) serveCounters(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write([]byte(n.traffic.String() + "\n")); err != nil {
		n.log.WithError(err).Debug("counters not delivered")
	}
}
