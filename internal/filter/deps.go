package filter

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// Deps holds the parts of the entry VM that the chain uses.
type Deps struct {
	Router   Router
	Endpoint Endpoint
	Peers    Peers
	Keys     Keys
	Services Services
	Limits   Limits
	Counters Counters
	Now      func() time.Time   // monotonic local clock
	Log      logrus.FieldLogger // nil: logrus's standard logger
}

// Endpoint sends one attempt.
type Endpoint = platform.Endpoint

// Router selects endpoints and manages their slots.
type Router interface {
	// Acquire waits in the router's bounded queue for a slot of service, at an
	// endpoint that is not in exclude. The error is a *api.Refusal.
	Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (Ticket, error)
	// FreeSlots returns the number of slots of service that this entry VM can
	// assign now.
	FreeSlots(service string) int
	// Check returns the refusal that Acquire would return immediately, or nil.
	Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal
}

// Ticket is one slot at one endpoint, held until Done.
type Ticket interface {
	Endpoint() api.Endpoint
	Epoch() api.Epoch
	// Valid reports whether the hold is still valid at now. It is called
	// immediately before sending.
	Valid(now time.Time) bool
	// Done releases the slot. It is called exactly once.
	Done(Result)
}

// Result is the outcome of an attempt, for the router.
type Result struct {
	Sent     bool                   // false: the slot was not used
	Err      *platform.AttemptError // nil: the endpoint answered completely
	Status   int                    // of the answer; 0 without one
	Feedback platform.Feedback
	Latency  time.Duration
}

// PeerLoad is the latest report of an entry VM of this data centre of its free
// slots for a service.
type PeerLoad struct {
	Node      api.NodeID
	FreeSlots int // at the endpoints that it holds
}

// Peers calls other entry VMs. It does not retry.
type Peers interface {
	// Candidates lists the other entry VMs of this data centre that have free
	// slots for service.
	Candidates(service string) []PeerLoad
	// EntryVMs lists the live entry VMs of another data centre, best first.
	EntryVMs(dc api.DataCentre) []api.NodeID
	// Forward hands a request over. Errors are of type *PeerError.
	Forward(ctx context.Context, node api.NodeID, req *ForwardRequest) (*ForwardReply, error)
	// AnswerOf asks the writer of a mark for the outcome of the request and
	// waits for it until ctx ends.
	AnswerOf(ctx context.Context, node api.NodeID, query *AnswerQuery) (*AnswerReply, error)
}

// PeerError is the error of a handover without a reply.
type PeerError struct {
	Node  api.NodeID
	Sent  bool // the peer may have received the request
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s (sent %t): %v", e.Node, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// Keys proposes and looks up the marks of non-idempotent requests;
// *reqkey.Keys implements it.
type Keys interface {
	Self() journal.Origin
	Lookup(id string) (reqkey.State, bool)
	Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error)
	RecordOutcome(ctx context.Context, mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) error
	Release(ctx context.Context, mark reqkey.Mark) error
}

var _ Keys = (*reqkey.Keys)(nil)

// Services returns the record of a service in force.
type Services interface {
	Service(name string) (api.ServiceSpec, bool)
}

// Limits returns the limits of a caller: those of its record, else of the
// record "*", else the zero LimitsSpec, which limits nothing.
type Limits interface {
	CallerLimits(caller string) api.LimitsSpec
}

// Counters counts by group and reason. Groups are the Group constants.
type Counters interface {
	Inc(group string, reason api.Reason)
}

// Groups of counters.
const (
	GroupRefused  = "refused"  // final answers not-run, by reason
	GroupUnknown  = "unknown"  // final answers unknown, by reason
	GroupRetried  = "retried"  // retries, by the failure's reason
	GroupStopped  = "stopped"  // failures that were not retried, by the reason for that
	GroupRepeat   = "repeat"   // repeats of an ID, by the source of their answer
	GroupForward  = "forward"  // handovers between entry VMs
	GroupJournal  = "journal"  // outcomes and releases not journaled
	GroupCallers  = "callers"  // callers that left early
	GroupAnswered = "answered" // complete answers
)

// Reasons counted besides those of api.
const (
	CountJoined    api.Reason = "joined"    // GroupRepeat: shared the run in flight
	CountKept      api.Reason = "kept"      // GroupRepeat: got the answer kept here
	CountFromPeer  api.Reason = "from_peer" // GroupRepeat: got the answer from the writer of the mark
	CountJournaled api.Reason = "journaled" // GroupRepeat: got the journaled answer
	CountHome      api.Reason = "home"      // GroupForward: to the home data centre
	CountFreePeer  api.Reason = "room"      // GroupForward: to a peer with free slots
	CountRan       api.Reason = "ran"       // GroupAnswered
	CountPanic     api.Reason = "panic"     // GroupUnknown: the handler panicked
)
