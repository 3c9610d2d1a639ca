package router

import (
	"container/list"
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// wakeInterval is how often waiting requests are tried again for endpoints
// that come free by time alone: after a back-off, for a probe.
const wakeInterval = 20 * time.Millisecond

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter spreads the moment when refused callers come back.
	retryJitter = 0.2
)

// waiter is one request in the queue.
type waiter struct {
	demand
	class   api.Class
	caller  string
	entered time.Duration
	settled chan settlement // buffered for the one settlement
	done    bool            // settled, or given up by its request

	flow  *flow         // in which it waits; nil when not in the queue
	place *list.Element // in the flow
}

// settlement ends a wait with a ticket or a refusal.
type settlement struct {
	ticket  *Ticket
	refusal *api.Refusal
}

// settle ends the wait of w.
func (w *waiter) settle(result settlement) {
	w.done = true
	w.settled <- result
}

// acquire grants a request an endpoint, waits for one, or refuses.
func (s *shard) acquire(ctx context.Context, w *waiter) (*Ticket, error) {
	s.mu.Lock()
	now := s.router.now()
	ticket, refusal := s.enter(now, w)
	expires := s.expiry(now, w)
	s.unlock()
	if refusal != nil {
		return nil, refusal
	}
	if ticket != nil {
		return ticket, nil
	}
	return s.wait(ctx, w, expires-now)
}

// enter grants, queues or refuses a new request.
func (s *shard) enter(now time.Duration, w *waiter) (*Ticket, *api.Refusal) {
	if refusal := s.rejects(now, w); refusal != nil {
		return nil, refusal
	}
	s.meet(now, w)
	if s.queue.length == 0 {
		s.starved = false
		e := s.chooser.choose(now, s.held, s.fleet(), w.demand)
		if e != nil {
			return s.take(now, e, w.caller), nil
		}
	}
	if refusal := s.admit(now, w); refusal != nil {
		return nil, refusal
	}
	s.queue.push(w)
	if s.starved {
		s.scheduleWake()
	} else {
		s.dispatch(now)
	}
	return nil, nil
}

// reachable reports whether some endpoint could ever take w.
func (s *shard) reachable(now time.Duration, w *waiter) bool {
	for _, e := range s.held {
		if !e.leaving(now) && !e.excluded(w.exclude) {
			return true
		}
	}
	return false
}

// meet notes that w came at now.
func (s *shard) meet(now time.Duration, w *waiter) {
	w.entered = now
	if s.queue.interactive.turns.Len() == 0 {
		s.calm = now
	}
}

// rejects refuses a request without time left or without an endpoint.
func (s *shard) rejects(now time.Duration, w *waiter) *api.Refusal {
	if now >= w.deadline {
		return api.NotRun(api.ReasonDeadlinePassed, 0, "no time left")
	}
	if !s.reachable(now, w) {
		return api.NotRun(api.ReasonNoEndpoint, s.jitter(s.router.cfg.NoEndpointRetry), "no endpoint of the service is held here")
	}
	return nil
}

// admit refuses a request that can't be met in time or for which the queue
// has no room.
func (s *shard) admit(now time.Duration, w *waiter) *api.Refusal {
	if refusal := s.hopeless(now, w); refusal != nil {
		return refusal
	}
	if s.queue.length < s.spec.queueLength {
		return nil
	}
	victim := s.queue.displace(w.class, w.caller)
	if victim == nil {
		return s.refuse(now, api.ReasonQueueFull)
	}
	s.queue.remove(victim)
	victim.settle(settlement{refusal: s.refuse(now, api.ReasonQueueFull)})
	return nil
}

// hopeless refuses a request whose expected wait is too long.
func (s *shard) hopeless(now time.Duration, w *waiter) *api.Refusal {
	var wait time.Duration // can't be told while no slot may be used
	if s.slots(now) > 0 {
		wait = s.expectedWait(now, 1+s.queue.ahead(w.class, w.caller))
	}
	if !s.meets(now+wait, w) {
		return s.refuse(now, api.ReasonDeadlineUnmeetable)
	}
	if wait > s.queueTime(now, w.class) {
		return s.refuse(now, api.ReasonQueueFull)
	}
	return nil
}

const (
	// standingShare divides the queue's time while interactive requests have
	// waited without a break.
	standingShare = 10
	// standingWaiters is the number of requests that may wait even then, so
	// that a slot that comes free finds one.
	standingWaiters = 4
)

// queueTime returns how long a request may wait. A queue is for bursts: where
// interactive requests have been waiting for a whole queue time without a
// break, long waits no longer gain anything and only make every answer late.
func (s *shard) queueTime(now time.Duration, class api.Class) time.Duration {
	full := s.spec.queueTime
	if class == api.ClassBatch || now-s.calm <= full {
		return full
	}
	standing := s.expectedWait(now, standingWaiters)
	return min(max(full/standingShare, standing), full)
}

// meets reports whether w, granted at the given instant, would be answered in
// time.
func (s *shard) meets(granted time.Duration, w *waiter) bool {
	return granted <= w.deadline-s.needs(w)
}

