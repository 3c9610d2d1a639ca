// Package operator implements the HTTP service for operators: it publishes
// records, shows the configuration in force and explains the state of jobs. It
// has a listener of its own, separate from that for callers.
package operator

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/counter"
	"github.com/skylarklock/skylarklock/internal/settings"
)

// CounterGroup is the name of the service's counter group.
const CounterGroup = "operator"

// DefaultPublishTimeout is the default of Options.PublishTimeout.
const DefaultPublishTimeout = 10 * time.Second

// Config provides the configuration records. *config.StateMachine implements it.
type Config interface {
	Record(k config.Key) (api.RecordState, bool)
	Records(kind api.Kind) []api.RecordState
	UnreadableRecords() []api.RecordState
}

// Publisher publishes records. *config.Publisher implements it and documents the
// errors.
type Publisher interface {
	PublishWithID(ctx context.Context, id string, rec api.Record) (api.Revision, error)
}

// Explainer explains the state of jobs and tasks. Its methods return false for
// unknown jobs and tasks.
type Explainer interface {
	ExplainJob(id api.JobID) (api.Explanation, bool)
	ExplainTask(id api.TaskID) (api.Explanation, bool)
}

// Reporter reports the state of the entry VM.
type Reporter interface {
	Status() api.Status
}

// Dependencies holds what the service reads from and writes to. All fields except
// Vars are required.
type Dependencies struct {
	Config    Config
	Publisher Publisher
	Explainer Explainer
	Reporter  Reporter
	Counters  *counter.Set
	Vars      map[string]expvar.Var // expvar variables of this node, by name; may be nil
	Logger    *logrus.Entry
}

// Options sets limits of the service. Zero values are replaced by defaults.
type Options struct {
	MaxBodyBytes   int64         // maximum size of the body of a publish request
	PublishTimeout time.Duration // longer publications are answered as unsettled; default DefaultPublishTimeout
}

type service struct {
	Dependencies
	options Options
}

// NewHandler returns the HTTP handler of the service.
func NewHandler(deps Dependencies, o Options) http.Handler {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = settings.Default().Limits.MaxOperatorBytes
	}
	if o.PublishTimeout == 0 {
		o.PublishTimeout = DefaultPublishTimeout
	}
	s := &service{Dependencies: deps, options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.publish)
	mux.HandleFunc("GET /v1/config", s.records)
	mux.HandleFunc("GET /v1/config/{kind}/{name}", s.record)
	mux.HandleFunc("GET /v1/unreadable", s.unreadable)
	mux.HandleFunc("GET /v1/status", s.status)
	mux.HandleFunc("GET /v1/explain/job/{id}", s.explainJob)
	mux.HandleFunc("GET /v1/explain/task/{job}/{index}", s.explainTask)
	mux.HandleFunc("GET /debug/vars", s.vars)
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	return mux
}

// NewServer returns an HTTP server for h with the timeouts and header limit of
// limits.
func NewServer(h http.Handler, limits settings.Limits) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: limits.ReadHeaderTimeout.Std(),
		ReadTimeout:       limits.ReadTimeout.Std(),
		WriteTimeout:      limits.WriteTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
}
