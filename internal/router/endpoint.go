package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// endpoint is the state of one endpoint, guarded by its shard's lock.
type endpoint struct {
	HeldEndpoint
	limitExpiry time.Duration // SlotLimit is valid before it; noExpiry: until the next update
	inFlight    int
	health      health
	contact     contact

	leavingUntil time.Duration // set when the endpoint itself reports that it is leaving
	blockedUntil time.Duration // set after a refusal or a failed connection attempt
	backoff      time.Duration // length of the last such block
	othersBusy   int           // slots in use by other entry VMs, from the endpoint's report
	busyUntil    time.Duration // othersBusy is used before it
	peakInFlight windowedPeak  // recent maximum of inFlight
	released     bool          // no longer held: gets no new request, requests in flight finish
	idle         chan struct{} // closed when nothing is in flight; nil when nobody waits for that
}

// noExpiry is the limitExpiry of a limit without an end and the deadline of a
// request without one.
const noExpiry = time.Duration(1<<63 - 1)

// limit returns the maximum number of requests in flight at now.
func (e *endpoint) limit(now time.Duration) int {
	slots := e.SlotLimit
	if now >= e.limitExpiry {
		slots = e.ExpiredSlotLimit
	}
	if e.Endpoint.Connections > 0 {
		slots = min(slots, e.Endpoint.Connections)
	}
	return slots
}

// remainingSlots returns the number of free slots at now, within the limit of
// this entry VM and minus the slots in use by others, such as requests of a
// previous holder that still run.
func (e *endpoint) remainingSlots(now time.Duration) int {
	remainingSlots := e.limit(now) - e.inFlight
	if now < e.busyUntil && e.Endpoint.Slots > 0 {
		remainingSlots = min(remainingSlots, e.Endpoint.Slots-e.othersBusy-e.inFlight)
	}
	return max(remainingSlots, 0)
}

// updateBusy records the endpoint's own count of busy slots, which includes
// the requests of this entry VM. The endpoint took the count at an unknown
// time during the request, so the recent peak of own requests is subtracted
// from it.
func (e *endpoint) updateBusy(now, age time.Duration, busy int) {
	if busy < 0 {
		return
	}
	ours := max(e.peakInFlight.highest(now, age), e.inFlight)
	e.othersBusy = max(busy-ours, 0)
	e.busyUntil = now + age
}

// windowedPeak is the maximum count in the current time window and the one
// before.
type windowedPeak struct {
	current  int
	previous int
	window   time.Duration // number of the current window
}

// observe adds a count.
func (p *windowedPeak) observe(now, length time.Duration, count int) {
	p.advance(now / length)
	p.current = max(p.current, count)
}

// highest returns the maximum count in both windows.
func (p *windowedPeak) highest(now, length time.Duration) int {
	p.advance(now / length)
	return max(p.current, p.previous)
}

// advance moves to the given window if it is not the current one.
func (p *windowedPeak) advance(window time.Duration) {
	switch {
	case window == p.window:
		return
	case window == p.window+1:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.current = 0
	p.window = window
}

// freeSlots returns the number of requests that may be sent at now.
func (e *endpoint) freeSlots(now time.Duration) int {
	if !e.acceptsRequests(now) {
		return 0
	}
	return e.remainingSlots(now)
}

// acceptsRequests reports whether the endpoint may get new requests at now,
// apart from its slots.
func (e *endpoint) acceptsRequests(now time.Duration) bool {
	if e.isLeaving(now) || now < e.blockedUntil {
		return false
	}
	switch e.health.state {
	case stateEjected:
		return now >= e.health.probeAt && e.inFlight == 0
	case stateProbing:
		return false
	default:
		return true
	}
}

// reset drops everything learned about the process at the former address when
// the endpoint's address changes. Requests in flight still count.
func (e *endpoint) reset() {
	*e = endpoint{inFlight: e.inFlight, peakInFlight: e.peakInFlight, idle: e.idle}
}

// isLeaving reports whether the endpoint was released or is leaving, according
// to the endpoint list or the endpoint itself.
func (e *endpoint) isLeaving(now time.Duration) bool {
	return e.released || e.Endpoint.Leaving || now < e.leavingUntil
}

// isExcluded reports whether ids contains e.
func (e *endpoint) isExcluded(ids []api.EndpointID) bool {
	for _, id := range ids {
		if id == e.Endpoint.ID {
			return true
		}
	}
	return false
}
