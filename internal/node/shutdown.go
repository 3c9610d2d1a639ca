package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/drain"
	"github.com/skylarklock/skylarklock/internal/pause"
	"github.com/skylarklock/skylarklock/internal/peer"
)

// Timing of a shutdown. All phases lie within the grace period, after which the
// process is killed.
const (
	// acceptPeriod is how long connections are accepted after the process was asked
	// to stop. The platform sends new connections elsewhere only after two failed
	// readiness checks, which are a second apart.
	acceptPeriod = 2500 * time.Millisecond
	// answerPeriod is the part at the end of the grace period in which requests that
	// still wait are answered with what is known. Until then they may wait as long as
	// their clients do: a grace period of 6 s leaves the usual 3 s even to a request
	// on the last connection that was accepted.
	answerPeriod = 500 * time.Millisecond
	// stopPeriod is the part at the end of answerPeriod in which the loops stop.
	stopPeriod = 150 * time.Millisecond
	// Upper bounds of these periods as shares of the grace period, which apply when it
	// is short.
	acceptShare = 0.5
	answerShare = 0.25
	stopShare   = 0.05
)

// shutdown holds the deadlines of a graceful shutdown.
type shutdown struct {
	gracePeriod time.Duration

	once      sync.Once
	startedAt time.Time
}

// start returns when the shutdown started, which is the time of the first call.
func (s *shutdown) start() time.Time {
	s.once.Do(func() { s.startedAt = time.Now() })
	return s.startedAt
}

// limit returns d, or the given share of the grace period if that is shorter.
func (s *shutdown) limit(d time.Duration, maxShare float64) time.Duration {
	return min(d, time.Duration(maxShare*float64(s.gracePeriod)))
}

// acceptDeadline returns the time until which connections are accepted.
func (s *shutdown) acceptDeadline() time.Time {
	return s.start().Add(s.limit(acceptPeriod, acceptShare))
}

// waitDeadline returns the time until which requests may wait for a result.
func (s *shutdown) waitDeadline() time.Time {
	return s.start().Add(s.gracePeriod - s.limit(answerPeriod, answerShare))
}

// answerDeadline returns the time until which answers may be written.
func (s *shutdown) answerDeadline() time.Time {
	return s.start().Add(s.gracePeriod - s.limit(stopPeriod, stopShare))
}

// awaitShutdown waits until the process is asked to stop, releases leadership and
// keeps serving until acceptDeadline. The process ends when awaitShutdown returns,
// which it also does when work ends.
func (n *Node) awaitShutdown(ctx, work context.Context) error {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return nil
	}
	deadline := n.shutdown.acceptDeadline()
	n.draining.Store(true)
	n.log.Info("asked to stop")
	accepting, cancel := context.WithDeadline(work, deadline)
	defer cancel()
	n.elector.Release(accepting)
	<-accepting.Done()
	return nil
}

// shutDownFront drains the clients' server: all requests that it has read are
// answered. Those that still wait shortly before the grace period ends are answered
// with what is known then.
func (n *Node) shutDownFront(s *drain.Server) {
	n.draining.Store(true)
	waiting, cancel := context.WithDeadline(context.Background(), n.shutdown.waitDeadline())
	defer cancel()
	go n.dropIncompleteRequests(waiting)
	if s.Drain(waiting) == nil {
		return
	}
	n.log.WithField("requests", s.InFlight()).Warn("requests still wait as the grace ends; they are answered with what is known")
	answering, cancel := context.WithDeadline(context.Background(), n.shutdown.answerDeadline())
	defer cancel()
	err := s.CancelRequests(answering)
	if cut := s.Close(); cut > 0 {
		n.log.WithError(err).WithField("requests", cut).Error("requests were cut off by the end of the process")
	}
}

// maxArrival is how long a request may take to arrive while the process stops. It was passed on to nobody before, so
// its client may send it again to another machine.
const maxArrival = time.Second

// arrivalCheckInterval is the time between two checks for such requests.
const arrivalCheckInterval = 100 * time.Millisecond

// dropIncompleteRequests drops requests that don't arrive in time until ctx ends.
func (n *Node) dropIncompleteRequests(ctx context.Context) {
	for ctx.Err() == nil {
		n.clientLimiter.EvictIncomplete(maxArrival)
		pause.For(ctx, arrivalCheckInterval)
	}
}

// shutDownPeers shuts the peers' server down. Calls in flight are answered if time
// permits. Further calls are refused, which tells the callers that nothing was done.
func (n *Node) shutDownPeers(s *peer.Server) {
	ctx, cancel := context.WithDeadline(context.Background(), n.shutdown.waitDeadline())
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		n.log.WithError(err).Info("peers' calls were cut off by the end of the process")
	}
}

// closeReady closes the server for readiness checks, which never wait.
func (n *Node) closeReady(s *http.Server) {
	if err := s.Close(); err != nil {
		n.log.WithError(err).WithFields(logrus.Fields{"address": s.Addr}).Debug("readiness server not closed")
	}
}
