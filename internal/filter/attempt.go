package filter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/retry"
)

const (
	// BaselinePolicy is the routing policy kept for comparison: no limits and
	// three retries without a budget.
	BaselinePolicy = "baseline"

	baselineAttempts = 4
	defaultAttempts  = 2
	// defaultMaxAnswer bounds an answer when the service names no bound, bytes.
	defaultMaxAnswer = 8 << 20
)

// attempts is the state of one request's attempts.
type attempts struct {
	chain   *Chain
	x       *Exchange
	made    int
	tried   []api.EndpointID
	peers   []api.NodeID // already asked
	unknown api.Reason   // of the latest attempt that may have run, or empty
}

// failure is the end of one attempt without an answer.
type failure struct {
	certainty platform.Certainty
	refusal   *api.Refusal // to tell the caller if this is the last attempt
	last      bool         // there is nowhere else to try
}

// attempt sends the request until it has an answer or must not try again.
func (c *Chain) attempt(ctx context.Context, x *Exchange) (*api.Answer, error) {
	a := &attempts{chain: c, x: x}
	if !x.SingleAttempt {
		c.budget.Deposit(x.Request.Caller, x.Spec.RetryBudget)
	}
	for {
		a.made++
		answer, failed := a.once(ctx)
		if failed == nil {
			return answer, nil
		}
		if failed.certainty != platform.CertainNotRun {
			a.unknown = failed.refusal.Reason
		}
		if !a.again(ctx, failed) {
			return nil, a.final(failed)
		}
	}
}

// again asks retry.Decide and counts its decision.
func (a *attempts) again(ctx context.Context, failed *failure) bool {
	if failed.last {
		return false
	}
	c := a.chain
	state := retry.State{
		Idempotent: a.x.Request.Idempotent,
		Attempts:   a.made,
		Remaining:  a.x.remaining(c.deps.Now()),
		CallerGone: errors.Is(ctx.Err(), context.Canceled),
		Forwarded:  a.x.SingleAttempt,
	}
	withdraw := func() bool { return c.budget.Withdraw(a.x.Request.Caller) }
	d := retry.Decide(policyOf(a.x.Spec), state, failed.certainty, failed.refusal.Reason, withdraw)
	group := GroupStopped
	if d.Retry {
		group = GroupRetried
	}
	c.deps.Counters.Inc(group, d.Reason)
	return d.Retry
}

func policyOf(spec api.ServiceSpec) retry.Policy {
	if spec.RoutingPolicy == BaselinePolicy {
		return retry.Policy{MaxAttempts: baselineAttempts}
	}
	if spec.MaxAttempts > 0 {
		return retry.Policy{MaxAttempts: spec.MaxAttempts, Budgeted: true}
	}
	return retry.Policy{MaxAttempts: defaultAttempts, Budgeted: true}
}

// final says not-run only when no attempt may have run.
func (a *attempts) final(failed *failure) *api.Refusal {
	if a.unknown == "" {
		return failed.refusal
	}
	refusal := api.Unknown(a.unknown, failed.refusal.Detail)
	if a.x.Request.Idempotent {
		refusal.RetryAfter = a.chain.settings.RetryAfter
	}
	return refusal
}

// once makes one attempt, here or at a peer with room.
func (a *attempts) once(ctx context.Context) (*api.Answer, *failure) {
	c, x := a.chain, a.x
	if c.deps.Router.FreeSlots(x.Request.Service) == 0 {
		if peer, ok := a.peerWithRoom(); ok {
			return a.forward(ctx, peer)
		}
	}
	ticket, err := c.deps.Router.Acquire(ctx, x.Request.Service, x.Request.Class, x.Request.Caller, a.tried)
	if err == nil {
		return a.send(ctx, ticket)
	}
	if peer, ok := a.peerWithRoom(); ok {
		return a.forward(ctx, peer)
	}
	refusal := asRefusal(err)
	refusal = &api.Refusal{
		Outcome:    api.OutcomeNotRun, // nothing was sent in this attempt
		Reason:     refusal.Reason,
		Detail:     refusal.Detail,
		RetryAfter: refusal.RetryAfter,
	}
	return nil, &failure{certainty: platform.CertainNotRun, refusal: refusal, last: true}
}

// peerWithRoom picks the peer with the most room that was not asked yet. A
// request made for another entry VM goes no further.
func (a *attempts) peerWithRoom() (api.NodeID, bool) {
	if a.x.SingleAttempt {
		return "", false
	}
	var best PeerLoad
	for _, peer := range a.chain.deps.Peers.Candidates(a.x.Request.Service) {
		if peer.FreeSlots > best.FreeSlots && !slices.Contains(a.peers, peer.Node) {
			best = peer
		}
	}
	return best.Node, best.FreeSlots > 0
}

