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

// Deps is what the chain needs from the rest of the entry VM.
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

// Router chooses endpoints and holds their slots.
type Router interface {
	// Acquire waits in the router's bounded queue for a slot of service,
	// not at an endpoint in exclude. The error is a *api.Refusal.
	Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (Ticket, error)
	// FreeSlots returns the slots of service that this entry VM could give now.
	FreeSlots(service string) int
	// Check returns the refusal that Acquire would give at once, else nil.
	Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal
}

// Ticket is one slot at one endpoint, held until Done.
type Ticket interface {
	Endpoint() api.Endpoint
	Epoch() api.Epoch
	// Valid reports whether the hold still stands at now; it is asked
	// immediately before sending.
	Valid(now time.Time) bool
	// Done gives the slot back. It is called exactly once.
	Done(Result)
}

// Result tells the router how an attempt ended.
type Result struct {
	Sent     bool                   // false: the slot was not used
	Err      *platform.AttemptError // nil: the endpoint answered in full
	Status   int                    // of the answer; 0 without one
	Feedback platform.Feedback
	Latency  time.Duration
}

// PeerLoad is what an entry VM of this data centre last said of its room for
// a service.
type PeerLoad struct {
	Node      api.NodeID
	FreeSlots int // slots that are free in its part
}

// Peers reaches other entry VMs. Nothing is repeated by it.
type Peers interface {
	// Candidates lists the other entry VMs of this data centre that have
	// room for service.
	Candidates(service string) []PeerLoad
	// EntryVMs lists the live entry VMs of another data centre, best first.
	EntryVMs(dc api.DataCentre) []api.NodeID
	// Forward hands a request over. Errors are of type *PeerError.
	Forward(ctx context.Context, node api.NodeID, req *ForwardRequest) (*ForwardReply, error)
	// AnswerOf asks the writer of a mark what became of the request, waiting
	// for it until ctx ends.
	AnswerOf(ctx context.Context, node api.NodeID, query *AnswerQuery) (*AnswerReply, error)
}

// PeerError is a hand-over without a reply.
type PeerError struct {
	Node  api.NodeID
	Sent  bool // the peer may have got it
	Cause error
}

// Error implements error.
func (e *PeerError) Error() string {
	return fmt.Sprintf("peer %s (sent %t): %v", e.Node, e.Sent, e.Cause)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Cause }

// Keys is the agreement on non-idempotent requests; *reqkey.Keys implements it.
type Keys interface {
	Self() journal.Origin
	Lookup(id string) (reqkey.State, bool)
	Mark(ctx context.Context, id string, digest uint64) (reqkey.Mark, error)
	RecordOutcome(ctx context.Context, mark reqkey.Mark, answer *api.Answer, refusal *api.Refusal) error
	Release(ctx context.Context, mark reqkey.Mark) error
}

var _ Keys = (*reqkey.Keys)(nil)

// Services finds the record of a service in force.
type Services interface {
	Service(name string) (api.ServiceSpec, bool)
}

// Limits finds the limits of a caller: its record, else that of "*", else
// the zero LimitsSpec, which bounds nothing.
type Limits interface {
	CallerLimits(caller string) api.LimitsSpec
}

// Counters counts by reason. Groups are the Group constants.
type Counters interface {
	Inc(group string, reason api.Reason)
}

// Groups of counters.
const (
	GroupRefused  = "refused"  // final answers not-run, by reason
	GroupUnknown  = "unknown"  // final answers unknown, by reason
	GroupRetried  = "retried"  // retries made, by the failure's reason
	GroupStopped  = "stopped"  // failures not retried, by why not
	GroupRepeat   = "repeat"   // repeats of an id, by what they got
	GroupForward  = "forward"  // hand-overs between entry VMs
	GroupJournal  = "journal"  // outcomes and releases not journaled
	GroupCallers  = "callers"  // callers that left early
	GroupAnswered = "answered" // whole answers
)

// Reasons counted besides those of api.
const (
	CountJoined    api.Reason = "joined"    // GroupRepeat: shared the run in flight
	CountKept      api.Reason = "kept"      // GroupRepeat: got the answer kept here
	CountFromPeer  api.Reason = "from_peer" // GroupRepeat: got the answer of the mark's writer
	CountJournaled api.Reason = "journaled" // GroupRepeat: got the journaled answer
	CountHome      api.Reason = "home"      // GroupForward: to the home data centre
	CountFreePeer  api.Reason = "room"      // GroupForward: to a peer with room
	CountRan       api.Reason = "ran"       // GroupAnswered
	CountPanic     api.Reason = "panic"     // GroupUnknown: the handler panicked
)
