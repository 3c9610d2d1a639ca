package router

import (
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Policies of ServiceSpec.RoutingPolicy.
const (
	// PolicyLeastLoaded is the default: it selects the endpoint with the
	// lowest cost.
	PolicyLeastLoaded = "least-loaded"
	// PolicyBaseline selects endpoints round-robin, without queue, limits or
	// health. It serves as the reference in measurements.
	PolicyBaseline = "baseline"
)

const (
	// maxFullScan is the largest number of endpoints that are all compared.
	maxFullScan = 64
	// sampleSize is the number of random endpoints compared in larger
	// services.
	sampleSize = 8
	// slowFactor is the multiple of the service's average latency from which
	// an endpoint counts as slow. A request that would miss its deadline there
	// does not use it.
	slowFactor = 2
)

// serviceStats holds the averages of the whole service that the choice uses.
type serviceStats struct {
	latency  float64 // moving average over all endpoints of the service, seconds; 0 when unknown
	halfLife time.Duration
}

// constraints are the requirements of one request on its endpoint.
type constraints struct {
	exclude  []api.EndpointID
	deadline time.Duration // noExpiry when the request has none
}

// chooser selects an endpoint for a request, or nil.
type chooser interface {
	choose(now time.Duration, endpoints []*endpoint, stats serviceStats, req constraints) *endpoint
}

// leastLoaded selects the endpoint with the lowest cost. It compares all
// endpoints of small services and a random sample of large ones.
type leastLoaded struct {
	rand *rand.Rand
}

// choose implements chooser.
func (c leastLoaded) choose(now time.Duration, endpoints []*endpoint, stats serviceStats, req constraints) *endpoint {
	n := len(endpoints)
	if n == 0 {
		return nil
	}
	start := c.rand.IntN(n)
	if n > maxFullScan {
		best := c.sample(now, endpoints, stats, req)
		if best != nil {
			return best
		}
	}
	return scan(now, endpoints, start, stats, req)
}

// sample compares sampleSize endpoints drawn at random.
func (c leastLoaded) sample(now time.Duration, endpoints []*endpoint, stats serviceStats, req constraints) *endpoint {
	var best *endpoint
	var bestCost float64
	for range sampleSize {
		e := endpoints[c.rand.IntN(len(endpoints))]
		free := usableSlots(now, e, stats, req)
		if free == 0 {
			continue
		}
		cost := e.cost(now, free, stats)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// scan compares all endpoints. It begins at start, so that endpoints of equal
// cost are used in rotation. An endpoint that is due for a probe has cost zero
// and is selected first.
func scan(now time.Duration, endpoints []*endpoint, start int, stats serviceStats, req constraints) *endpoint {
	var best *endpoint
	var bestCost float64
	n := len(endpoints)
	for i := range n {
		at := start + i
		if at >= n {
			at -= n
		}
		e := endpoints[at]
		free := usableSlots(now, e, stats, req)
		if free == 0 {
			continue
		}
		cost := e.cost(now, free, stats)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// usableSlots returns the number of free slots of e that the request may use.
func usableSlots(now time.Duration, e *endpoint, stats serviceStats, req constraints) int {
	freeSlots := e.freeSlots(now)
	if freeSlots == 0 || e.isExcluded(req.exclude) {
		return 0
	}
	if req.deadline == noExpiry || stats.latency == 0 {
		return freeSlots
	}
	expected := e.health.expectedLatency(now, stats.halfLife, stats.latency)
	if expected >= slowFactor*stats.latency && now+seconds(expected) > req.deadline {
		return 0
	}
	return freeSlots
}

// cost returns the load that e, with the given number of free slots, would
// have with one more request, multiplied by its expected latency and its
// failure penalty. A probe has cost zero, and so has the first request to an
// endpoint: as long as its latency is unknown it counts as average, and an
// endpoint that is a little faster than the average would get all requests
// that come one after the other.
func (e *endpoint) cost(now time.Duration, free int, stats serviceStats) float64 {
	if e.health.state == stateEjected || e.inFlight == 0 && e.health.isUntried() {
		return 0
	}
	limit := e.limit(now)
	load := float64(limit-free+1) / float64(limit)
	latency := e.health.expectedLatency(now, stats.halfLife, stats.latency)
	return load * (latency + minLatency) * e.health.penalty(now, stats.halfLife)
}

// minLatency keeps the cost above zero, in seconds.
const minLatency = 1e-6

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// roundRobin selects the held endpoints in rotation.
type roundRobin struct {
	next int
}

// choose implements chooser.
func (c *roundRobin) choose(now time.Duration, endpoints []*endpoint, _ serviceStats, req constraints) *endpoint {
	for range endpoints {
		c.next++
		e := endpoints[c.next%len(endpoints)]
		if e.isLeaving(now) || e.limit(now) == 0 || e.isExcluded(req.exclude) {
			continue
		}
		return e
	}
	return nil
}
