// Package jobapi serves the HTTP API for clients: submission and cancellation of jobs,
// their states, and the number of pending jobs of a queue. Any machine answers for any
// job.
package jobapi

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/replica"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Codec decodes and encodes the bodies and headers of clients' requests and answers.
type Codec struct {
	Remaining     func(http.Header) (time.Duration, bool) // time for which the client waits for the answer
	DecodeJob     func([]byte) (*work.Job, error)
	EncodeState   func(work.State) []byte
	EncodePending func(int) ([]byte, error)
	EncodeError   func(reason string, retryAfter time.Duration) ([]byte, error)
	WorkspaceKey  func(http.Header) (queue.KeyDigest, bool) // the client's key, if it sent one
}

// Store makes records durable. *intake.Intake implements it. maxWait bounds the wait
// for a store that is unavailable.
type Store interface {
	Store(ctx context.Context, record platform.Record, maxWait time.Duration) error
}

// API answers clients' requests.
type API struct {
	Codec          Codec
	CurrentConfig  func() *queue.Configuration // nil before the first configuration
	RequireKeys    bool                        // clients need a key even if the configuration lists no workspaces
	KeysOutdated   func() bool                 // the configuration is too old to tell which keys are valid; nil: never
	Replica        *replica.Replica
	Sync           func(ctx context.Context) error // reads everything that the store holds at the time of the call
	Store          Store
	CutOff         func() bool // this machine reaches neither the store nor a leader; nil: never
	Leaving        func() bool // the process is about to stop, so clients should connect elsewhere
	MaxRecordBytes int         // the store's limit of a job's record with its key, in bytes; 0: none is known
	Logger         *logrus.Entry
}

// Timing of answers.
const (
	// defaultClientTimeout is how long a client is assumed to wait if its request doesn't
	// state a time.
	defaultClientTimeout = 3 * time.Second
	// responseMargin is the part of the client's time that is reserved for sending the
	// answer.
	responseMargin = 50 * time.Millisecond
	// defaultRetryAfter is the Retry-After of requests that the store didn't accept.
	// Outages of the store last seconds, and the load balancer sends a retry to another
	// machine.
	defaultRetryAfter = time.Second
	// retryObjectiveShare is the share of a job's latency objective after which its client
	// is asked to retry while the store is unavailable, and maxRetryAfter bounds that
	// time. Clients retry about four times, so their retries lie within two thirds of the
	// objective.
	retryObjectiveShare = 1.0 / 6
	maxRetryAfter       = 3 * time.Second
	// storeWaitClientShare and storeWaitObjectiveShare bound the wait for an unavailable
	// store, as shares of the client's time and of the job's latency objective. Outages
	// last seconds. A client that is refused immediately uses up its few retries before
	// the store is back, and one that waits too long learns too late that it should try
	// another machine.
	storeWaitClientShare    = 0.4
	storeWaitObjectiveShare = 0.25
)

// response is an answer that has not been written yet.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // 0: no Retry-After header
}

// request is a client's request with what the stages have determined about it.
type request struct {
	*http.Request
	config    *queue.Configuration
	queue     *queue.Queue
	arrivedAt time.Time
	subpath   string           // the path after the queue's prefix
	workspace *queue.Workspace // nil if the client needs no key and sent none that is known
}

// stage handles one step of a request. It returns nil to pass the request to the next
// stage.
type stage func(*request) *response

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	ctx, cancel := context.WithTimeout(hr.Context(), a.responseTimeout(hr.Header))
	defer cancel()
	r := &request{Request: hr.WithContext(ctx), arrivedAt: time.Now()}
	for _, next := range []stage{a.requireConfig, a.findQueue, a.identify, a.handle} {
		if resp := next(r); resp != nil {
			a.writeResponse(w, resp)
			return
		}
	}
}

// responseTimeout returns the time within which the request must be answered.
func (a *API) responseTimeout(h http.Header) time.Duration {
	wait, ok := a.Codec.Remaining(h)
	if !ok {
		wait = defaultClientTimeout
	}
	return max(wait-responseMargin, responseMargin)
}

// requireConfig refuses the request while there is no configuration.
func (a *API) requireConfig(r *request) *response {
	r.config = a.CurrentConfig()
	if r.config == nil {
		return a.refuse(http.StatusServiceUnavailable, "no configuration yet", defaultRetryAfter)
	}
	return nil
}

// findQueue finds the queue that the request's host and path select.
func (a *API) findQueue(r *request) *response {
	r.queue = r.config.Match(r.Host, r.URL.Path)
	if r.queue == nil {
		return a.refuse(http.StatusNotFound, "no such queue", 0)
	}
	r.subpath = r.URL.Path[len(r.queue.PathPrefix):]
	return nil
}

// handle answers a request according to its method and path.
func (a *API) handle(r *request) *response {
	if r.Method == http.MethodGet && r.subpath == "" {
		return a.pendingCount(r)
	}
	id, err := work.ParseID(r.subpath)
	if err != nil {
		return a.refuse(http.StatusBadRequest, "the job's id is not 16 hexadecimal digits", 0)
	}
	switch r.Method {
	case http.MethodPost:
		return a.submitJob(r, id)
	case http.MethodGet:
		return a.jobState(r, id)
	case http.MethodDelete:
		return a.cancelJob(r, id)
	default:
		return a.refuse(http.StatusMethodNotAllowed, "GET, POST and DELETE are answered", 0)
	}
}

// refuse returns a refusal with its reason. A retryAfter of 0 names no time to retry.
func (a *API) refuse(status int, reason string, retryAfter time.Duration) *response {
	body, err := a.Codec.EncodeError(reason, retryAfter)
	if err != nil {
		a.Logger.WithError(err).Error("reason of a refusal not encoded")
	}
	return &response{status: status, body: body, retryAfter: retryAfter}
}
