package filter

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/reqkey"
)

// deduplicate runs each ID once. A request joins the run in flight, gets the
// kept answer, or gets the outcome of its ID from the marks.
func (c *Chain) deduplicate(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.ID == "" {
			return next(ctx, x)
		}
		// The run continues when its first caller leaves, so it has its own
		// context.
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
		defer cancel()
		kind, f, kept := c.requests.enter(x, cancel)
		switch kind {
		case lookupReused:
			return nil, c.refuseReusedID(x)
		case lookupKept:
			c.deps.Counters.Inc(GroupRepeat, CountKept)
			return kept.unpack()
		case lookupJoined:
			c.deps.Counters.Inc(GroupRepeat, CountJoined)
			return c.awaitFlight(ctx, f)
		}
		stop := context.AfterFunc(ctx, func() { c.detachStarter(ctx, f) })
		defer stop()
		c.run(runCtx, x, f, next)
		return f.result.unpack()
	}
}

// detachStarter removes the caller that started f from its waiters. The
// caller's goroutine continues the run, which has the same deadline.
func (c *Chain) detachStarter(ctx context.Context, f *flight) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.deps.Counters.Inc(GroupCallers, api.ReasonCallerGone)
		c.requests.leave(f)
	}
}

// refuseReusedID refuses x because its ID belongs to another request. The
// refusal is final once the other request's outcome is in the log; until then
// its mark may be released and the ID be used for x.
func (c *Chain) refuseReusedID(x *Exchange) *api.Refusal {
	id := x.Request.ID
	refusal := api.NotRun(api.ReasonIDReused, 0, fmt.Sprintf("request id %q was used for another request", id))
	state, marked := c.deps.Keys.Lookup(id)
	if marked && state.Mark.Digest != x.Digest && state.Outcome != "" {
		return refusal
	}
	return c.refuseUnmarked(x, refusal)
}

// run executes f. A panic ends only this request, as in net/http. Otherwise a
// request that is retried at other entry VMs could stop them one after the
// other.
func (c *Chain) run(ctx context.Context, x *Exchange, f *flight, next Handler) {
	res := result{refusal: panicRefusal()}
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(x, cause)
		}
		c.requests.finish(f, res, isFinal(x, res))
	}()
	answer, err := c.runOrRepeat(ctx, x, next)
	if err != nil || answer == nil {
		res = result{refusal: asRefusal(err)}
		return
	}
	res = result{answer: answer}
}

func panicRefusal() *api.Refusal {
	return api.Unknown(api.ReasonInternal, "the request's handler panicked")
}

func (c *Chain) logPanic(x *Exchange, cause any) {
	c.deps.Counters.Inc(GroupUnknown, CountPanic)
	c.deps.Log.WithFields(logrus.Fields{
		"event":   "handler_panicked",
		"request": x.Request.ID,
		"service": x.Request.Service,
		"cause":   cause,
		"stack":   string(debug.Stack()),
	}).Error("a request's handler panicked")
}

// isFinal reports whether res is the final result for the ID: a complete
// answer, or a refusal under this VM's mark that does not ask for a retry.
func isFinal(x *Exchange, res result) bool {
	return res.refusal == nil || x.Mark != nil && res.refusal.RetryAfter == 0
}

// runOrRepeat runs a first request and answers a repeated one.
func (c *Chain) runOrRepeat(ctx context.Context, x *Exchange, next Handler) (*api.Answer, error) {
	state, marked := c.deps.Keys.Lookup(x.Request.ID)
	if !marked {
		return next(ctx, x)
	}
	answer, err := c.answerRepeat(ctx, x, state)
	if errors.Is(err, errNotSent) {
		return next(ctx, x)
	}
	return answer, err
}

