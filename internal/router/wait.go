package router

import (
	"container/list"
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// dispatchInterval is the interval of dispatch attempts while requests wait,
// for endpoints that become usable by time alone: after a block, or for a
// probe.
const dispatchInterval = 20 * time.Millisecond

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// retryJitter varies the retry delay so that refused callers do not return
	// all at once.
	retryJitter = 0.2
)

// waiter is one request that acquires an endpoint, queued if necessary.
type waiter struct {
	constraints
	class     api.Class
	caller    string
	arrivedAt time.Duration
	resultCh  chan waitResult // buffered for the single result
	done      bool            // resolved, or abandoned by its request

	flow     *flow         // the flow it is queued in; nil when not queued
	position *list.Element // in the flow
}

// waitResult ends a wait with a ticket or a refusal.
type waitResult struct {
	ticket  *Ticket
	refusal *api.Refusal
}

// resolve ends the wait of w.
func (w *waiter) resolve(result waitResult) {
	w.done = true
	w.resultCh <- result
}

// acquire assigns an endpoint to a request, waits for one, or refuses.
func (s *shard) acquire(ctx context.Context, w *waiter) (*Ticket, error) {
	s.mu.Lock()
	now := s.router.now()
	ticket, refusal := s.assignOrEnqueue(now, w)
	expires := s.queueExpiry(now, w)
	s.unlock()
	if refusal != nil {
		return nil, refusal
	}
	if ticket != nil {
		return ticket, nil
	}
	return s.wait(ctx, w, expires-now)
}

// assignOrEnqueue assigns an endpoint to a new request, queues it or refuses
// it.
func (s *shard) assignOrEnqueue(now time.Duration, w *waiter) (*Ticket, *api.Refusal) {
	if refusal := s.refuseUnroutable(now, w); refusal != nil {
		return nil, refusal
	}
	s.recordArrival(now, w)
	if s.queue.length == 0 {
		s.noneUsable = false
		e := s.chooser.choose(now, s.endpoints, s.stats(), w.constraints)
		if e != nil {
			return s.assign(now, e, w.caller), nil
		}
	}
	if refusal := s.makeQueueSpace(now, w); refusal != nil {
		return nil, refusal
	}
	s.queue.push(w)
	if s.noneUsable {
		s.scheduleWake()
	} else {
		s.dispatch(now)
	}
	return nil, nil
}

// hasCandidate reports whether the service has an endpoint that may serve w
// when it has a free slot.
func (s *shard) hasCandidate(now time.Duration, w *waiter) bool {
	for _, e := range s.endpoints {
		if !e.isLeaving(now) && !e.isExcluded(w.exclude) {
			return true
		}
	}
	return false
}

// recordArrival sets the arrival time of w, and the time of the last arrival
// without a waiting interactive request.
func (s *shard) recordArrival(now time.Duration, w *waiter) {
	w.arrivedAt = now
	if s.queue.interactive.callers.Len() == 0 {
		s.lastInteractiveIdle = now
	}
}

// refuseUnroutable refuses a request without remaining time or without a
// possible endpoint.
func (s *shard) refuseUnroutable(now time.Duration, w *waiter) *api.Refusal {
	if now >= w.deadline {
		return api.NotRun(api.ReasonDeadlinePassed, 0, "no time left")
	}
	if !s.hasCandidate(now, w) {
		return api.NotRun(api.ReasonNoEndpoint, s.jitter(s.router.cfg.NoEndpointRetry), "no endpoint of the service is held here")
	}
	return nil
}

// makeQueueSpace refuses a request that cannot be served in time or does not
// fit in the queue. If the queue is full, it may evict a waiter of a caller
// with more waiters.
func (s *shard) makeQueueSpace(now time.Duration, w *waiter) *api.Refusal {
	if refusal := s.refuseLongWait(now, w); refusal != nil {
		return refusal
	}
	if s.queue.length < s.spec.queueLength {
		return nil
	}
	victim := s.queue.findVictim(w.class, w.caller)
	if victim == nil {
		return s.refuse(now, api.ReasonQueueFull)
	}
	s.queue.remove(victim)
	victim.resolve(waitResult{refusal: s.refuse(now, api.ReasonQueueFull)})
	return nil
}

// refuseLongWait refuses a request whose expected wait is too long.
func (s *shard) refuseLongWait(now time.Duration, w *waiter) *api.Refusal {
	var wait time.Duration // unknown, taken as zero, while no healthy endpoint has slots
	if s.healthySlots(now) > 0 {
		wait = s.expectedWait(now, 1+s.queue.countAhead(w.class, w.caller))
	}
	if !s.canMeetDeadline(now+wait, w) {
		return s.refuse(now, api.ReasonDeadlineUnmeetable)
	}
	if wait > s.maxQueueTime(now, w.class) {
		return s.refuse(now, api.ReasonQueueFull)
	}
	return nil
}

const (
	// congestedTimeDivisor divides the maximum queue time while interactive
	// requests have waited without interruption.
	congestedTimeDivisor = 10
	// congestedMinWaiters is the number of requests that may wait even then,
	// so that a slot that becomes free is used immediately.
	congestedMinWaiters = 4
)

// maxQueueTime returns how long a request may wait. The queue is meant for
// bursts: when interactive requests have been waiting without interruption for
// a full queue time, longer waits add no throughput and only delay every
// answer.
func (s *shard) maxQueueTime(now time.Duration, class api.Class) time.Duration {
	full := s.spec.queueTime
	if class == api.ClassBatch || now-s.lastInteractiveIdle <= full {
		return full
	}
	congestedWait := s.expectedWait(now, congestedMinWaiters)
	return min(max(full/congestedTimeDivisor, congestedWait), full)
}

