package router

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/defaults"
)

// shard is the state of one service.
type shard struct {
	service string
	router  *Router

	mu                  sync.Mutex
	spec                serviceLimits
	chooser             chooser
	rand                *rand.Rand
	endpoints           []*endpoint                  // in the order of the endpoint list
	byID                map[api.EndpointID]*endpoint // held, or released with requests in flight
	results             resultCounts                 // of all endpoints
	latency             latencyEstimate              // of successful requests
	ejected             int                          // number of held endpoints that are ejected or probing
	inFlight            int                          // number of requests
	perCaller           map[string]int               // requests in flight
	queue               fairQueue
	lastInteractiveIdle time.Duration // last time that a request arrived while no interactive request was waiting
	noneUsable          bool          // no endpoint was usable at the last dispatch
	slotCache           cachedSlotCount
	wake                *time.Timer // dispatches again while requests wait; nil when none is scheduled
	events              []Event     // sent when the lock is released
}

// serviceLimits holds the fields of a service's record that the router uses.
type serviceLimits struct {
	policy      string
	queueLength int
	queueTime   time.Duration
	callerShare float64
}

// newShard returns a shard without endpoints.
func newShard(r *Router, service string, source *rand.Rand) *shard {
	s := &shard{
		service:   service,
		router:    r,
		rand:      source,
		byID:      make(map[api.EndpointID]*endpoint),
		perCaller: make(map[string]int),
	}
	s.queue.weight = r.cfg.InteractiveWeight
	s.setSpec(api.ServiceSpec{})
	return s
}

// setSpec sets the limits of a record; zero fields are replaced by the
// defaults.
func (s *shard) setSpec(spec api.ServiceSpec) {
	cfg := &s.router.cfg
	next := serviceLimits{
		policy:      spec.RoutingPolicy,
		queueLength: spec.QueueLength,
		queueTime:   time.Duration(spec.QueueTimeoutMs) * time.Millisecond,
		callerShare: spec.CallerShare,
	}
	defaults.Set(&next.policy, PolicyLeastLoaded)
	defaults.Set(&next.queueLength, cfg.QueueLength)
	defaults.Set(&next.queueTime, cfg.QueueTime)
	defaults.Set(&next.callerShare, cfg.CallerShare)
	if s.chooser == nil || next.policy != s.spec.policy {
		s.chooser = newChooser(next.policy, s.rand)
	}
	s.spec = next
}

// newChooser returns the chooser of a policy.
func newChooser(policy string, source *rand.Rand) chooser {
	if policy == PolicyBaseline {
		return &roundRobin{}
	}
	return leastLoaded{rand: source}
}

// unlock releases the lock and sends the events that were recorded under it.
func (s *shard) unlock() {
	events := s.events
	s.events = nil
	s.mu.Unlock()
	if s.router.cfg.OnEvent == nil {
		return
	}
	for _, event := range events {
		s.router.cfg.OnEvent(event)
	}
}

// setEndpoints replaces the endpoints held.
func (s *shard) setEndpoints(now time.Duration, list []HeldEndpoint) {
	listed := make(map[api.EndpointID]bool, len(list))
	endpoints := make([]*endpoint, 0, len(list))
	for _, h := range list {
		if listed[h.Endpoint.ID] {
			continue
		}
		listed[h.Endpoint.ID] = true
		endpoints = append(endpoints, s.refresh(h))
	}
	for id, e := range s.byID {
		if !listed[id] {
			s.releaseEndpoint(id, e)
		}
	}
	s.endpoints = endpoints
	s.slotCache = cachedSlotCount{}
	s.countEjected()
	s.dispatch(now)
}

// refresh updates an endpoint or adds a new one.
func (s *shard) refresh(h HeldEndpoint) *endpoint {
	e := s.byID[h.Endpoint.ID]
	if e == nil {
		e = &endpoint{}
		s.byID[h.Endpoint.ID] = e
	}
	if e.Endpoint.Address != h.Endpoint.Address {
		e.reset()
	}
	e.HeldEndpoint = h
	e.released = false
	e.limitExpiry = noExpiry
	if !h.SlotLimitExpiry.IsZero() {
		e.limitExpiry = s.router.instant(h.SlotLimitExpiry)
	}
	return e
}

