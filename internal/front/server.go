// Package front is the callers' HTTP server: it bounds what a caller may
// send, turns HTTP into exchanges of package filter and back, takes jobs, and
// drains without cutting off a request.
package front

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/filter"
)

// Requests answers callers' requests; *filter.Chain implements it.
type Requests interface {
	Handle(ctx context.Context, x *filter.Exchange) (*api.Answer, error)
}

// Jobs takes operators' jobs. Errors are *api.Refusal; any other error is
// answered unknown, internal.
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

// Settings bounds the server. Zero fields take the defaults.
type Settings struct {
	MaxHeaderBytes    int
	MaxBodyBytes      int64         // of one request
	MaxTotalBodyBytes int64         // of the bodies of all requests at once
	ReadHeaderTimeout time.Duration // for the whole header
	ReadBodyTimeout   time.Duration // for the whole body
	WriteTimeout      time.Duration // for the whole answer
	IdleTimeout       time.Duration // of a keep-alive connection
	ReadinessDelay    time.Duration // between readiness false and turning work away
	CloseDelay        time.Duration // between the last request and closing idle connections
	RetryAfter        time.Duration // named in refusals
}

// Defaults of Settings.
const (
	DefaultMaxHeaderBytes    = 16 << 10
	DefaultMaxBodyBytes      = 8 << 20
	DefaultMaxTotalBodyBytes = 256 << 20
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
	defaults.Set(&s.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	defaults.Set(&s.ReadBodyTimeout, DefaultReadBodyTimeout)
	defaults.Set(&s.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&s.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&s.ReadinessDelay, DefaultReadinessDelay)
	defaults.Set(&s.CloseDelay, DefaultCloseDelay)
	defaults.Set(&s.RetryAfter, DefaultRetryAfter)
	return s
}

// Server is the callers' HTTP server of one entry VM.
type Server struct {
	settings Settings
	requests Requests
	jobs     Jobs
	gate     *filter.Gate
	counters filter.Counters
	bytes    byteBudget
	log      logrus.FieldLogger
	leaving  atomic.Bool // readiness is false; answers close their connections
	http     *http.Server
}

// New returns a server that hands requests to requests and jobs to jobs, and
// shares gate with the chain. What net/http logs goes to log, too.
func New(settings Settings, requests Requests, jobs Jobs, gate *filter.Gate, counters filter.Counters, log logrus.FieldLogger) *Server {
	settings = settings.withDefaults()
	s := &Server{
		settings: settings,
		requests: requests,
		jobs:     jobs,
		gate:     gate,
		counters: counters,
		bytes:    byteBudget{max: settings.MaxTotalBodyBytes},
		log:      log,
	}
	s.http = &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: settings.ReadHeaderTimeout,
		IdleTimeout:       settings.IdleTimeout,
		MaxHeaderBytes:    settings.MaxHeaderBytes,
		ErrorLog:          stdlog.New(httpErrors{log}, "", 0),
	}
	return s
}

// Serve answers the connections of l until Drain. It returns nil then.
func (s *Server) Serve(l net.Listener) error {
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("front: %w", err)
}

// Drain stops the server without cutting off a request: readiness turns
// false; after ReadinessDelay new work is refused; when the last request has
// finished, connections without a request are closed. When ctx ends first,
// what is left is closed and the error of ctx returned.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.event("drain_started").Info("readiness is false")
	wait(ctx, s.settings.ReadinessDelay)
	s.gate.Drain()
	s.event("drain_refusing").Info("new requests are refused")
	err := s.gate.Wait(ctx)
	if err == nil {
		s.event("drain_idle").Info("the last request has finished")
		wait(ctx, s.settings.CloseDelay)
		err = s.http.Shutdown(ctx)
	}
	if err != nil {
		s.event("drain_cut_off").WithField("cause", err).Error("the drain's time is over")
		_ = s.http.Close()
		return fmt.Errorf("front: drain with %d requests in flight: %w", s.gate.InFlight(), err)
	}
	s.event("drain_done").Info("all connections are closed")
	return nil
}

func (s *Server) event(name string) logrus.FieldLogger {
	return s.log.WithFields(logrus.Fields{"event": name, "in_flight": s.gate.InFlight()})
}

// httpErrors passes on what net/http logs, each as one event.
type httpErrors struct{ log logrus.FieldLogger }

// Write implements io.Writer.
func (e httpErrors) Write(line []byte) (int, error) {
	e.log.WithField("event", "http_server").Warn(strings.TrimSpace(string(line)))
	return len(line), nil
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Ready reports whether a balancer should send requests here.
func (s *Server) Ready() bool {
	return !s.leaving.Load() && s.gate.State() == filter.GateOpen
}

// Leaving reports whether Drain was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// byteBudget bounds the bytes of bodies held at once.
type byteBudget struct {
	max  int64
	used atomic.Int64
}

func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) give(n int64) { b.used.Add(-n) }
