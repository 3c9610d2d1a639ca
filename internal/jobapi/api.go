// Package jobapi answers clients: it takes jobs and cancels and tells where
// jobs stand. Any machine answers for any job.
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

// Codec are the bodies and headers that clients send and get.
type Codec struct {
	Remaining     func(http.Header) (time.Duration, bool) // how long the client waits for the answer
	DecodeJob     func([]byte) (*work.Job, error)
	EncodeState   func(work.State) []byte
	EncodePending func(int) ([]byte, error)
	EncodeError   func(reason string, retryAfter time.Duration) ([]byte, error)
}

// Store makes records durable; *intake.Intake is one.
type Store interface {
	Store(ctx context.Context, record platform.Record, patience time.Duration) error
}

// API answers clients' requests.
type API struct {
	Codec         Codec
	CurrentConfig func() *queue.Configuration // nil before the first configuration
	Replica       *replica.Replica
	Sync          func(ctx context.Context) error // reads what the store holds by now
	Store         Store
	CutOff        func() bool // this machine reaches nobody who could store anything; nil: never
	Leaving       func() bool // the process ends soon: clients should go elsewhere
	Logger        *logrus.Entry
}

// Timing of answers.
const (
	// defaultWait is how long a client waits that doesn't say.
	defaultWait = 3 * time.Second
	// answerMargin is kept of the client's time, for the answer's way back.
	answerMargin = 50 * time.Millisecond
	// busyRetryAfter is named where the store took no job: its outages last
	// seconds, and the balancer leads a retry to another machine.
	busyRetryAfter = time.Second
	// retryShare is the share of a job's latency objective after which its client is
	// asked to come back while the store takes nothing, and retryMost the longest
	// such time. Clients try about four times more; so their tries lie in two thirds of
	// the objective.
	retryShare = 1.0 / 6
	retryMost  = 3 * time.Second
	// storePatience is the share of a client's time for which a store that
	// takes nothing is waited for, and objectivePatience the share of the
	// job's latency objective. Outages last seconds; a client that is
	// refused at once runs out of its few tries before the store is back,
	// and one that waits too long learns too late that it should try
	// elsewhere.
	storePatience     = 0.4
	objectivePatience = 0.25
)

// reply is an answer before it is written.
type reply struct {
	status     int
	body       []byte
	retryAfter time.Duration // 0: none is named
}

// request is what the stages learn of a client's request.
type request struct {
	*http.Request
	table *queue.Configuration
	queue *queue.Queue
	rest  string // of the path behind the queue's prefix
}

// stage is one step of the chain; it returns nil to pass the request on.
type stage func(*request) *reply

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	ctx, cancel := context.WithTimeout(hr.Context(), a.patience(hr.Header))
	defer cancel()
	r := &request{Request: hr.WithContext(ctx)}
	for _, next := range []stage{a.configured, a.locate, a.act} {
		if answer := next(r); answer != nil {
			a.write(w, answer)
			return
		}
	}
}

// patience returns how long the answer may take.
func (a *API) patience(h http.Header) time.Duration {
	wait, ok := a.Codec.Remaining(h)
	if !ok {
		wait = defaultWait
	}
	return max(wait-answerMargin, answerMargin)
}

// configured refuses while there is no configuration.
func (a *API) configured(r *request) *reply {
	r.table = a.CurrentConfig()
	if r.table == nil {
		return a.refuse(http.StatusServiceUnavailable, "no configuration yet", busyRetryAfter)
	}
	return nil
}

// locate finds the queue.
func (a *API) locate(r *request) *reply {
	r.queue = r.table.Match(r.Host, r.URL.Path)
	if r.queue == nil {
		return a.refuse(http.StatusNotFound, "no such queue", 0)
	}
	r.rest = r.URL.Path[len(r.queue.PathPrefix):]
	return nil
}

// act answers by method.
func (a *API) act(r *request) *reply {
	if r.Method == http.MethodGet && r.rest == "" {
		return a.pending(r)
	}
	id, err := work.ParseID(r.rest)
	if err != nil {
		return a.refuse(http.StatusBadRequest, "the job's id is not 16 hexadecimal digits", 0)
	}
	switch r.Method {
	case http.MethodPost:
		return a.submit(r, id)
	case http.MethodGet:
		return a.state(r, id)
	case http.MethodDelete:
		return a.cancel(r, id)
	default:
		return a.refuse(http.StatusMethodNotAllowed, "GET, POST and DELETE are answered", 0)
	}
}

// refuse returns a refusal with its reason.
func (a *API) refuse(status int, reason string, retryAfter time.Duration) *reply {
	body, err := a.Codec.EncodeError(reason, retryAfter)
	if err != nil {
		a.Logger.WithError(err).Error("reason of a refusal not encoded")
	}
	return &reply{status: status, body: body, retryAfter: retryAfter}
}
