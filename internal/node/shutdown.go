package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/drain"
	"github.com/skylarklock/skylarklock/internal/peer"
)

// Timing of a shutdown, all of it within the grace after which the process is
// killed.
const (
	// serveOn is how long connections are accepted after the process was asked
	// to stop: the platform needs two missed looks, a second apart, before it
	// sends new ones elsewhere.
	serveOn = 2500 * time.Millisecond
	// lastAnswers is kept of the grace for answering, with what is known by
	// then, the requests that still wait. Up to it they have their clients'
	// time: with a grace of 6 s, also the 3 s that clients wait after the last
	// connection was accepted.
	lastAnswers = 500 * time.Millisecond
	// lastSteps is kept of lastAnswers for the end of the loops.
	lastSteps = 150 * time.Millisecond
	// The same as shares of the grace, where it is short.
	serveOnShare     = 0.5
	lastAnswersShare = 0.25
	lastStepsShare   = 0.05
)

// shutdown holds the times of a graceful shutdown.
type shutdown struct {
	grace time.Duration

	once  sync.Once
	began time.Time
}

// begin notes when the shutdown began: at the first call.
func (s *shutdown) begin() time.Time {
	s.once.Do(func() { s.began = time.Now() })
	return s.began
}

// share returns a time, or a share of the grace if that is less.
func (s *shutdown) share(d time.Duration, share float64) time.Duration {
	return min(d, time.Duration(share*float64(s.grace)))
}

// acceptUntil returns up to when connections are accepted.
func (s *shutdown) acceptUntil() time.Time {
	return s.begin().Add(s.share(serveOn, serveOnShare))
}

// waitUntil returns up to when requests may wait for what they wait for.
func (s *shutdown) waitUntil() time.Time {
	return s.begin().Add(s.grace - s.share(lastAnswers, lastAnswersShare))
}

// answerUntil returns up to when answers may be written.
func (s *shutdown) answerUntil() time.Time {
	return s.begin().Add(s.grace - s.share(lastSteps, lastStepsShare))
}

// awaitShutdown waits until the process is asked to stop, hands leadership
// over and serves on for a while. Its return ends the process, as does the end
// of work.
func (n *Node) awaitShutdown(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	until := n.shutdown.acceptUntil()
	n.draining.Store(true)
	n.log.Info("asked to stop")
	accepting, cancel := context.WithDeadline(work, until)
	defer cancel()
	n.elector.Release(accepting)
	<-accepting.Done()
	return nil
}

// endFront ends the clients' server: it answers all requests that it has read,
// at the latest with what is known when the grace is nearly over.
func (n *Node) endFront(s *drain.Server) {
	n.draining.Store(true)
	waiting, cancel := context.WithDeadline(context.Background(), n.shutdown.waitUntil())
	defer cancel()
	if s.Drain(waiting) == nil {
		return
	}
	n.log.WithField("requests", s.InFlight()).Warn("requests still wait as the grace ends; they are answered with what is known")
	answering, cancel := context.WithDeadline(context.Background(), n.shutdown.answerUntil())
	defer cancel()
	err := s.CancelRequests(answering)
	if cut := s.Close(); cut > 0 {
		n.log.WithError(err).WithField("requests", cut).Error("requests were cut off by the end of the process")
	}
}

// endPeers ends the peers' server: calls in flight are answered, while there is
// time for it, and further ones are refused, which tells the callers that
// nothing was done.
func (n *Node) endPeers(s *peer.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), n.shutdown.waitUntil())
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		n.log.WithError(err).Info("peers' calls were cut off by the end of the process")
	}
}

// endReady ends the server of the platform's looks, which wait for nothing.
func (n *Node) endReady(s *http.Server) {
	if err := s.Close(); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"address": s.Addr}).Debug("readiness server not closed")
	}
}
