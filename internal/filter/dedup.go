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

// deduplicate runs each id once: a request joins the run in flight, gets the
// answer that is kept, or learns from the marks what became of its id.
func (c *Chain) deduplicate(next Handler) Handler {
	return func(ctx context.Context, x *Exchange) (*api.Answer, error) {
		if x.Request.ID == "" {
			return next(ctx, x)
		}
		// The run outlives its first caller, so it has its own context.
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.Deadline)
		defer cancel()
		kind, f, kept := c.runs.enter(x, cancel)
		switch kind {
		case entryReused:
			return nil, c.reused(x)
		case entryKept:
			c.deps.Counters.Inc(GroupRepeat, CountKept)
			return kept.unpack()
		case entryJoined:
			c.deps.Counters.Inc(GroupRepeat, CountJoined)
			return c.await(ctx, f)
		}
		stop := context.AfterFunc(ctx, func() { c.starterLeft(ctx, f) })
		defer stop()
		c.run(runCtx, x, f, next)
		return f.result.unpack()
	}
}

// starterLeft takes the caller that started f off it. Its goroutine goes on
// with the run, which has the same deadline.
func (c *Chain) starterLeft(ctx context.Context, f *flight) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.deps.Counters.Inc(GroupCallers, api.ReasonCallerGone)
		c.runs.leave(f)
	}
}

// reused refuses x because its id belongs to another request. That is final
// once the other's outcome is in the log; until then its mark may be released
// and the id be used for x.
func (c *Chain) reused(x *Exchange) *api.Refusal {
	id := x.Request.ID
	refusal := api.NotRun(api.ReasonIDReused, 0, fmt.Sprintf("request id %q was used for another request", id))
	state, marked := c.deps.Keys.Lookup(id)
	if marked && state.Mark.Digest != x.Digest && state.Outcome != "" {
		return refusal
	}
	return c.turnedAway(x, refusal)
}

// run carries f to its end. A panic ends this request only, as in net/http,
// so that one request can't stop one entry VM after the other.
func (c *Chain) run(ctx context.Context, x *Exchange, f *flight, next Handler) {
	res := result{refusal: panicked()}
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(x, cause)
		}
		c.runs.finish(f, res, keepable(x, res))
	}()
	answer, err := c.firstOrRepeat(ctx, x, next)
	if err != nil || answer == nil {
		res = result{refusal: asRefusal(err)}
		return
	}
	res = result{answer: answer}
}

