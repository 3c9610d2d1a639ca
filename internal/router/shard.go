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

	mu        sync.Mutex
	spec      limits
	chooser   chooser
	rand      *rand.Rand
	held      []*endpoint                  // in the order of the list
	byID      map[api.EndpointID]*endpoint // held or given up with requests in flight
	results   rate                         // of all endpoints
	latency   serviceTime                  // of successes
	ejected   int                          // endpoints not in good standing
	inFlight  int                          // requests
	perCaller map[string]int               // requests in flight
	queue     fairQueue
	calm      time.Duration // when a request last found no interactive one waiting
	starved   bool          // no endpoint was usable at the last dispatch
	sound     slotCount
	wake      *time.Timer // dispatches again while requests wait; nil when none do
	events    []Event     // to be told when the lock is released
}

// limits are the parts of a service's record that the router follows.
type limits struct {
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

// setSpec takes the limits of a record; zero fields take the defaults.
func (s *shard) setSpec(spec api.ServiceSpec) {
	cfg := &s.router.cfg
	next := limits{
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

// unlock releases the lock and tells the events that came up under it.
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

// setHeld replaces the endpoints held.
func (s *shard) setHeld(now time.Duration, list []HeldEndpoint) {
	listed := make(map[api.EndpointID]bool, len(list))
	held := make([]*endpoint, 0, len(list))
	for _, h := range list {
		if listed[h.Endpoint.ID] {
			continue
		}
		listed[h.Endpoint.ID] = true
		held = append(held, s.refresh(h))
	}
	for id, e := range s.byID {
		if !listed[id] {
			s.giveUp(id, e)
		}
	}
	s.held = held
	s.sound = slotCount{}
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
		e.renew()
	}
	e.HeldEndpoint = h
	e.given = false
	e.until = noExpiry
	if !h.SlotLimitExpiry.IsZero() {
		e.until = s.router.instant(h.SlotLimitExpiry)
	}
	return e
}

// giveUp stops new requests to e and forgets it once none is in flight.
func (s *shard) giveUp(id api.EndpointID, e *endpoint) {
	e.given = true
	if e.inFlight == 0 {
		delete(s.byID, id)
	}
}

// countEjected counts the held endpoints that are not in good standing.
func (s *shard) countEjected() {
	s.ejected = 0
	for _, e := range s.held {
		if e.health.standing != standingGood {
			s.ejected++
		}
	}
}

// fleet returns what the choice needs to know of the service.
func (s *shard) fleet() fleet {
	return fleet{latency: s.latency.mean, halfLife: s.router.cfg.HealthHalfLife}
}

// limit returns the requests that the holds allow in flight.
func (s *shard) limit(now time.Duration) int {
	total := 0
	for _, e := range s.held {
		total += e.limit(now)
	}
	return total
}

// slotCount is a count that is good for slotCountAge.
type slotCount struct {
	slots int
	until time.Duration
}

// slotCountAge bounds how stale the estimates of waits may be.
const slotCountAge = 10 * time.Millisecond

// slots returns the requests that all sound endpoints may have in flight, as
// of at most slotCountAge ago.
func (s *shard) slots(now time.Duration) int {
	if now < s.sound.until {
		return s.sound.slots
	}
	total := 0
	for _, e := range s.held {
		if !e.leaving(now) && e.health.standing == standingGood {
			total += e.limit(now)
		}
	}
	s.sound = slotCount{slots: total, until: now + slotCountAge}
	return total
}

// free returns the requests that may be sent at now.
func (s *shard) free(now time.Duration) int {
	total := 0
	for _, e := range s.held {
		total += e.free(now)
	}
	return total
}

// callerLimit returns the requests one caller may have in flight while other
// callers wait.
func (s *shard) callerLimit(now time.Duration) int {
	limit := math.Ceil(s.spec.callerShare * float64(s.slots(now)))
	return max(int(limit), 1)
}

// take gives a request of the caller to e.
func (s *shard) take(now time.Duration, e *endpoint, caller string) *Ticket {
	probe := e.health.standing == standingEjected
	if probe {
		e.health.standing = standingProbing
		s.note(EventProbed, e)
	}
	e.inFlight++
	e.peak.raise(now, s.router.cfg.BusyAge, e.inFlight)
	s.inFlight++
	s.perCaller[caller]++
	return &Ticket{shard: s, endpoint: e, caller: caller, target: e.Endpoint, epoch: e.Epoch, probe: probe}
}

// giveBack frees what take took.
func (s *shard) giveBack(e *endpoint, caller string) {
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
	if e.given {
		delete(s.byID, e.Endpoint.ID)
	}
}

// note records an event, to be told once the lock is released.
func (s *shard) note(kind EventType, e *endpoint) {
	if s.router.cfg.OnEvent == nil {
		return
	}
	others := s.results.without(e.health.rate)
	s.events = append(s.events, Event{
		Type:              kind,
		Service:           s.service,
		Endpoint:          e.Endpoint.ID,
		FailureRate:       e.health.rate.share(),
		OthersFailureRate: others.share(),
	})
}