// send makes one attempt at the ticket's endpoint.
func (a *attempts) send(ctx context.Context, ticket Ticket) (*api.Answer, *failure) {
	c := a.chain
	var res Result
	defer func() { ticket.Done(res) }() // also when the adapter panics
	if ctx.Err() != nil {
		return nil, c.notSent(endedReason(ctx), "it ended before it was sent")
	}
	start := c.deps.Now()
	if a.tooOld(start) {
		return nil, c.tooOld()
	}
	if !ticket.Valid(start) {
		return nil, c.notSent(api.ReasonHoldUnconfirmed, "the hold of the endpoint lapsed")
	}
	endpoint := ticket.Endpoint()
	a.tried = append(a.tried, endpoint.ID)
	res = Result{Sent: true, Err: errNoAnswer}
	answer, feedback, err := c.deps.Endpoint.Attempt(ctx, endpoint, ticket.Epoch(), a.x.Request, maxAnswer(a.x.Spec))
	res.Feedback = feedback
	res.Latency = c.deps.Now().Sub(start)
	if err == nil && answer != nil {
		res.Err = nil
		res.Status = answer.Status
		return answer, nil
	}
	if err != nil {
		res.Err = asAttemptError(err, endpoint.ID)
	}
	return nil, c.attemptFailed(res.Err)
}

// tooOld reports whether the mark of a non-idempotent request may be forgotten
// before the request arrives: after that, a copy may be sent under a new mark.
// It matters when the entry VM was paused.
func (a *attempts) tooOld(now time.Time) bool {
	return !a.x.Request.Idempotent && now.Sub(a.x.Received) >= a.chain.settings.MarkRetention/2
}

func (c *Chain) tooOld() *failure {
	failed := c.notSent(api.ReasonDeadlinePassed, fmt.Sprintf("received more than %s ago, half the time that marks are kept", c.settings.MarkRetention/2))
	failed.last = true
	return failed
}

// errNoAnswer stands for an adapter that returned neither answer nor error.
var errNoAnswer = &platform.AttemptError{
	Certainty: platform.MayHaveRun,
	Reason:    api.ReasonInternal,
	Cause:     errors.New("neither answer nor error"),
}

func maxAnswer(spec api.ServiceSpec) int64 {
	if spec.MaxAnswerBytes > 0 {
		return spec.MaxAnswerBytes
	}
	return defaultMaxAnswer
}

func endedReason(ctx context.Context) api.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return api.ReasonCallerGone
	}
	return api.ReasonDeadlinePassed
}

// asAttemptError takes an error of another type for one that may have run.
func asAttemptError(err error, endpoint api.EndpointID) *platform.AttemptError {
	var attempt *platform.AttemptError
	if errors.As(err, &attempt) {
		return attempt
	}
	return &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonInternal, Endpoint: endpoint, Cause: err}
}

func (c *Chain) attemptFailed(err *platform.AttemptError) *failure {
	if err.Certainty == platform.CertainNotRun {
		return c.notSent(err.Reason, err.Error())
	}
	return &failure{certainty: platform.MayHaveRun, refusal: api.Unknown(err.Reason, err.Error())}
}

func (c *Chain) notSent(reason api.Reason, detail string) *failure {
	return &failure{
		certainty: platform.CertainNotRun,
		refusal:   api.NotRun(reason, c.settings.RetryAfter, detail),
	}
}

// forward lets a peer make the attempt on its own endpoints.
func (a *attempts) forward(ctx context.Context, peer api.NodeID) (*api.Answer, *failure) {
	c := a.chain
	a.peers = append(a.peers, peer)
	now := c.deps.Now()
	if a.tooOld(now) {
		return nil, c.tooOld()
	}
	if a.x.remaining(now) < time.Millisecond {
		return nil, c.notSent(api.ReasonDeadlinePassed, "no time left to hand it over")
	}
	c.deps.Counters.Inc(GroupForward, CountFreePeer)
	reply, err := c.deps.Peers.Forward(ctx, peer, c.forwardRequest(a.x, ForwardAttempt))
	if err == nil && reply != nil {
		return a.forwarded(reply)
	}
	if certainlyNotSent(err) {
		return nil, c.notSent(api.ReasonPeerUnreachable, err.Error())
	}
	detail := "entry VM " + string(peer) + " may have sent the request, its reply was lost"
	return nil, &failure{certainty: platform.MayHaveRun, refusal: api.Unknown(api.ReasonPeerUnreachable, detail)}
}

func (a *attempts) forwarded(reply *ForwardReply) (*api.Answer, *failure) {
	answer, err := reply.unpack()
	if err == nil {
		return answer, nil
	}
	refusal := asRefusal(err)
	if refusal.Outcome == api.OutcomeNotRun {
		return nil, &failure{certainty: platform.CertainNotRun, refusal: refusal}
	}
	return nil, &failure{certainty: platform.MayHaveRun, refusal: refusal}
}
