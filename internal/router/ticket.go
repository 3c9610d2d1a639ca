package router

import (
	"net/http"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Result is the outcome of the attempt that a ticket was used for.
type Result struct {
	Err      *platform.AttemptError // nil when the endpoint answered completely
	Status   int                    // of the answer; 0 when unknown
	Latency  time.Duration          // of the attempt, without the time in the queue
	Feedback platform.Feedback      // SlotsBusy is -1 when the endpoint reported none
}

// Ticket is the right to send one request to one endpoint. Either Done or
// Release must be called; further calls do nothing.
type Ticket struct {
	shard    *shard
	endpoint *endpoint // guarded by the shard's lock
	caller   string
	target   api.Endpoint
	epoch    api.Epoch
	probe    bool
	done     bool // guarded by the shard's lock
}

// Endpoint returns the endpoint to send to.
func (t *Ticket) Endpoint() api.Endpoint { return t.target }

// Epoch returns the epoch of the hold under which the request is sent.
func (t *Ticket) Epoch() api.Epoch { return t.epoch }

// Valid reports whether the request may still be sent at now: the endpoint is
// held at the same epoch and not leaving, and its limit, which may have
// dropped since, covers all requests in flight. Call it immediately before
// sending.
func (t *Ticket) Valid(now time.Time) bool {
	s := t.shard
	s.mu.Lock()
	defer s.unlock()
	at := s.router.instant(now)
	e := t.endpoint
	if t.done || e.isLeaving(at) || e.Epoch != t.epoch {
		return false
	}
	if s.spec.policy == PolicyBaseline {
		return e.limit(at) > 0
	}
	return e.inFlight <= e.limit(at)
}

// Release frees the slot of a request that was never sent.
func (t *Ticket) Release() {
	t.finish(func(now time.Duration) {
		if t.probe {
			t.endpoint.health.cancelProbe(now)
		}
	})
}

// Done frees the slot and applies the result.
func (t *Ticket) Done(result Result) {
	t.finish(func(now time.Duration) { t.applyResult(now, result) })
}

// finish calls update and frees the slot at the first call.
func (t *Ticket) finish(update func(now time.Duration)) {
	s := t.shard
	s.mu.Lock()
	defer s.unlock()
	if t.done {
		return
	}
	t.done = true
	now := s.router.now()
	update(now)
	s.releaseSlot(t.endpoint, t.caller)
	s.dispatch(now)
}

// resultClass is what a result shows about the endpoint.
type resultClass uint8

const (
	resultNeutral     resultClass = iota // nothing: the caller left, or the request was invalid
	resultOK                             // the endpoint works
	resultFailed                         // the endpoint ran or may have run the request, and failed
	resultRefused                        // the endpoint refused the request in its answer
	resultUnreachable                    // no connection
)

// classifyResult returns what a result shows about the endpoint.
func classifyResult(r Result) resultClass {
	if r.Err == nil {
		if r.Status >= http.StatusInternalServerError {
			return resultFailed
		}
		return resultOK
	}
	switch r.Err.Reason {
	case api.ReasonEndpointRefused:
		return resultRefused
	case api.ReasonConnectFailed:
		return resultUnreachable
	case api.ReasonCallerGone, api.ReasonDeadlinePassed, api.ReasonMalformed, api.ReasonAnswerTooLarge:
		return resultNeutral
	default:
		return resultFailed
	}
}

// timedOutEarly reports whether the request timed out after less time than
// most requests of the service take.
func (s *shard) timedOutEarly(r Result) bool {
	return r.Err != nil && r.Err.Reason == api.ReasonAnswerTimeout && r.Latency < s.latency.upperBound()
}

// applyResult updates the endpoint's state from a result.
func (t *Ticket) applyResult(now time.Duration, r Result) {
	s, e := t.shard, t.endpoint
	e.contact.record(now, r)
	if r.Feedback.Leaving {
		s.markLeaving(now, e)
	}
	e.updateBusy(now, s.router.cfg.BusyAge, r.Feedback.SlotsBusy)
	class := classifyResult(r)
	if class == resultFailed && s.timedOutEarly(r) {
		class = resultNeutral
	}
	switch class {
	case resultNeutral:
		if t.probe {
			e.health.cancelProbe(now)
		}
		return
	case resultOK:
		e.backoff = 0
		s.updateLatency(now, e, r.Latency, true)
	case resultFailed:
		s.updateLatency(now, e, r.Latency, false)
	case resultRefused, resultUnreachable:
		s.block(now, e)
	}
	if r.Feedback.Leaving && !t.probe {
		return // a refusal because of leaving is no failure
	}
	s.updateHealth(now, e, class == resultOK, t.probe)
}

// markLeaving excludes an endpoint that reports that it is leaving, without
// waiting for the endpoint list.
func (s *shard) markLeaving(now time.Duration, e *endpoint) {
	if now >= e.leavingUntil {
		s.recordEvent(EventLeaving, e)
	}
	e.leavingUntil = now + s.router.cfg.LeavingHold
}

// block pauses new requests to an endpoint that refused a request or a
// connection, each time for twice as long.
func (s *shard) block(now time.Duration, e *endpoint) {
	cfg := &s.router.cfg
	if now < e.blockedUntil {
		return // one of several requests that were in flight together
	}
	e.backoff = min(max(2*e.backoff, cfg.RefusalBackoff), cfg.MaxRefusalBackoff)
	e.blockedUntil = now + e.backoff
}

// updateLatency adds a latency sample to the averages of the endpoint and,
// after a success, of the service.
func (s *shard) updateLatency(now time.Duration, e *endpoint, latency time.Duration, ok bool) {
	e.health.observeLatency(now, latency.Seconds(), ok)
	if ok {
		s.latency = s.latency.with(latency.Seconds())
	}
}

// updateHealth counts a result and ejects or restores the endpoint
// accordingly.
func (s *shard) updateHealth(now time.Duration, e *endpoint, ok, probe bool) {
	policy := s.router.ejection
	h := &e.health
	h.observe(now, policy.halfLife, ok)
	s.results = s.results.decayed(now, policy.halfLife).with(ok)
	defer s.countEjected()
	if probe && h.state == stateProbing {
		policy.handleProbeResult(now, h, ok)
		if ok {
			s.recordEvent(EventRestored, e)
		}
		return
	}
	if ok {
		policy.resetProbeInterval(now, h)
		return
	}
	others := s.results.without(h.counts)
	if policy.shouldEject(h, others, s.ejected, len(s.endpoints)) {
		policy.eject(now, h)
		s.recordEvent(EventEjected, e)
	}
}