// releaseEndpoint stops new requests to e and deletes it if none is in flight;
// otherwise releaseSlot deletes it after the last one.
func (s *shard) releaseEndpoint(id api.EndpointID, e *endpoint) {
	e.released = true
	if e.inFlight == 0 {
		delete(s.byID, id)
	}
}

// countEjected counts the held endpoints that are ejected or probing.
func (s *shard) countEjected() {
	s.ejected = 0
	for _, e := range s.endpoints {
		if e.health.state != stateActive {
			s.ejected++
		}
	}
}

// stats returns the averages of the service for the choice of an endpoint.
func (s *shard) stats() serviceStats {
	return serviceStats{latency: s.latency.mean, halfLife: s.router.cfg.HealthHalfLife}
}

// limit returns the number of requests in flight that the holds allow.
func (s *shard) limit(now time.Duration) int {
	total := 0
	for _, e := range s.endpoints {
		total += e.limit(now)
	}
	return total
}

// cachedSlotCount is a count of slots that is valid until expiry.
type cachedSlotCount struct {
	slots  int
	expiry time.Duration
}

// slotCacheTTL is the maximum age of the slot count in estimates of waiting
// times.
const slotCacheTTL = 10 * time.Millisecond

// healthySlots returns the number of requests that all healthy endpoints
// together may have in flight, as of at most slotCacheTTL ago.
func (s *shard) healthySlots(now time.Duration) int {
	if now < s.slotCache.expiry {
		return s.slotCache.slots
	}
	total := 0
	for _, e := range s.endpoints {
		if !e.isLeaving(now) && e.health.state == stateActive {
			total += e.limit(now)
		}
	}
	s.slotCache = cachedSlotCount{slots: total, expiry: now + slotCacheTTL}
	return total
}

// freeSlots returns the number of requests that may be sent at now.
func (s *shard) freeSlots(now time.Duration) int {
	total := 0
	for _, e := range s.endpoints {
		total += e.freeSlots(now)
	}
	return total
}

// callerLimit returns the number of requests that one caller may have in
// flight while other callers wait.
func (s *shard) callerLimit(now time.Duration) int {
	limit := math.Ceil(s.spec.callerShare * float64(s.healthySlots(now)))
	return max(int(limit), 1)
}

// assign gives a slot of e to a request of the caller.
func (s *shard) assign(now time.Duration, e *endpoint, caller string) *Ticket {
	probe := e.health.state == stateEjected
	if probe {
		e.health.state = stateProbing
		s.recordEvent(EventProbed, e)
	}
	e.inFlight++
	e.peakInFlight.observe(now, s.router.cfg.BusyAge, e.inFlight)
	s.inFlight++
	s.perCaller[caller]++
	return &Ticket{shard: s, endpoint: e, caller: caller, target: e.Endpoint, epoch: e.Epoch, probe: probe}
}

// releaseSlot frees a slot that assign gave out.
func (s *shard) releaseSlot(e *endpoint, caller string) {
	e.inFlight--
	s.inFlight--
	s.perCaller[caller]--
	if s.perCaller[caller] == 0 {
		delete(s.perCaller, caller)
	}
	if e.inFlight > 0 {
		return
	}
	if e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
	if e.released {
		delete(s.byID, e.Endpoint.ID)
	}
}

// recordEvent records an event, which unlock sends.
func (s *shard) recordEvent(kind EventType, e *endpoint) {
	if s.router.cfg.OnEvent == nil {
		return
	}
	others := s.results.without(e.health.counts)
	s.events = append(s.events, Event{
		Type:              kind,
		Service:           s.service,
		Endpoint:          e.Endpoint.ID,
		FailureRate:       e.health.counts.failureRate(),
		OthersFailureRate: others.failureRate(),
	})
}
