package router

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Check returns the refusal that Acquire would return immediately, or nil. It
// neither takes a slot nor evicts a waiter, so the answer is only an estimate:
// free capacity may change before Acquire is called.
func (r *Router) Check(ctx context.Context, service string, class api.Class, caller string) *api.Refusal {
	s, w, refusal := r.prepare(ctx, service, class, caller, nil)
	if refusal != nil {
		return refusal
	}
	s.mu.Lock()
	defer s.unlock()
	return s.check(r.now(), w)
}

// prepare finds the shard of service and creates the waiter of a request.
func (r *Router) prepare(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (*shard, *waiter, *api.Refusal) {
	s := r.find(service)
	if s == nil {
		return nil, nil, api.NotRun(api.ReasonNoEndpoint, r.cfg.NoEndpointRetry, "service "+service+" has no endpoint here")
	}
	if ctx.Err() != nil {
		return nil, nil, api.NotRun(abandonReason(ctx), 0, "given up before it was routed")
	}
	w := &waiter{
		constraints: constraints{exclude: exclude, deadline: noExpiry},
		class:       class,
		caller:      caller,
		resultCh:    make(chan waitResult, 1),
	}
	if deadline, ok := ctx.Deadline(); ok {
		w.deadline = r.instant(deadline)
	}
	return s, w, nil
}

// check returns the refusal that assignOrEnqueue would return.
func (s *shard) check(now time.Duration, w *waiter) *api.Refusal {
	if refusal := s.refuseUnroutable(now, w); refusal != nil {
		return refusal
	}
	s.recordArrival(now, w)
	if s.spec.policy == PolicyBaseline || s.queue.length == 0 && s.freeSlots(now) > 0 {
		return nil
	}
	if refusal := s.refuseLongWait(now, w); refusal != nil {
		return refusal
	}
	if s.queue.length >= s.spec.queueLength && s.queue.findVictim(w.class, w.caller) == nil {
		return s.refuse(now, api.ReasonQueueFull)
	}
	return nil
}
