package filter

import (
	"context"

	"github.com/skylarklock/skylarklock/api"
)

// maxAsking bounds the requests about which the peers are asked at once.
const maxAsking = 64

// truthful checks a not-run refusal of a non-idempotent request before it is
// said: the id may have run through another request, which this entry VM knows
// from the marks, or, when it can't read them, from its peers. It returns a
// whole answer if a peer has one.
func (c *Chain) truthful(ctx context.Context, x *Exchange, refusal *api.Refusal) (*api.Answer, *api.Refusal) {
	id := x.requestID()
	if refusal.Outcome != api.OutcomeNotRun || id == "" || x.Single || x.isIdempotent() || ownFault(refusal.Reason) {
		return nil, refusal
	}
	blind := c.isBlind(id, refusal.Reason) // before the marks are looked at
	if refusal.Reason == api.ReasonNotReady || c.mayHaveRun(id, x.Digest) {
		return nil, leftOpen(refusal)
	}
	if !blind {
		return nil, refusal
	}
	answer, sure := c.askPeers(ctx, x, id)
	switch {
	case answer != nil:
		c.deps.Counters.Inc(GroupRepeat, CountFromPeer)
		return answer, nil
	case sure:
		return nil, refusal
	default:
		return nil, leftOpen(refusal)
	}
}

// ownFault reports whether a refusal with reason holds for this very request,
// whatever became of others with its id. ReasonIDReused doesn't: an old view
// may show a mark that was released since.
func ownFault(reason api.Reason) bool {
	switch reason {
	case api.ReasonMalformed, api.ReasonIDMissing, api.ReasonTooLarge:
		return true
	}
	return false
}

// leftOpen returns a copy of refusal, which others may share, as unknown.
func leftOpen(refusal *api.Refusal) *api.Refusal {
	open := *refusal
	open.Outcome = api.OutcomeUnknown
	return &open
}

// mayHaveRun reports whether this VM knows of a request id with digest that
// may have been sent. A zero digest stands for any.
func (c *Chain) mayHaveRun(id string, digest uint64) bool {
	if c.runs.wasHandedOver(id) || c.runs.isUnderWay(id, digest) {
		return true
	}
	state, marked := c.deps.Keys.Lookup(id)
	if !marked || digest != 0 && digest != state.Mark.Digest {
		return false
	}
	own := state.Mark.Writer == c.deps.Keys.Self()
	return !own || !c.runs.isWithdrawn(id, state.Mark.Serial)
}

// isBlind reports whether this VM can't read the marks of id: its view of the
// log is old, or the home data centre is out of reach.
func (c *Chain) isBlind(id string, reason api.Reason) bool {
	if !c.isHome(id) {
		return reason == api.ReasonHomeUnreachable
	}
	return c.deps.Now().Sub(c.deps.Keys.Confirmed()) > c.settings.MarkLag
}

// askPeers asks every other entry VM of this data centre for id. sure means
// that none of them knows it.
func (c *Chain) askPeers(ctx context.Context, x *Exchange, id string) (answer *api.Answer, sure bool) {
	select {
	case c.asking <- struct{}{}:
	default:
		return nil, false
	}
	defer func() { <-c.asking }()
	ctx, cancel := context.WithTimeout(ctx, c.settings.AskTimeout)
	defer cancel()
	query := &AnswerQuery{Asker: c.deps.Keys.Self()}
	query.Mark.ID, query.Mark.Digest = id, x.Digest
	peers := c.deps.Peers.Candidates(x.Request.Service)
	replies := make(chan *AnswerReply, len(peers))
	for _, peer := range peers {
		go func() {
			reply, err := c.deps.Peers.AnswerOf(ctx, peer.Node, query)
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	sure = true
	for range peers {
		reply := <-replies
		if reply != nil && reply.Answer != nil {
			answer = reply.Answer
		}
		sure = sure && reply != nil && reply.State == AnswerForgotten
	}
	return answer, sure
}

// anyTrace serves a query without a writer: all that this VM knows of the id,
// but for the asker's own mark. One that is not ready can't rule an id out.
func (c *Chain) anyTrace(query *AnswerQuery) *AnswerReply {
	id, digest := query.Mark.ID, query.Mark.Digest
	f, kept := c.runs.find(id)
	switch {
	case kept != nil && kept.digest == digest:
		return finalReply(kept.result)
	case kept != nil, f != nil && !f.idempotent:
		return &AnswerReply{State: AnswerRunning}
	}
	state, marked := c.deps.Keys.Lookup(id)
	if marked && state.Mark.Digest == digest && state.Answer != nil {
		return &AnswerReply{State: AnswerFinal, Answer: state.Answer}
	}
	if marked && state.Mark.Writer == query.Asker && !c.runs.wasHandedOver(id) {
		return &AnswerReply{State: AnswerForgotten}
	}
	if c.mayHaveRun(id, 0) || c.gate.State() == GateNotReady {
		return &AnswerReply{State: AnswerRunning}
	}
	return &AnswerReply{State: AnswerForgotten}
}

// requestID returns the id, also before identify has read it.
func (x *Exchange) requestID() string {
	if x.Request.ID != "" {
		return x.Request.ID
	}
	return x.Header.Get(api.HeaderRequestID)
}

func (x *Exchange) isIdempotent() bool {
	return x.Request.Idempotent || x.Header.Get(api.HeaderIdempotent) == "true"
}
