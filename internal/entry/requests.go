package entry

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/config"
	"github.com/skylarklock/skylarklock/internal/filter"
	"github.com/skylarklock/skylarklock/internal/router"
)

// slots lets the filter chain take slots from the router.
type slots struct {
	router *router.Router
}

// Acquire implements filter.Router.
func (s slots) Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (filter.Ticket, error) {
	t, err := s.router.Acquire(ctx, service, class, caller, exclude)
	if err != nil {
		return nil, err
	}
	return ticket{t}, nil
}

// FreeSlots implements filter.Router.
func (s slots) FreeSlots(service string) int {
	return s.router.Free(service)
}

// Check implements filter.Router.
func (s slots) Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal {
	return s.router.Check(ctx, service, class, caller)
}

// ticket lets the filter chain give a slot back to the router.
type ticket struct {
	*router.Ticket
}

// Done implements filter.Ticket.
func (t ticket) Done(r filter.Result) {
	if !r.Sent {
		t.Release()
		return
	}
	t.Ticket.Done(router.Result{Err: r.Err, Status: r.Status, Latency: r.Latency, Feedback: r.Feedback})
}

// records lets the filter chain read the records in force.
type records struct {
	configs *config.StateMachine
}

// Service implements filter.Services.
func (r records) Service(name string) (api.ServiceSpec, bool) {
	return r.configs.Service(name)
}

// CallerLimits implements filter.Limits.
func (r records) CallerLimits(caller string) api.LimitsSpec {
	return r.configs.Limits(caller)
}

// Requests answers other entry VMs' hand-overs. Its methods are called by
// net/rpc.
type Requests struct {
	chain *filter.Chain
	wait  time.Duration // longest that a hand-over may take
}

// Names of the peers' service and its methods.
const (
	requestsService = "Requests"
	methodForward   = requestsService + ".Forward"
	methodAnswerOf  = requestsService + ".AnswerOf"
)

// errNotTaking refuses a hand-over unread: the entry VM drains or is not ready,
// and the sender may ask another.
var errNotTaking = errors.New("entry: takes no hand-overs")

// Forward runs a request that another entry VM handed over.
func (r *Requests) Forward(req *filter.ForwardRequest, reply *filter.ForwardReply) error {
	if r.chain.Gate().State() != filter.GateOpen {
		return errNotTaking
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(req.Remaining, r.wait))
	defer cancel()
	*reply = *r.chain.ServeForward(ctx, req)
	return nil
}

// AnswerOf tells what became of a request that this entry VM marked.
func (r *Requests) AnswerOf(query *filter.AnswerQuery, reply *filter.AnswerReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(query.Wait+r.wait, r.wait))
	defer cancel()
	*reply = *r.chain.AnswerOf(ctx, query)
	return nil
}
