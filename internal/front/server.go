// Package front is the HTTP server for callers. It limits what a caller may
// send, converts between HTTP and the exchanges of package filter, accepts
// jobs, and drains without aborting requests.
package front

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/clientlimit"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/drain"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// Requests answers callers' requests; *filter.Chain implements it.
type Requests interface {
	Handle(ctx context.Context, x *filter.Exchange) (*api.Answer, error)
}

// Jobs submits, cancels and reports operators' jobs. Errors are *api.Refusal;
// any other error is answered unknown, internal.
type Jobs interface {
	Submit(ctx context.Context, spec api.JobSpec) error
	Cancel(ctx context.Context, id api.JobID) error
	Status(ctx context.Context, id api.JobID) (JobStatus, error)
}

// JobStatus is the answer to GET /v1/jobs/{id}.
type JobStatus struct {
	Spec   api.JobSpec       `json:"spec"`
	Tasks  map[string]uint32 `json:"tasks"` // by state
	Reason api.Reason        `json:"reason,omitempty"`
	Detail string            `json:"detail,omitempty"`
}

// Settings bounds the server. Zero fields are replaced by the defaults.
type Settings struct {
	MaxHeaderBytes    int
	MaxBodyBytes      int64         // of one request
	MaxTotalBodyBytes int64         // of the bodies of all requests at once
	MaxConnections    int           // open at once
	ReadHeaderTimeout time.Duration // for the whole header
	ReadBodyTimeout   time.Duration // for the whole body
	WriteTimeout      time.Duration // for the whole answer
	IdleTimeout       time.Duration // of a keep-alive connection
	ReadinessDelay    time.Duration // from the change of readiness to false until new requests are refused
	CloseDelay        time.Duration // from the end of the last request until idle connections are closed
	RetryAfter        time.Duration // retry delay in refusals
}

// Defaults of Settings.
const (
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxTotalBodyBytes = 256 << 20
	DefaultMaxConnections    = 4000
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadBodyTimeout   = 20 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultIdleTimeout       = 90 * time.Second
	DefaultReadinessDelay    = 2 * time.Second
	DefaultCloseDelay        = time.Second
	DefaultRetryAfter        = time.Second
)

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaults.Set(&s.MaxBodyBytes, DefaultMaxBodyBytes)
	defaults.Set(&s.MaxTotalBodyBytes, DefaultMaxTotalBodyBytes)
	defaults.Set(&s.MaxConnections, DefaultMaxConnections)
	defaults.Set(&s.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	defaults.Set(&s.ReadBodyTimeout, DefaultReadBodyTimeout)
	defaults.Set(&s.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&s.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&s.ReadinessDelay, DefaultReadinessDelay)
	defaults.Set(&s.CloseDelay, DefaultCloseDelay)
	defaults.Set(&s.RetryAfter, DefaultRetryAfter)
	return s
}

// Server is the HTTP server for callers of one entry VM.
type Server struct {
	settings  Settings
	requests  Requests
	jobs      Jobs
	gate      *filter.Gate
	counters  filter.Counters
	bodyBytes *bodyBudget
	log       logrus.FieldLogger
	leaving   atomic.Bool // set by Drain; readiness is false, and answers close their connections
	limiter   *clientlimit.Limiter
	http      *http.Server
	drainer   *drain.Server // serves http
}

// New returns a server that passes requests to requests and jobs to jobs, and
// shares gate with the chain. The messages of net/http are logged to log.
func New(settings Settings, requests Requests, jobs Jobs, gate *filter.Gate, counters filter.Counters, log logrus.FieldLogger) *Server {
	settings = settings.withDefaults()
	s := &Server{
		settings:  settings,
		requests:  requests,
		jobs:      jobs,
		gate:      gate,
		counters:  counters,
		bodyBytes: newBodyBudget(settings.MaxTotalBodyBytes),
		log:       log,
	}
	s.limiter = clientlimit.New(clientlimit.Limits{
		Connections:  settings.MaxConnections,
		RequestBytes: settings.MaxTotalBodyBytes,
	}, log)
	s.http = &http.Server{
		Handler:           s.limiter.Handler(s.Handler()),
		ConnState:         s.limiter.ConnState,
		ConnContext:       s.limiter.ConnContext,
		ReadHeaderTimeout: settings.ReadHeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ErrorLog:          stdlog.New(httpErrors{log}, "", 0),
	}
	s.drainer = drain.New(s.http)
	return s
}

// Serve answers the connections of l until Drain, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.drainer.Serve(s.limiter.Listener(l)); err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// Drain stops the server without aborting requests. Readiness becomes false;
// after ReadinessDelay new requests are refused; CloseDelay after the last
// request has finished, idle connections are closed. A request of which a part
// has arrived by then is still answered. When ctx ends first, the remaining
// connections are closed and the error of ctx is returned.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.eventLogger("drain_started").Info("readiness is false")
	sleep(ctx, s.settings.ReadinessDelay)
	s.gate.Drain()
	s.eventLogger("drain_refusing").Info("new requests are refused")
	err := s.gate.Wait(ctx)
	if err == nil {
		s.eventLogger("drain_idle").Info("the last request has finished")
		sleep(ctx, s.settings.CloseDelay)
		err = s.drainer.Drain(ctx)
	}
	if err != nil {
		s.eventLogger("drain_cut_off").WithField("cause", err).Error("the drain's time is over")
		s.drainer.Close()
		return fmt.Errorf("front: drain with %d requests in flight: %w", s.gate.InFlight(), err)
	}
	s.eventLogger("drain_done").Info("all connections are closed")
	return nil
}

func (s *Server) eventLogger(name string) logrus.FieldLogger {
	return s.log.WithFields(logrus.Fields{"event": name, "in_flight": s.gate.InFlight()})
}

// httpErrors logs each message of net/http as one event.
type httpErrors struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (e httpErrors) Write(line []byte) (int, error) {
	e.log.WithField("event", "http_server").Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Ready reports whether a load balancer should send requests here.
func (s *Server) Ready() bool {
	return !s.leaving.Load() && s.gate.State() == filter.GateOpen
}

// Leaving reports whether Drain was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }
