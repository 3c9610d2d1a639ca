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

// routerAdapter connects the filter chain to the router.
type routerAdapter struct {
	router *router.Router
}

// Acquire implements filter.Router.
func (a routerAdapter) Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (filter.Ticket, error) {
	t, err := a.router.Acquire(ctx, service, class, caller, exclude)
	if err != nil {
		return nil, err
	}
	return ticketAdapter{t}, nil
}

// FreeSlots implements filter.Router.
func (a routerAdapter) FreeSlots(service string) int {
	return a.router.Free(service)
}

// Check implements filter.Router.
func (a routerAdapter) Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal {
	return a.router.Check(ctx, service, class, caller)
}

// ticketAdapter returns a slot of the filter chain to the router.
type ticketAdapter struct {
	*router.Ticket
}

// Done implements filter.Ticket.
func (t ticketAdapter) Done(r filter.Result) {
	if !r.Sent {
		t.Release()
		return
	}
	t.Ticket.Done(router.Result{Err: r.Err, Status: r.Status, Latency: r.Latency, Feedback: r.Feedback})
}

// configAdapter provides the filter chain with the records in force.
type configAdapter struct {
	configState *config.StateMachine
}

// Service implements filter.Services.
func (a configAdapter) Service(name string) (api.ServiceSpec, bool) {
	return a.configState.Service(name)
}

// CallerLimits implements filter.Limits.
func (a configAdapter) CallerLimits(caller string) api.LimitsSpec {
	return a.configState.Limits(caller)
}

// Requests serves requests that other entry VMs hand over. Its methods are called
// by net/rpc.
type Requests struct {
	chain   *filter.Chain
	maxWait time.Duration // maximum duration of a handover
}

// Names of the service and its methods.
const (
	requestsService = "Requests"
	methodForward   = requestsService + ".Forward"
	methodAnswerOf  = requestsService + ".AnswerOf"
)

// errHandoversRefused refuses a handover before it is processed, because this entry
// VM drains or is not ready. The sender may try another entry VM. The sender
// compares the text, so it must not change.
var errHandoversRefused = errors.New("entry: takes no hand-overs")

// Forward processes a request that another entry VM has handed over.
func (r *Requests) Forward(req *filter.ForwardRequest, reply *filter.ForwardReply) error {
	if r.chain.Gate().State() != filter.GateOpen {
		return errHandoversRefused
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(req.Remaining, r.maxWait))
	defer cancel()
	*reply = *r.chain.ServeForward(ctx, req)
	return nil
}

// AnswerOf returns the outcome of a request that this entry VM has marked.
func (r *Requests) AnswerOf(query *filter.AnswerQuery, reply *filter.AnswerReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(query.Wait+r.maxWait, r.maxWait))
	defer cancel()
	*reply = *r.chain.AnswerOf(ctx, query)
	return nil
}