// needs returns the time that must be left when w is granted: what most
// requests take. Requests of a service may be unlike, and a caller knows its
// own; so no more than half the time that it came with is asked for.
func (s *shard) needs(w *waiter) time.Duration {
	return min(s.latency.most(), (w.deadline-w.entered)/2)
}

// expectedWait returns how long the given number of requests take to be
// granted slots.
func (s *shard) expectedWait(now time.Duration, ahead int) time.Duration {
	slots := max(s.slots(now), 1)
	return seconds(s.latency.mean * float64(ahead) / float64(slots))
}

// expiry returns the instant at which w is dropped from the queue: when its
// time in the queue is over or its deadline can no longer be met.
func (s *shard) expiry(now time.Duration, w *waiter) time.Duration {
	end := now + s.queueTime(now, w.class)
	if w.deadline == noExpiry {
		return end
	}
	return min(end, max(w.deadline-s.needs(w), now))
}

// wait waits for the settlement of w.
func (s *shard) wait(ctx context.Context, w *waiter, limit time.Duration) (*Ticket, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-w.settled:
		return result.unpack()
	case <-timer.C:
		return s.giveUpWait(w, s.expiredReason)
	case <-ctx.Done():
		return s.giveUpWait(w, func(time.Duration, *waiter) api.Reason { return abandonReason(ctx) })
	}
}

// unpack returns the ticket or the refusal as an error.
func (r settlement) unpack() (*Ticket, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.ticket, nil
}

// giveUpWait takes w out of the queue, unless it was settled meanwhile.
func (s *shard) giveUpWait(w *waiter, reason func(time.Duration, *waiter) api.Reason) (*Ticket, error) {
	s.mu.Lock()
	defer s.unlock()
	if w.done {
		return (<-w.settled).unpack()
	}
	w.done = true
	s.queue.remove(w)
	now := s.router.now()
	return nil, s.refuse(now, reason(now, w))
}

// expiredReason tells a deadline from a lapsed hold and from the limit of the
// queue.
func (s *shard) expiredReason(now time.Duration, w *waiter) api.Reason {
	if now >= w.deadline-s.needs(w) {
		return api.ReasonDeadlineUnmeetable
	}
	if s.limit(now) == 0 {
		return api.ReasonHoldUnconfirmed
	}
	return api.ReasonNoSlot
}

// abandonReason tells a deadline from a caller that left.
func abandonReason(ctx context.Context) api.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.ReasonDeadlinePassed
	}
	return api.ReasonCallerGone
}

// refuse returns a refusal with the time after which the queue should have
// drained.
func (s *shard) refuse(now time.Duration, reason api.Reason) *api.Refusal {
	after := s.expectedWait(now, s.queue.length) + s.latency.most()
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return api.NotRun(reason, s.jitter(after), "service "+s.service)
}

// jitter varies a duration, so that callers don't come back all at once.
func (s *shard) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (1 + retryJitter*(2*s.rand.Float64()-1)))
}

// dispatch grants free slots to waiters, in fair order, and drops those that
// can no longer be met.
func (s *shard) dispatch(now time.Duration) {
	if s.queue.length == 0 {
		return
	}
	for s.queue.length > 0 {
		w := s.nextWaiter(now)
		if w == nil {
			break
		}
		if w.done {
			continue
		}
		e := s.chooser.choose(now, s.held, s.fleet(), w.demand)
		w.settle(settlement{ticket: s.take(now, e, w.caller)})
	}
	s.scheduleWake()
}

// nextWaiter takes out the next waiter that has an endpoint or must be
// dropped; the latter is settled. Callers within their share go first.
func (s *shard) nextWaiter(now time.Duration) *waiter {
	s.starved = s.chooser.choose(now, s.held, s.fleet(), demand{deadline: noExpiry}) == nil
	if s.starved {
		return nil
	}
	limit := s.callerLimit(now)
	w := s.queue.next(func(w *waiter) bool {
		return s.perCaller[w.caller] < limit && s.settles(now, w)
	})
	if w != nil {
		return w
	}
	return s.queue.next(func(w *waiter) bool { return s.settles(now, w) })
}

// settles reports whether w leaves the queue now. It settles w itself when
// its deadline can't be met or the queue's time has shrunk below its wait.
func (s *shard) settles(now time.Duration, w *waiter) bool {
	if now-w.entered > s.queueTime(now, w.class) {
		w.settle(settlement{refusal: s.refuse(now, api.ReasonNoSlot)})
		return true
	}
	if !s.meets(now, w) {
		w.settle(settlement{refusal: s.refuse(now, api.ReasonDeadlineUnmeetable)})
		return true
	}
	return s.chooser.choose(now, s.held, s.fleet(), w.demand) != nil
}

// scheduleWake arranges the next dispatch while requests wait.
func (s *shard) scheduleWake() {
	if s.queue.length == 0 || s.wake != nil {
		return
	}
	s.wake = time.AfterFunc(wakeInterval, func() {
		s.mu.Lock()
		defer s.unlock()
		s.wake = nil
		s.dispatch(s.router.now())
	})
}
