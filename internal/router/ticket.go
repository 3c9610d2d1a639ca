package router

import (
	"net/http"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Result is what became of the attempt that a ticket was for.
type Result struct {
	Err      *platform.AttemptError // nil when a whole answer came
	Status   int                    // of the answer; 0 when unknown
	Latency  time.Duration          // of the attempt, without the wait in the queue
	Feedback platform.Feedback      // SlotsBusy -1 when not told
}

// Ticket is the right to send one request to one endpoint. Done must be
// called exactly once; further calls do nothing.
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
// held at the same epoch, takes new requests, and its limit, which may have
// dropped since, covers all that is in flight. Call it right before sending.
func (t *Ticket) Valid(now time.Time) bool {
	s := t.shard
	s.mu.Lock()
	defer s.unlock()
	at := s.router.instant(now)
	e := t.endpoint
	if t.done || e.leaving(at) || e.Epoch != t.epoch {
		return false
	}
	if s.spec.policy == PolicyBaseline {
		return e.limit(at) > 0
	}
	return e.inFlight <= e.limit(at)
}

// Release gives the slot back of a request that was never sent.
func (t *Ticket) Release() {
	t.finish(func(now time.Duration) {
		if t.probe {
			t.endpoint.health.abandonProbe(now)
		}
	})
}

// Done gives the slot back and takes the result into account.
func (t *Ticket) Done(result Result) {
	t.finish(func(now time.Duration) { t.learn(now, result) })
}

// finish ends the ticket once.
func (t *Ticket) finish(learn func(now time.Duration)) {
	s := t.shard
	s.mu.Lock()
	defer s.unlock()
	if t.done {
		return
	}
	t.done = true
	now := s.router.now()
	learn(now)
	s.giveBack(t.endpoint, t.caller)
	s.dispatch(now)
}

// verdict is what a result says about the endpoint.
type verdict uint8

const (
	verdictNone    verdict = iota // nothing: the caller left, or the request was at fault
	verdictOK                     // it works
	verdictFailed                 // it ran or may have run the request, and failed
	verdictRefused                // it refused in-band
	verdictNoReach                // no connection
)

// judge returns what a result says about the endpoint.
func judge(r Result) verdict {
	if r.Err == nil {
		if r.Status >= http.StatusInternalServerError {
			return verdictFailed
		}
		return verdictOK
	}
	switch r.Err.Reason {
	case api.ReasonEndpointRefused:
		return verdictRefused
	case api.ReasonConnectFailed:
		return verdictNoReach
	case api.ReasonCallerGone, api.ReasonDeadlinePassed, api.ReasonMalformed, api.ReasonAnswerTooLarge:
		return verdictNone
	default:
		return verdictFailed
	}
}

// hasty reports whether the caller gave the endpoint less time than most
// requests of the service take.
func (s *shard) hasty(r Result) bool {
	return r.Err != nil && r.Err.Reason == api.ReasonAnswerTimeout && r.Latency < s.latency.most()
}

// learn applies a result to the endpoint's state.
func (t *Ticket) learn(now time.Duration, r Result) {
	s, e := t.shard, t.endpoint
	e.contact.note(now, r)
	if r.Feedback.Leaving {
		s.markLeaving(now, e)
	}
	e.noteBusy(now, s.router.cfg.BusyAge, r.Feedback.SlotsBusy)
	v := judge(r)
	if v == verdictFailed && s.hasty(r) {
		v = verdictNone
	}
	switch v {
	case verdictNone:
		if t.probe {
			e.health.abandonProbe(now)
		}
		return
	case verdictOK:
		e.backoff = 0
		s.observe(now, e, r.Latency, true)
	case verdictFailed:
		s.observe(now, e, r.Latency, false)
	case verdictRefused, verdictNoReach:
		s.block(now, e)
	}
	if r.Feedback.Leaving && !t.probe {
		return // a refusal for leaving is no failure
	}
	s.judgeHealth(now, e, v == verdictOK, t.probe)
}

// markLeaving believes an endpoint's own word at once.
func (s *shard) markLeaving(now time.Duration, e *endpoint) {
	if now >= e.leavingUntil {
		s.note(EventLeaving, e)
	}
	e.leavingUntil = now + s.router.cfg.LeavingHold
}

// block keeps new requests from an endpoint that refused or didn't answer the
// dial, each time for twice as long.
func (s *shard) block(now time.Duration, e *endpoint) {
	cfg := &s.router.cfg
	if now < e.blockedUntil {
		return // one of several that were in flight together
	}
	e.backoff = min(max(2*e.backoff, cfg.RefusalBackoff), cfg.MaxRefusalBackoff)
	e.blockedUntil = now + e.backoff
}

// observe takes a latency into the averages.
func (s *shard) observe(now time.Duration, e *endpoint, latency time.Duration, ok bool) {
	e.health.observeLatency(now, latency.Seconds(), ok)
	if ok {
		s.latency = s.latency.with(latency.Seconds())
	}
}

// judgeHealth counts a result and ejects or restores the endpoint by it.
func (s *shard) judgeHealth(now time.Duration, e *endpoint, ok, probe bool) {
	rule := s.router.outliers
	h := &e.health
	h.observe(now, rule.halfLife, ok)
	s.results = s.results.decayed(now, rule.halfLife).with(ok)
	defer s.countEjected()
	if probe && h.standing == standingProbing {
		rule.endProbe(now, h, ok)
		if ok {
			s.note(EventRestored, e)
		}
		return
	}
	if ok {
		rule.forgive(now, h)
		return
	}
	others := s.results.without(h.rate)
	if rule.shouldEject(h, others, s.ejected, len(s.held)) {
		rule.eject(now, h)
		s.note(EventEjected, e)
	}
}
