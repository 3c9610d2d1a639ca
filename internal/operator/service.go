// Package operator is the HTTP service for operators: it publishes records,
// reads the configuration in force, and explains what the system did. It
// listens apart from the callers.
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

// CounterGroup is the group of the service's counters.
const CounterGroup = "operator"

// DefaultPublishTimeout is how long one publication may take before it is answered
// as unsettled, unless Options say otherwise.
const DefaultPublishTimeout = 10 * time.Second

// Config reads the records in force; *config.StateMachine is one.
type Config interface {
	Record(k config.Key) (api.RecordState, bool)
	Records(kind api.Kind) []api.RecordState
	UnreadableRecords() []api.RecordState
}

// Publisher publishes records; *config.Publisher is one, and says what its
// errors mean.
type Publisher interface {
	PublishWithID(ctx context.Context, id string, rec api.Record) (api.Revision, error)
}

// Explainer explains jobs and tasks. It returns false for those it doesn't
// know.
type Explainer interface {
	ExplainJob(id api.JobID) (api.Explanation, bool)
	ExplainTask(id api.TaskID) (api.Explanation, bool)
}

// Reporter reports the state of the entry VM.
type Reporter interface {
	Status() api.Status
}

// Dependencies are what the service reads from and writes to. All are needed.
type Dependencies struct {
	Config    Config
	Publisher Publisher
	Explainer Explainer
	Reporter  Reporter
	Counters  *counter.Set
	Vars      map[string]expvar.Var // further variables of this node, by name; may be nil
	Logger    *logrus.Entry
}

// Options bound the service. Zero values take the defaults.
type Options struct {
	MaxBodyBytes   int64         // of a published record with its envelope
	PublishTimeout time.Duration // see PublishTimeout
}

type service struct {
	Dependencies
	options Options
}

// NewHandler returns the service's handler.
func NewHandler(p Dependencies, o Options) http.Handler {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = settings.Default().Limits.MaxOperatorBytes
	}
	if o.PublishTimeout == 0 {
		o.PublishTimeout = DefaultPublishTimeout
	}
	s := &service{Dependencies: p, options: o}
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

// NewServer returns a server for the service's listener, with the timeouts
// and bounds of limits.
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
