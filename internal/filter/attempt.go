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
	// BaselinePolicy is the routing policy for comparison measurements: no
	// limits, and three retries without a budget.
	BaselinePolicy = "baseline"

	baselineAttempts = 4
	defaultAttempts  = 2
	// defaultMaxAnswerBytes is the size limit of an answer when the service
	// sets none.
	defaultMaxAnswerBytes = 8 << 20
)

// attempts is the state of the attempts of one request.
type attempts struct {
	chain          *Chain
	x              *Exchange
	count          int
	triedEndpoints []api.EndpointID
	triedPeers     []api.NodeID // entry VMs that the request was forwarded to
	unknownReason  api.Reason   // reason of the latest attempt that may have run, or empty
}

// failure is the result of an attempt that got no answer.
type failure struct {
	certainty     platform.Certainty
	refusal       *api.Refusal // returned to the caller if this is the last attempt
	noAlternative bool         // no other endpoint or peer can be tried
}

// attempt sends the request until it has an answer or must not be retried.
func (c *Chain) attempt(ctx context.Context, x *Exchange) (*api.Answer, error) {
	a := &attempts{chain: c, x: x}
	if !x.SingleAttempt {
		c.budget.Deposit(x.Request.Caller, x.Spec.RetryBudget)
	}
	for {
		a.count++
		answer, failed := a.attemptOnce(ctx)
		if failed == nil {
			return answer, nil
		}
		if failed.certainty != platform.CertainNotRun {
			a.unknownReason = failed.refusal.Reason
		}
		if !a.shouldRetry(ctx, failed) {
			return nil, a.finalRefusal(failed)
		}
	}
}

// shouldRetry asks retry.Decide and counts its decision.
func (a *attempts) shouldRetry(ctx context.Context, failed *failure) bool {
	if failed.noAlternative {
		return false
	}
	c := a.chain
	state := retry.State{
		Idempotent: a.x.Request.Idempotent,
		Attempts:   a.count,
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

// finalRefusal returns a refusal with outcome not-run only if no attempt may
// have run.
func (a *attempts) finalRefusal(failed *failure) *api.Refusal {
	if a.unknownReason == "" {
		return failed.refusal
	}
	refusal := api.Unknown(a.unknownReason, failed.refusal.Detail)
	if a.x.Request.Idempotent {
		refusal.RetryAfter = a.chain.settings.RetryAfter
	}
	return refusal
}

// attemptOnce makes one attempt, here or at a peer with free slots.
func (a *attempts) attemptOnce(ctx context.Context) (*api.Answer, *failure) {
	c, x := a.chain, a.x
	if c.deps.Router.FreeSlots(x.Request.Service) == 0 {
		if peer, ok := a.findFreePeer(); ok {
			return a.forward(ctx, peer)
		}
	}
	ticket, err := c.deps.Router.Acquire(ctx, x.Request.Service, x.Request.Class, x.Request.Caller, a.triedEndpoints)
	if err == nil {
		return a.sendLocally(ctx, ticket)
	}
	if peer, ok := a.findFreePeer(); ok {
		return a.forward(ctx, peer)
	}
	refusal := asRefusal(err)
	refusal = &api.Refusal{
		Outcome:    api.OutcomeNotRun, // nothing was sent in this attempt
		Reason:     refusal.Reason,
		Detail:     refusal.Detail,
		RetryAfter: refusal.RetryAfter,
	}
	return nil, &failure{certainty: platform.CertainNotRun, refusal: refusal, noAlternative: true}
}

// findFreePeer returns the peer with the most free slots that has not been
// tried yet. A request that was forwarded for a single attempt is not
// forwarded again.
func (a *attempts) findFreePeer() (api.NodeID, bool) {
	if a.x.SingleAttempt {
		return "", false
	}
	var best PeerLoad
	for _, peer := range a.chain.deps.Peers.Candidates(a.x.Request.Service) {
		if peer.FreeSlots > best.FreeSlots && !slices.Contains(a.triedPeers, peer.Node) {
			best = peer
		}
	}
	return best.Node, best.FreeSlots > 0
}

// sendLocally makes one attempt at the ticket's endpoint.
func (a *attempts) sendLocally(ctx context.Context, ticket Ticket) (*api.Answer, *failure) {
	c := a.chain
	var res Result
	defer func() { ticket.Done(res) }() // also when the adapter panics
	if ctx.Err() != nil {
		return nil, c.notSentFailure(contextReason(ctx), "it ended before it was sent")
	}
	start := c.deps.Now()
	if a.markMayExpire(start) {
		return nil, c.tooOldFailure()
	}
	if !ticket.Valid(start) {
		return nil, c.notSentFailure(api.ReasonHoldUnconfirmed, "the hold of the endpoint lapsed")
	}
	endpoint := ticket.Endpoint()
	a.triedEndpoints = append(a.triedEndpoints, endpoint.ID)
	res = Result{Sent: true, Err: errNoAnswer}
	answer, feedback, err := c.deps.Endpoint.Attempt(ctx, endpoint, ticket.Epoch(), a.x.Request, maxAnswerBytes(a.x.Spec))
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
	return nil, c.failureOf(res.Err)
}

// markMayExpire reports whether the mark of a non-idempotent request may
// expire before the request arrives at the endpoint. After that, a copy may be
// sent under a new mark. This can happen when the entry VM was paused.
func (a *attempts) markMayExpire(now time.Time) bool {
	return !a.x.Request.Idempotent && now.Sub(a.x.Received) >= a.chain.settings.MarkRetention/2
}

func (c *Chain) tooOldFailure() *failure {
	failed := c.notSentFailure(api.ReasonDeadlinePassed, fmt.Sprintf("received more than %s ago, half the time that marks are kept", c.settings.MarkRetention/2))
	failed.noAlternative = true
	return failed
}

// errNoAnswer is the error for an adapter that returned neither answer nor
// error.
var errNoAnswer = &platform.AttemptError{
	Certainty: platform.MayHaveRun,
	Reason:    api.ReasonInternal,
	Cause:     errors.New("neither answer nor error"),
}

func maxAnswerBytes(spec api.ServiceSpec) int64 {
	if spec.MaxAnswerBytes > 0 {
		return spec.MaxAnswerBytes
	}
	return defaultMaxAnswerBytes
}

func contextReason(ctx context.Context) api.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return api.ReasonCallerGone
	}
	return api.ReasonDeadlinePassed
}

