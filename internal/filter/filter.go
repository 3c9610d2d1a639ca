// Package filter is the chain that handles every request on an entry VM:
// admit, identify, find home, deduplicate, limit, mark, attempt.
//
// It decides what a caller is answered. Each final answer is one of three: the
// complete answer of an endpoint (ran), a refusal of a request that certainly
// did not run (not-run), or a refusal of a request that may have run
// (unknown). A non-idempotent request is answered not-run only by the writer
// of its first mark. See docs/design/requests.md.
package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
	"github.com/skylarklock/skylarklock/internal/reqkey"
	"github.com/skylarklock/skylarklock/internal/retry"
)

// Handler answers one request. The error is a *api.Refusal; any other error is
// reported to the caller as unknown, internal.
type Handler func(ctx context.Context, x *Exchange) (*api.Answer, error)

// Filter wraps a Handler.
type Filter func(next Handler) Handler

// Exchange is one request in the chain. Only one goroutine may use it at a
// time.
type Exchange struct {
	Request       *api.Request
	Header        http.Header // of the caller; read only until identify is done
	Spec          api.ServiceSpec
	Digest        uint64
	Received      time.Time    // by the first entry VM, on the local clock
	Deadline      time.Time    // on the local clock
	Hops          int          // handovers between entry VMs so far
	Mark          *reqkey.Mark // under which a non-idempotent request is sent
	SingleAttempt bool         // one attempt for another entry VM, which controls the retries
}

// Settings bounds the chain. Zero fields are replaced by the defaults.
type Settings struct {
	Node              api.NodeID
	DataCentre        api.DataCentre
	DataCentres       []api.DataCentre // of the whole cell; the same on all entry VMs
	MaxInFlight       int              // requests on this entry VM
	CallerShare       float64          // maximum share of MaxInFlight for one caller under contention
	BatchShare        float64          // maximum share of MaxInFlight for batch requests
	MaxKeptAnswers    int              // finished requests whose results are kept
	MaxKeptBytes      int64            // total size of the kept answers
	DefaultTimeout    time.Duration    // when neither caller nor service sets one
	MaxTimeout        time.Duration    // maximum that a caller may set
	RetryAfter        time.Duration    // retry delay in refusals that compute none
	AnswerGrace       time.Duration    // how long a caller waits past the deadline for the final answer
	JournalTimeout    time.Duration    // of the appends of outcomes and releases, which no caller waits for
	MaxJournalAppends int              // outcomes and releases appended at once
	ReleaseTimeout    time.Duration    // how long a peer that asks about an unused mark waits for its release
	MarkRetention     time.Duration    // how long marks are kept; a non-idempotent request is not sent once half of this has elapsed since its receipt
}

// Defaults of Settings.
const (
	DefaultMaxInFlight       = 4096
	DefaultCallerShare       = 0.25
	DefaultBatchShare        = 0.5
	DefaultMaxKeptAnswers    = 16384
	DefaultMaxKeptBytes      = 16 << 20
	DefaultTimeout           = 30 * time.Second
	DefaultMaxTimeout        = 10 * time.Minute
	DefaultRetryAfter        = time.Second
	DefaultAnswerGrace       = 50 * time.Millisecond
	DefaultJournalTimeout    = 10 * time.Second
	DefaultMaxJournalAppends = 4096
	DefaultReleaseTimeout    = 200 * time.Millisecond
	DefaultMarkRetention     = time.Hour
)

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.MaxInFlight, DefaultMaxInFlight)
	defaults.Set(&s.CallerShare, DefaultCallerShare)
	defaults.Set(&s.BatchShare, DefaultBatchShare)
	defaults.Set(&s.MaxKeptAnswers, DefaultMaxKeptAnswers)
	defaults.Set(&s.MaxKeptBytes, DefaultMaxKeptBytes)
	defaults.Set(&s.DefaultTimeout, DefaultTimeout)
	defaults.Set(&s.MaxTimeout, DefaultMaxTimeout)
	defaults.Set(&s.RetryAfter, DefaultRetryAfter)
	defaults.Set(&s.AnswerGrace, DefaultAnswerGrace)
	defaults.Set(&s.JournalTimeout, DefaultJournalTimeout)
	defaults.Set(&s.MaxJournalAppends, DefaultMaxJournalAppends)
	defaults.Set(&s.ReleaseTimeout, DefaultReleaseTimeout)
	defaults.Set(&s.MarkRetention, DefaultMarkRetention)
	return s
}

// Chain is the filter chain of one entry VM. It is safe for concurrent use.
type Chain struct {
	settings Settings
	deps     Deps
	gate     *Gate
	requests *requestTable
	limits   *limiter
	budget   *retry.Budget
	journal  *backgroundAppends

	callerHandler  Handler // for requests of callers
	homeHandler    Handler // for requests handed over to their home data centre
	attemptHandler Handler // for single attempts made for another entry VM
}

// New creates the chain.
func New(settings Settings, deps Deps) *Chain {
	settings = settings.withDefaults()
	if deps.Log == nil {
		deps.Log = logrus.StandardLogger()
	}
	c := &Chain{
		settings: settings,
		deps:     deps,
		gate:     NewGate(settings.MaxInFlight),
		requests: newRequestTable(settings.MaxKeptAnswers, settings.MaxKeptBytes),
		limits:   newLimiter(settings, deps.Limits),
		budget:   retry.NewBudget(),
		journal:  newBackgroundAppends(settings.MaxJournalAppends, settings.JournalTimeout),
	}
	c.callerHandler = assemble(c.attempt,
		c.answer,
		c.admit,
		c.identify,
		c.findHome,
		c.deduplicate,
		c.limit,
		c.mark,
	)
	c.homeHandler = assemble(c.attempt,
		c.answer,
		c.admit,
		c.acceptForwarded,
		c.deduplicate,
		c.limit,
		c.mark,
	)
	c.attemptHandler = assemble(c.attempt,
		c.answer,
		c.admit,
		c.acceptForwarded,
	)
	return c
}

// assemble wraps last in filters; the first filter is the outermost.
func assemble(last Handler, filters ...Filter) Handler {
	h := last
	for i := len(filters) - 1; i >= 0; i-- {
		h = filters[i](h)
	}
	return h
}

// Handle answers a caller's request. The error is always a *api.Refusal. The
// context ends when the caller leaves.
func (c *Chain) Handle(ctx context.Context, x *Exchange) (*api.Answer, error) {
	return c.callerHandler(ctx, x)
}

// Gate returns the gate that admits requests to the chain.
func (c *Chain) Gate() *Gate { return c.gate }

// Close waits until the outcomes and releases in progress have been journaled
// or have failed, at most until ctx ends.
func (c *Chain) Close(ctx context.Context) error { return c.journal.wait(ctx) }