// awaitFlight returns the result of f, which another caller started. When ctx
// ends first, it removes the caller from the waiters of f.
func (c *Chain) awaitFlight(ctx context.Context, f *flight) (*api.Answer, error) {
	select {
	case <-f.done:
		return f.result.unpack()
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.finishesWithinGrace(f) {
		return f.result.unpack()
	}
	c.requests.leave(f)
	if errors.Is(ctx.Err(), context.Canceled) {
		c.deps.Counters.Inc(GroupCallers, api.ReasonCallerGone)
		return nil, api.Unknown(api.ReasonCallerGone, "the caller left before the answer")
	}
	return nil, c.stillRunning(f.id)
}

// finishesWithinGrace gives a run that ends at its deadline AnswerGrace to
// publish its result.
func (c *Chain) finishesWithinGrace(f *flight) bool {
	timer := time.NewTimer(c.settings.AnswerGrace)
	defer timer.Stop()
	select {
	case <-f.done:
		return true
	case <-timer.C:
		return false
	}
}

func (c *Chain) stillRunning(id string) *api.Refusal {
	return api.UnknownWithRetry(api.ReasonStillRunning, c.settings.RetryAfter, fmt.Sprintf("request %q is in flight", id))
}

// errNotSent says that the existing mark was never used, so that the ID may be
// marked again.
var errNotSent = errors.New("filter: request is marked but was never sent")

// answerRepeat answers a request whose ID is marked. It returns errNotSent
// when the writer of the mark never used it.
func (c *Chain) answerRepeat(ctx context.Context, x *Exchange, state reqkey.State) (*api.Answer, error) {
	if state.Mark.Digest != x.Digest {
		return nil, c.refuseReusedID(x)
	}
	if answer, err, ok := c.journaledOutcome(state); ok {
		return answer, err
	}
	self := c.deps.Keys.Self()
	switch {
	case state.Mark.Writer == self && c.requests.isWithdrawn(x.Request.ID, state.Mark.Serial):
		return nil, errNotSent
	case state.Mark.Writer == self:
		return nil, api.Unknown(api.ReasonAnswerLost, "the answer is no longer kept")
	case state.Mark.Writer.Node == self.Node:
		return nil, api.Unknown(api.ReasonHolderLost, "the entry VM that had the request was restarted")
	}
	return c.askWriter(ctx, x, state)
}

// journaledOutcome returns the outcome in the log, if there is one that
// answers the request.
func (c *Chain) journaledOutcome(state reqkey.State) (*api.Answer, error, bool) {
	switch {
	case state.Answer != nil:
		c.deps.Counters.Inc(GroupRepeat, CountJournaled)
		return state.Answer, nil, true
	case state.Outcome == api.OutcomeUnknown:
		return nil, api.Unknown(keptReason(state), "an earlier attempt brought no whole answer"), true
	case state.Outcome == api.OutcomeNotRun:
		return nil, api.NotRun(keptReason(state), 0, notRunDetail), true
	default:
		return nil, nil, false
	}
}

// keptReason returns the journaled reason, or answer_lost when it was dropped.
func keptReason(state reqkey.State) api.Reason {
	if state.Reason == "" {
		return api.ReasonAnswerLost
	}
	return state.Reason
}

// askWriter asks the entry VM that marked the ID.
func (c *Chain) askWriter(ctx context.Context, x *Exchange, state reqkey.State) (*api.Answer, error) {
	writer := state.Mark.Writer.Node
	wait := x.remaining(c.deps.Now()) - c.settings.AnswerGrace // leaves time for the reply
	query := &AnswerQuery{Mark: state.Mark, Wait: max(wait, 0)}
	reply, err := c.deps.Peers.AnswerOf(ctx, writer, query)
	if err != nil || reply == nil {
		return c.writerUnavailable(x, api.ReasonHolderLost, fmt.Sprintf("entry VM %s, which had the request, can't be reached", writer))
	}
	switch {
	case reply.State == AnswerNotSent:
		return nil, errNotSent
	case reply.State == AnswerRunning:
		return nil, c.stillRunning(x.Request.ID)
	case reply.State == AnswerFinal && reply.Answer != nil:
		c.deps.Counters.Inc(GroupRepeat, CountFromPeer)
		return reply.Answer, nil
	case reply.State == AnswerFinal && reply.Refusal != nil:
		return nil, reply.Refusal
	}
	return c.writerUnavailable(x, api.ReasonAnswerLost, fmt.Sprintf("entry VM %s no longer keeps the answer", writer))
}

// writerUnavailable looks once more for a journaled outcome.
func (c *Chain) writerUnavailable(x *Exchange, reason api.Reason, detail string) (*api.Answer, error) {
	if state, ok := c.deps.Keys.Lookup(x.Request.ID); ok && state.Mark.Digest == x.Digest {
		if answer, err, final := c.journaledOutcome(state); final {
			return answer, err
		}
	}
	return nil, api.UnknownWithRetry(reason, c.settings.RetryAfter, detail)
}

// AnswerOf serves Peers.AnswerOf: it returns the outcome of a request that
// this entry VM marked, and waits at most query.Wait for one in flight.
func (c *Chain) AnswerOf(ctx context.Context, query *AnswerQuery) *AnswerReply {
	mark := query.Mark
	if mark.Writer != c.deps.Keys.Self() {
		return &AnswerReply{State: AnswerForgotten}
	}
	if c.requests.isWithdrawn(mark.ID, mark.Serial) {
		return c.notSentReply(ctx, mark)
	}
	f, kept := c.requests.find(mark.ID)
	switch {
	case f != nil && f.digest == mark.Digest:
		return c.awaitFlightFor(ctx, f, query)
	case kept != nil && kept.digest == mark.Digest:
		return finalReply(kept.result)
	default:
		return &AnswerReply{State: AnswerForgotten}
	}
}

func (c *Chain) awaitFlightFor(ctx context.Context, f *flight, query *AnswerQuery) *AnswerReply {
	timer := time.NewTimer(min(query.Wait, c.settings.MaxTimeout))
	defer timer.Stop()
	select {
	case <-f.done:
	case <-timer.C:
		return &AnswerReply{State: AnswerRunning}
	case <-ctx.Done():
		return &AnswerReply{State: AnswerRunning}
	}
	if c.requests.isWithdrawn(f.id, query.Mark.Serial) {
		return c.notSentReply(ctx, query.Mark)
	}
	return finalReply(f.result)
}

// notSentReply releases the mark before it replies, so that the mark of the
// asking entry VM can be accepted.
func (c *Chain) notSentReply(ctx context.Context, mark reqkey.Mark) *AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReleaseTimeout)
	defer cancel()
	c.release(ctx, mark)
	return &AnswerReply{State: AnswerNotSent}
}

func finalReply(r result) *AnswerReply {
	return &AnswerReply{State: AnswerFinal, Answer: r.answer, Refusal: r.refusal}
}
