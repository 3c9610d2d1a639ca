package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// HeldEndpoint is an endpoint whose shard this entry VM holds.
type HeldEndpoint struct {
	Endpoint         api.Endpoint
	SlotLimit        int       // maximum requests in flight that the hold allows now
	Epoch            api.Epoch // of the hold
	SlotLimitExpiry  time.Time // SlotLimit is valid before it, by the router's clock; zero: until the next SetEndpoints
	ExpiredSlotLimit int       // replaces SlotLimit from SlotLimitExpiry on
}

// Router selects endpoints for requests. It is safe for concurrent use.
type Router struct {
	cfg      Config
	ejection ejectionPolicy
	start    time.Time

	mu     sync.RWMutex // guards the map, not the shards
	shards map[string]*shard
	rand   *rand.Rand
}

// New returns a router without services. The caller validates cfg.
func New(cfg Config) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:    cfg,
		start:  cfg.Now(),
		shards: make(map[string]*shard),
		rand:   rand.New(cfg.Rand),
		ejection: ejectionPolicy{
			margin:           cfg.EjectMargin,
			minSamples:       cfg.EjectSamples,
			maxEjectedShare:  cfg.EjectShare,
			probeInterval:    cfg.ProbeInterval,
			maxProbeInterval: cfg.MaxProbeInterval,
			halfLife:         cfg.HealthHalfLife,
		},
	}
}

// instant converts a time to a duration since the router was created.
func (r *Router) instant(t time.Time) time.Duration {
	return t.Sub(r.start)
}

// now returns the current time as a duration since the router was created.
func (r *Router) now() time.Duration {
	return r.instant(r.cfg.Now())
}

// SetService sets the limits and the policy of a service. Zero fields of the
// record are replaced by the router's defaults.
func (r *Router) SetService(service string, spec api.ServiceSpec) {
	s := r.shardOf(service)
	s.mu.Lock()
	defer s.unlock()
	s.setSpec(spec)
	s.dispatch(r.now())
}

// SetEndpoints replaces the endpoints that this entry VM holds. An endpoint
// that is no longer listed is released: it gets no new requests, and the
// requests in flight finish. WaitIdle waits for that.
func (r *Router) SetEndpoints(now time.Time, held []HeldEndpoint) {
	byService := make(map[string][]HeldEndpoint)
	for _, h := range held {
		byService[h.Endpoint.Service] = append(byService[h.Endpoint.Service], h)
	}
	for service := range byService {
		r.shardOf(service)
	}
	at := r.instant(now)
	for _, s := range r.allShards() {
		s.mu.Lock()
		s.setEndpoints(at, byService[s.service])
		s.unlock()
	}
}

// Acquire selects an endpoint with a free slot that is not in exclude, and
// waits for one within the service's limits. The context carries the deadline.
// Errors are of type *api.Refusal, with outcome not-run.
func (r *Router) Acquire(ctx context.Context, service string, class api.Class, caller string, exclude []api.EndpointID) (*Ticket, error) {
	s, w, refusal := r.prepare(ctx, service, class, caller, exclude)
	if refusal != nil {
		return nil, refusal
	}
	return s.acquire(ctx, w)
}

// Free returns the number of requests that the service's endpoints can take
// now.
func (r *Router) Free(service string) int {
	s := r.find(service)
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.unlock()
	return s.freeSlots(r.now())
}

// InFlight returns the number of unfinished tickets of all services.
func (r *Router) InFlight() int {
	total := 0
	for _, s := range r.allShards() {
		s.mu.Lock()
		total += s.inFlight
		s.unlock()
	}
	return total
}

// MaxInFlight returns the maximum number of unfinished tickets at any one of
// the given endpoints.
func (r *Router) MaxInFlight(ids []api.EndpointID) int {
	highest := 0
	for _, s := range r.allShards() {
		s.mu.Lock()
		for _, id := range ids {
			if e := s.byID[id]; e != nil {
				highest = max(highest, e.inFlight)
			}
		}
		s.unlock()
	}
	return highest
}

// WaitIdle waits until no request is in flight to any of the endpoints, which
// must have been released, or returns the context's error.
func (r *Router) WaitIdle(ctx context.Context, ids []api.EndpointID) error {
	for _, s := range r.allShards() {
		for _, id := range ids {
			if err := s.waitIdle(ctx, id); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitIdle waits until no request is in flight to one endpoint.
func (s *shard) waitIdle(ctx context.Context, id api.EndpointID) error {
	for {
		idle := s.idle(id)
		if idle == nil {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// idle returns a channel that is closed when no request is in flight to the
// endpoint, or nil when none is in flight now.
func (s *shard) idle(id api.EndpointID) <-chan struct{} {
	s.mu.Lock()
	defer s.unlock()
	e := s.byID[id]
	if e == nil || e.inFlight == 0 {
		return nil
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	return e.idle
}

// find returns the shard of a service, or nil.
func (r *Router) find(service string) *shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.shards[service]
}

// shardOf returns the shard of a service and creates it if necessary.
func (r *Router) shardOf(service string) *shard {
	if s := r.find(service); s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.shards[service]
	if s == nil {
		source := rand.New(rand.NewPCG(r.rand.Uint64(), r.rand.Uint64()))
		s = newShard(r, service, source)
		r.shards[service] = s
	}
	return s
}

// allShards returns the shards of all services.
func (r *Router) allShards() []*shard {
	r.mu.RLock()
	defer r.mu.RUnlock()
	shards := make([]*shard, 0, len(r.shards))
	for _, s := range r.shards {
		shards = append(shards, s)
	}
	return shards
}
