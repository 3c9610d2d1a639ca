package filter

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
)

// maxHomeAttempts bounds the entry VMs of the home data centre that a request
// is handed over to. Another one is tried only if the previous one certainly
// did not receive the request.
const maxHomeAttempts = 3

// HomeOf returns the data centre whose stream holds the marks of id: the one
// named by the prefix of id, else the one with the highest hash. All entry VMs
// must have the same list of data centres, so that each ID has one home.
func HomeOf(id string, dcs []api.DataCentre) api.DataCentre {
	if prefix, _, ok := strings.Cut(id, "/"); ok && slices.Contains(dcs, api.DataCentre(prefix)) {
		return api.DataCentre(prefix)
	}
	var home api.DataCentre
	var highest uint64
	for _, dc := range dcs {
		weight := homeWeight(id, dc)
		if home == "" || weight > highest || weight == highest && dc < home {
			home, highest = dc, weight
		}
	}
	return home
}

func homeWeight(id string, dc api.DataCentre) uint64 {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(dc))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(id)
	return h.Sum64()
}

// isHome reports whether the marks of id are in this data centre's stream.
func (c *Chain) isHome(id string) bool {
	if len(c.settings.DataCentres) < 2 {
		return true
	}
	return HomeOf(id, c.settings.DataCentres) == c.settings.DataCentre
}

// findHome hands a non-idempotent request over to its home data centre.
func (c *Chain) findHome(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.Idempotent || c.isHome(x.Request.ID) {
			return next(ctx, x)
		}
		return c.forwardHome(ctx, x, HomeOf(x.Request.ID, c.settings.DataCentres))
	}
}

// forwardHome hands x over to an entry VM of home, which is then responsible
// for it.
func (c *Chain) forwardHome(ctx context.Context, x *Exchange, home api.DataCentre) (*api.Answer, error) {
	for i, node := range c.deps.Peers.EntryVMs(home) {
		if i == maxHomeAttempts || ctx.Err() != nil {
			break
		}
		c.deps.Counters.Inc(GroupForward, CountHome)
		reply, err := c.deps.Peers.Forward(ctx, node, c.forwardRequest(x, ForwardHome))
		if err == nil && reply != nil {
			return reply.unpack()
		}
		if !certainlyNotSent(err) {
			detail := fmt.Sprintf("entry VM %s of %s may have the request, its reply was lost", node, home)
			return nil, api.UnknownWithRetry(api.ReasonPeerUnreachable, c.settings.RetryAfter, detail)
		}
	}
	detail := fmt.Sprintf("no entry VM of the request's home data centre %s can be reached", home)
	return nil, api.UnknownWithRetry(api.ReasonHomeUnreachable, c.settings.RetryAfter, detail)
}

func certainlyNotSent(err error) bool {
	var peer *PeerError
	return errors.As(err, &peer) && !peer.Sent
}

func (c *Chain) forwardRequest(x *Exchange, kind ForwardKind) *ForwardRequest {
	now := c.deps.Now()
	return &ForwardRequest{
		Kind:      kind,
		Request:   *x.Request,
		Remaining: x.remaining(now),
		Age:       now.Sub(x.Received),
		Hops:      x.Hops + 1,
		Mark:      x.Mark,
	}
}

func (r *ForwardReply) unpack() (*api.Answer, error) {
	switch {
	case r.Refusal != nil:
		return nil, r.Refusal
	case r.Answer != nil:
		return r.Answer, nil
	default:
		return nil, api.Unknown(api.ReasonInternal, "the peer's reply was empty")
	}
}

// maxHops is the maximum number of handovers between entry VMs: to the home
// data centre, and from there to a peer with free slots.
const maxHops = 2

// ServeForward serves Peers.Forward. The context ends when the server stops,
// not when the sender leaves.
func (c *Chain) ServeForward(ctx context.Context, req *ForwardRequest) *ForwardReply {
	now := c.deps.Now()
	x := &Exchange{
		Request:  &req.Request,
		Received: now.Add(-req.Age),
		Deadline: now.Add(req.Remaining),
		Hops:     req.Hops,
	}
	handle := c.homeHandler
	if req.Kind == ForwardAttempt {
		handle = c.attemptHandler
		x.Mark = req.Mark
		x.SingleAttempt = true
	}
	if refusal := c.checkForward(req); refusal != nil {
		return &ForwardReply{Refusal: c.refuseUnmarked(x, refusal)}
	}
	return c.reply(ctx, x, handle)
}

// reply runs handle for another entry VM. A panic ends only this request.
func (c *Chain) reply(ctx context.Context, x *Exchange, handle Handler) (reply *ForwardReply) {
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(x, cause)
			reply = &ForwardReply{Refusal: panicRefusal()}
		}
	}()
	answer, err := handle(ctx, x)
	if err != nil {
		return &ForwardReply{Refusal: asRefusal(err)}
	}
	return &ForwardReply{Answer: answer}
}

// checkForward refuses handovers that are invalid.
func (c *Chain) checkForward(req *ForwardRequest) *api.Refusal {
	retryAfter := c.settings.RetryAfter
	switch {
	case req.Remaining <= 0:
		return api.NotRun(api.ReasonDeadlinePassed, 0, "the deadline passed on the way")
	case req.Hops > maxHops:
		return api.NotRun(api.ReasonInternal, retryAfter, "handed over too often")
	case req.Kind == ForwardHome && !c.isHome(req.Request.ID):
		return api.NotRun(api.ReasonHomeUnreachable, retryAfter, "the entry VMs' settings name different homes")
	case req.Kind == ForwardAttempt && !req.Request.Idempotent && req.Mark == nil:
		return api.NotRun(api.ReasonInternal, retryAfter, "handed over without a mark")
	case req.Kind != ForwardHome && req.Kind != ForwardAttempt:
		return api.NotRun(api.ReasonInternal, retryAfter, "unknown kind of hand-over")
	}
	return nil
}
