package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// EndpointView is the router's state of one endpoint, for operators.
type EndpointView struct {
	Endpoint    api.EndpointID `json:"endpoint"`
	Epoch       api.Epoch      `json:"epoch"`
	Limit       int            `json:"limit"` // maximum requests in flight under the hold
	InFlight    int            `json:"in_flight"`
	Free        int            `json:"free"`       // requests that it may get now
	Leaving     bool           `json:"leaving"`    // according to the endpoint list or the endpoint itself, or released
	Blocked     bool           `json:"blocked"`    // after a recent refusal or failed connection attempt
	Ejected     bool           `json:"ejected"`    // because of its failures compared with the other endpoints
	Probing     bool           `json:"probing"`    // ejected, with one probe request in flight
	Released    bool           `json:"given_up"`   // no longer held; requests in flight finish
	FailureRate float64        `json:"failures"`   // share of failures in recent requests, 0 to 1
	LatencyMs   float64        `json:"latency_ms"` // moving average
}

// ServiceView is the router's state of one service, for operators.
type ServiceView struct {
	Service     string         `json:"service"`
	Policy      string         `json:"policy"`
	Waiting     int            `json:"waiting"` // requests in the queue
	InFlight    int            `json:"in_flight"`
	LatencyMs   float64        `json:"latency_ms"` // moving average of successful requests
	FailureRate float64        `json:"failures"`   // share of failures in recent requests, 0 to 1
	Endpoints   []EndpointView `json:"endpoints"`  // unordered
}

// Explain returns the state from which the endpoints of a service are
// selected, and false when the router does not know the service.
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
		FailureRate: s.results.failureRate(),
	}
	for _, e := range s.byID {
		view.Endpoints = append(view.Endpoints, e.view(now))
	}
	return view, true
}

// view returns the state of e for operators.
func (e *endpoint) view(now time.Duration) EndpointView {
	return EndpointView{
		Endpoint:    e.Endpoint.ID,
		Epoch:       e.Epoch,
		Limit:       e.limit(now),
		InFlight:    e.inFlight,
		Free:        e.freeSlots(now),
		Leaving:     e.isLeaving(now),
		Blocked:     now < e.blockedUntil,
		Ejected:     e.health.state != stateActive,
		Probing:     e.health.state == stateProbing,
		Released:    e.released,
		FailureRate: e.health.counts.failureRate(),
		LatencyMs:   milliseconds(e.health.latency),
	}
}

// milliseconds converts a number of seconds.
func milliseconds(s float64) float64 { return s * 1000 }
