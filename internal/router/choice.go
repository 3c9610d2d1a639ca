package router

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Policies of ServiceSpec.RoutingPolicy.
const (
	// PolicyLeastLoaded is the default.
	PolicyLeastLoaded = "least-loaded"
	// PolicyBaseline takes turns, without queue, limits or health. It is kept
	// to measure against.
	PolicyBaseline = "baseline"
)

const (
	// fullScan is the number of endpoints up to which all are compared.
	fullScan = 64
	// sampleSize is the number compared in larger services.
	sampleSize = 8
	// slowFactor: an endpoint that many times slower than the fleet is passed
	// over by a request that it would finish too late.
	slowFactor = 2
)

// fleet is what the choice knows beside the endpoints.
type fleet struct {
	latency  float64 // moving average of the service, seconds; 0 when unknown
	halfLife time.Duration
}

// demand is what the choice knows of a request.
type demand struct {
	exclude  []api.EndpointID
	deadline time.Duration // noExpiry when it has none
}

// chooser picks an endpoint for a demand, or nil.
type chooser interface {
	choose(now time.Duration, endpoints []*endpoint, f fleet, d demand) *endpoint
}

// leastLoaded compares endpoints by their cost: all of them in small
// services, a random sample in large ones.
type leastLoaded struct {
	rand *rand.Rand
}

// choose implements chooser.
func (c leastLoaded) choose(now time.Duration, endpoints []*endpoint, f fleet, d demand) *endpoint {
	n := len(endpoints)
	if n == 0 {
		return nil
	}
	start := c.rand.IntN(n)
	if n > fullScan {
		best := c.sample(now, endpoints, f, d)
		if best != nil {
			return best
		}
	}
	return scan(now, endpoints, start, f, d)
}

// sample compares a few endpoints drawn at random.
func (c leastLoaded) sample(now time.Duration, endpoints []*endpoint, f fleet, d demand) *endpoint {
	var best *endpoint
	var bestCost float64
	for range sampleSize {
		e := endpoints[c.rand.IntN(len(endpoints))]
		free := usable(now, e, f, d)
		if free == 0 {
			continue
		}
		cost := e.cost(now, free, f)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// scan compares all endpoints, beginning at start so that equals take turns.
// An endpoint that is due for its probe goes first.
func scan(now time.Duration, endpoints []*endpoint, start int, f fleet, d demand) *endpoint {
	var best *endpoint
	var bestCost float64
	n := len(endpoints)
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		e := endpoints[at]
		free := usable(now, e, f, d)
		if free == 0 {
			continue
		}
		cost := e.cost(now, free, f)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// usable returns the slots of e that a request of demand d may take one of.
func usable(now time.Duration, e *endpoint, f fleet, d demand) int {
	free := e.free(now)
	if free == 0 || e.excluded(d.exclude) {
		return 0
	}
	if d.deadline == noExpiry || f.latency == 0 {
		return free
	}
	expected := e.health.expectedLatency(now, f.halfLife, f.latency)
	if expected >= slowFactor*f.latency && now+seconds(expected) > d.deadline {
		return 0
	}
	return free
}

// cost is the load that e, with the given slots free, would have with one more
// request, weighed by how long it takes and how often it fails. A probe costs
// nothing.
func (e *endpoint) cost(now time.Duration, free int, f fleet) float64 {
	if e.health.standing == standingEjected {
		return 0
	}
	limit := e.limit(now)
	load := float64(limit-free+1) / float64(limit)
	latency := e.health.expectedLatency(now, f.halfLife, f.latency)
	return load * (latency + minLatency) * e.health.penalty(now, f.halfLife)
}

// minLatency keeps the cost above zero, in seconds.
const minLatency = 1e-6

// seconds converts to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// roundRobin takes turns among the endpoints that are held.
type roundRobin struct {
	next int
}

// choose implements chooser.
func (c *roundRobin) choose(now time.Duration, endpoints []*endpoint, _ fleet, d demand) *endpoint {
	for range endpoints {
		c.next++
		e := endpoints[c.next%len(endpoints)]
		if e.leaving(now) || e.limit(now) == 0 || e.excluded(d.exclude) {
			continue
		}
		return e
	}
	return nil
}