// asAttemptError returns err as an AttemptError. Any other error means that
// the request may have run.
func asAttemptError(err error, endpoint api.EndpointID) *platform.AttemptError {
	var attempt *platform.AttemptError
	if errors.As(err, &attempt) {
		return attempt
	}
	return &platform.AttemptError{Certainty: platform.MayHaveRun, Reason: api.ReasonInternal, Endpoint: endpoint, Cause: err}
}

func (c *Chain) failureOf(err *platform.AttemptError) *failure {
	if err.Certainty == platform.CertainNotRun {
		return c.notSentFailure(err.Reason, err.Error())
	}
	return &failure{certainty: platform.MayHaveRun, refusal: api.Unknown(err.Reason, err.Error())}
}

func (c *Chain) notSentFailure(reason api.Reason, detail string) *failure {
	return &failure{
		certainty: platform.CertainNotRun,
		refusal:   api.NotRun(reason, c.settings.RetryAfter, detail),
	}
}

// forward lets a peer make the attempt on its own endpoints.
func (a *attempts) forward(ctx context.Context, peer api.NodeID) (*api.Answer, *failure) {
	c := a.chain
	a.triedPeers = append(a.triedPeers, peer)
	now := c.deps.Now()
	if a.markMayExpire(now) {
		return nil, c.tooOldFailure()
	}
	if a.x.remaining(now) < time.Millisecond {
		return nil, c.notSentFailure(api.ReasonDeadlinePassed, "no time left to hand it over")
	}
	c.deps.Counters.Inc(GroupForward, CountFreePeer)
	reply, err := c.deps.Peers.Forward(ctx, peer, c.forwardRequest(a.x, ForwardAttempt))
	if err == nil && reply != nil {
		return a.handleForwardReply(reply)
	}
	if certainlyNotSent(err) {
		return nil, c.notSentFailure(api.ReasonPeerUnreachable, err.Error())
	}
	detail := "entry VM " + string(peer) + " may have sent the request, its reply was lost"
	return nil, &failure{certainty: platform.MayHaveRun, refusal: api.Unknown(api.ReasonPeerUnreachable, detail)}
}

func (a *attempts) handleForwardReply(reply *ForwardReply) (*api.Answer, *failure) {
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