func panicked() *api.Refusal {
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

// keepable reports whether res is the last word on the id: a whole answer, or
// a refusal under this VM's mark that asking again won't change.
func keepable(x *Exchange, res result) bool {
	return res.refusal == nil || x.Mark != nil && res.refusal.RetryAfter == 0
}

// firstOrRepeat goes on with a first request and answers a repeat.
func (c *Chain) firstOrRepeat(ctx context.Context, x *Exchange, next Handler) (*api.Answer, error) {
	state, marked := c.deps.Keys.Lookup(x.Request.ID)
	if !marked {
		return next(ctx, x)
	}
	answer, err := c.repeat(ctx, x, state)
	if errors.Is(err, errNotSent) {
		return next(ctx, x)
	}
	return answer, err
}

// await returns the result of f, which another caller started, or takes the
// caller off it when ctx ends.
func (c *Chain) await(ctx context.Context, f *flight) (*api.Answer, error) {
	select {
	case <-f.done:
		return f.result.unpack()
	case <-ctx.Done():
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && c.finishesSoon(f) {
		return f.result.unpack()
	}
	c.runs.leave(f)
	if errors.Is(ctx.Err(), context.Canceled) {
		c.deps.Counters.Inc(GroupCallers, api.ReasonCallerGone)
		return nil, api.Unknown(api.ReasonCallerGone, "the caller left before the answer")
	}
	return nil, c.stillRunning(f.id)
}

// finishesSoon gives a run that ends at its deadline the time to say so.
func (c *Chain) finishesSoon(f *flight) bool {
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

// errNotSent says that the mark found was never used, so that the id may be
// marked anew.
var errNotSent = errors.New("filter: marked, but never sent")

// repeat answers a request whose id is marked. It returns errNotSent when
// the writer of the mark never used it.
func (c *Chain) repeat(ctx context.Context, x *Exchange, state reqkey.State) (*api.Answer, error) {
	if state.Mark.Digest != x.Digest {
		return nil, c.reused(x)
	}
	if answer, err, ok := c.journaled(state); ok {
		return answer, err
	}
	self := c.deps.Keys.Self()
	switch {
	case state.Mark.Writer == self && c.runs.isWithdrawn(x.Request.ID, state.Mark.Serial):
		return nil, errNotSent
	case state.Mark.Writer == self:
		return nil, api.Unknown(api.ReasonAnswerLost, "the answer is no longer kept")
	case state.Mark.Writer.Node == self.Node:
		return nil, api.Unknown(api.ReasonHolderLost, "the entry VM that had the request was restarted")
	}
	return c.askWriter(ctx, x, state)
}

// journaled returns what the log says of the outcome, if that is final.
func (c *Chain) journaled(state reqkey.State) (*api.Answer, error, bool) {
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

// askWriter asks the entry VM that marked the id.
func (c *Chain) askWriter(ctx context.Context, x *Exchange, state reqkey.State) (*api.Answer, error) {
	writer := state.Mark.Writer.Node
	wait := x.remaining(c.deps.Now()) - c.settings.AnswerGrace // the reply needs time, too
	query := &AnswerQuery{Mark: state.Mark, Wait: max(wait, 0)}
	reply, err := c.deps.Peers.AnswerOf(ctx, writer, query)
	if err != nil || reply == nil {
		return c.writerLost(x, api.ReasonHolderLost, fmt.Sprintf("entry VM %s, which had the request, can't be reached", writer))
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
	return c.writerLost(x, api.ReasonAnswerLost, fmt.Sprintf("entry VM %s no longer keeps the answer", writer))
}

// writerLost looks once more for a journaled outcome.
func (c *Chain) writerLost(x *Exchange, reason api.Reason, detail string) (*api.Answer, error) {
	if state, ok := c.deps.Keys.Lookup(x.Request.ID); ok && state.Mark.Digest == x.Digest {
		if answer, err, final := c.journaled(state); final {
			return answer, err
		}
	}
	return nil, api.UnknownWithRetry(reason, c.settings.RetryAfter, detail)
}

// AnswerOf serves Peers.AnswerOf: it tells what became of the request that
// this entry VM marked, waiting for one in flight at most query.Wait.
func (c *Chain) AnswerOf(ctx context.Context, query *AnswerQuery) *AnswerReply {
	mark := query.Mark
	if mark.Writer != c.deps.Keys.Self() {
		return &AnswerReply{State: AnswerForgotten}
	}
	if c.runs.isWithdrawn(mark.ID, mark.Serial) {
		return c.notSentReply(ctx, mark)
	}
	f, kept := c.runs.find(mark.ID)
	switch {
	case f != nil && f.digest == mark.Digest:
		return c.awaitFor(ctx, f, query)
	case kept != nil && kept.digest == mark.Digest:
		return finalReply(kept.result)
	default:
		return &AnswerReply{State: AnswerForgotten}
	}
}

func (c *Chain) awaitFor(ctx context.Context, f *flight, query *AnswerQuery) *AnswerReply {
	timer := time.NewTimer(min(query.Wait, c.settings.MaxTimeout))
	defer timer.Stop()
	select {
	case <-f.done:
	case <-timer.C:
		return &AnswerReply{State: AnswerRunning}
	case <-ctx.Done():
		return &AnswerReply{State: AnswerRunning}
	}
	if c.runs.isWithdrawn(f.id, query.Mark.Serial) {
		return c.notSentReply(ctx, query.Mark)
	}
	return finalReply(f.result)
}

// notSentReply frees the id first, so that the asker's own mark can win.
func (c *Chain) notSentReply(ctx context.Context, mark reqkey.Mark) *AnswerReply {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReleaseTimeout)
	defer cancel()
	c.release(ctx, mark)
	return &AnswerReply{State: AnswerNotSent}
}

func finalReply(r result) *AnswerReply {
	return &AnswerReply{State: AnswerFinal, Answer: r.answer, Refusal: r.refusal}
}