// canMeetDeadline reports whether w would be answered in time if a slot were
// assigned at the given time.
func (s *shard) canMeetDeadline(assignedAt time.Duration, w *waiter) bool {
	return assignedAt <= w.deadline-s.requiredTime(w)
}

// requiredTime returns the time that must remain when w gets a slot: the time
// within which most requests are answered. Requests of a service may differ,
// and the caller knows its own best, so at most half of the time between
// arrival and deadline is required.
func (s *shard) requiredTime(w *waiter) time.Duration {
	return min(s.latency.upperBound(), (w.deadline-w.arrivedAt)/2)
}

// expectedWait returns how long it takes until the given number of requests
// have been assigned slots.
func (s *shard) expectedWait(now time.Duration, ahead int) time.Duration {
	healthySlots := max(s.healthySlots(now), 1)
	return seconds(s.latency.mean * float64(ahead) / float64(healthySlots))
}

// queueExpiry returns the time at which w is dropped from the queue: when its
// maximum queue time has elapsed or its deadline can no longer be met.
func (s *shard) queueExpiry(now time.Duration, w *waiter) time.Duration {
	end := now + s.maxQueueTime(now, w.class)
	if w.deadline == noExpiry {
		return end
	}
	return min(end, max(w.deadline-s.requiredTime(w), now))
}

// wait waits for the result of w.
func (s *shard) wait(ctx context.Context, w *waiter, limit time.Duration) (*Ticket, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case result := <-w.resultCh:
		return result.unpack()
	case <-timer.C:
		return s.abandonWait(w, s.expiryReason)
	case <-ctx.Done():
		return s.abandonWait(w, func(time.Duration, *waiter) api.Reason { return abandonReason(ctx) })
	}
}

// unpack returns the ticket, or the refusal as an error.
func (r waitResult) unpack() (*Ticket, error) {
	if r.refusal != nil {
		return nil, r.refusal
	}
	return r.ticket, nil
}

// abandonWait removes w from the queue, unless it has been resolved in the
// meantime.
func (s *shard) abandonWait(w *waiter, reason func(time.Duration, *waiter) api.Reason) (*Ticket, error) {
	s.mu.Lock()
	defer s.unlock()
	if w.done {
		return (<-w.resultCh).unpack()
	}
	w.done = true
	s.queue.remove(w)
	now := s.router.now()
	return nil, s.refuse(now, reason(now, w))
}

// expiryReason returns why w expired: its deadline, an expired hold, or the
// queue's maximum time.
func (s *shard) expiryReason(now time.Duration, w *waiter) api.Reason {
	if now >= w.deadline-s.requiredTime(w) {
		return api.ReasonDeadlineUnmeetable
	}
	if s.limit(now) == 0 {
		return api.ReasonHoldUnconfirmed
	}
	return api.ReasonNoSlot
}

// abandonReason distinguishes a passed deadline from a caller that left.
func abandonReason(ctx context.Context) api.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return api.ReasonDeadlinePassed
	}
	return api.ReasonCallerGone
}

// refuse returns a refusal whose retry delay is the time in which the queue is
// expected to drain.
func (s *shard) refuse(now time.Duration, reason api.Reason) *api.Refusal {
	after := s.expectedWait(now, s.queue.length) + s.latency.upperBound()
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return api.NotRun(reason, s.jitter(after), "service "+s.service)
}

// jitter varies a duration randomly, so that callers do not return all at
// once.
func (s *shard) jitter(d time.Duration) time.Duration {
	return seconds(d.Seconds() * (1 + retryJitter*(2*s.rand.Float64()-1)))
}

// dispatch assigns free slots to waiters in fair order and drops waiters whose
// deadline can no longer be met or that have waited too long.
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
		e := s.chooser.choose(now, s.endpoints, s.stats(), w.constraints)
		w.resolve(waitResult{ticket: s.assign(now, e, w.caller)})
	}
	s.scheduleWake()
}

// nextWaiter removes and returns the next waiter that has an endpoint or must
// be dropped; the latter is already resolved. Callers within their share are
// served first.
func (s *shard) nextWaiter(now time.Duration) *waiter {
	s.noneUsable = s.chooser.choose(now, s.endpoints, s.stats(), constraints{deadline: noExpiry}) == nil
	if s.noneUsable {
		return nil
	}
	limit := s.callerLimit(now)
	w := s.queue.next(func(w *waiter) bool {
		return s.perCaller[w.caller] < limit && s.leavesQueue(now, w)
	})
	if w != nil {
		return w
	}
	return s.queue.next(func(w *waiter) bool { return s.leavesQueue(now, w) })
}

// leavesQueue reports whether w leaves the queue now. It resolves w itself
// when the deadline cannot be met or the maximum queue time is below the time
// that w has waited.
func (s *shard) leavesQueue(now time.Duration, w *waiter) bool {
	if now-w.arrivedAt > s.maxQueueTime(now, w.class) {
		w.resolve(waitResult{refusal: s.refuse(now, api.ReasonNoSlot)})
		return true
	}
	if !s.canMeetDeadline(now, w) {
		w.resolve(waitResult{refusal: s.refuse(now, api.ReasonDeadlineUnmeetable)})
		return true
	}
	return s.chooser.choose(now, s.endpoints, s.stats(), w.constraints) != nil
}

// scheduleWake schedules the next dispatch while requests wait.
func (s *shard) scheduleWake() {
	if s.queue.length == 0 || s.wake != nil {
		return
	}
	s.wake = time.AfterFunc(dispatchInterval, func() {
		s.mu.Lock()
		defer s.unlock()
		s.wake = nil
		s.dispatch(s.router.now())
	})
}
