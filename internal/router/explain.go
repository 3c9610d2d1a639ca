package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// EndpointView is what the router knows of one endpoint, for operators.
type EndpointView struct {
	Endpoint    api.EndpointID `json:"endpoint"`
	Epoch       api.Epoch      `json:"epoch"`
	Limit       int            `json:"limit"` // requests in flight that the hold allows
	InFlight    int            `json:"in_flight"`
	Free        int            `json:"free"`       // requests it would be given now
	Leaving     bool           `json:"leaving"`    // by the list or its own word
	Blocked     bool           `json:"blocked"`    // it refused or could not be reached just now
	Ejected     bool           `json:"ejected"`    // an outlier by its failures
	Probing     bool           `json:"probing"`    // ejected, with one request out
	Released    bool           `json:"given_up"`   // finishing what is in flight
	FailureRate float64        `json:"failures"`   // share of recent requests, 0 to 1
	LatencyMs   float64        `json:"latency_ms"` // moving average
}

// ServiceView is what the router knows of one service, for operators.
type ServiceView struct {
	Service     string         `json:"service"`
	Policy      string         `json:"policy"`
	Waiting     int            `json:"waiting"` // requests in the queue
	InFlight    int            `json:"in_flight"`
	LatencyMs   float64        `json:"latency_ms"` // moving average of successes
	FailureRate float64        `json:"failures"`   // share of recent requests, 0 to 1
	Endpoints   []EndpointView `json:"endpoints"`  // in no order
}

// Explain returns the state from which the endpoints of a service are chosen;
// false when the router doesn't know the service.
func (r *Router) Explain(service string) (ServiceView, bool) {
	s := r.find(service)
	if s == nil {
		return ServiceView{}, false
	}
	s.mu.Lock()
	defer s.unlock()
	now := r.now()
	view := ServiceView{
		Service:     service,
		Policy:      s.spec.policy,
		Waiting:     s.queue.length,
		InFlight:    s.inFlight,
		LatencyMs:   milliseconds(s.latency.mean),
		FailureRate: s.results.share(),
	}
	for _, e := range s.byID {
		view.Endpoints = append(view.Endpoints, e.view(now))
	}
	return view, true
}

// view returns the endpoint as operators see it.
func (e *endpoint) view(now time.Duration) EndpointView {
	return EndpointView{
		Endpoint:    e.Endpoint.ID,
		Epoch:       e.Epoch,
		Limit:       e.limit(now),
		InFlight:    e.inFlight,
		Free:        e.free(now),
		Leaving:     e.leaving(now),
		Blocked:     now < e.blockedUntil,
		Ejected:     e.health.standing != standingGood,
		Probing:     e.health.standing == standingProbing,
		Released:    e.given,
		FailureRate: e.health.rate.share(),
		LatencyMs:   milliseconds(e.health.latency),
	}
}

// milliseconds converts seconds.
func milliseconds(s float64) float64 { return s * 1000 }
