package router

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// endpoint is the state of one endpoint, guarded by its shard's lock.
type endpoint struct {
	HeldEndpoint
	until    time.Duration // SlotLimit holds before it; noExpiry: until the next refresh
	inFlight int
	health   health
	contact  contact

	leavingUntil time.Duration // the endpoint said so itself
	blockedUntil time.Duration // after a refusal or a failed connect
	backoff      time.Duration // length of the last such pause
	othersBusy   int           // slots busy beyond our own, as the endpoint told
	busyUntil    time.Duration // othersBusy is believed before it
	peak         peak          // of inFlight
	given        bool          // given up: nothing new, what is in flight finishes
	idle         chan struct{} // closed when nothing is in flight; nil when nobody waits
}

// noExpiry is endpoint.until of a limit without an end.
const noExpiry = time.Duration(1<<63 - 1)

// limit returns the number of requests that may be in flight at now.
func (e *endpoint) limit(now time.Duration) int {
	slots := e.SlotLimit
	if now >= e.until {
		slots = e.ExpiredSlotLimit
	}
	if e.Endpoint.Connections > 0 {
		slots = min(slots, e.Endpoint.Connections)
	}
	return slots
}

// room returns the slots that are left at now, within the limit of this entry
// VM and beside what others, such as a previous holder, still run there.
func (e *endpoint) room(now time.Duration) int {
	room := e.limit(now) - e.inFlight
	if now < e.busyUntil && e.Endpoint.Slots > 0 {
		room = min(room, e.Endpoint.Slots-e.othersBusy-e.inFlight)
	}
	return max(room, 0)
}

// noteBusy takes the endpoint's own count of busy slots, which includes ours.
// It was taken at an unknown moment of the request, hence the comparison with
// the most that we had there.
func (e *endpoint) noteBusy(now, age time.Duration, busy int) {
	if busy < 0 {
		return
	}
	ours := max(e.peak.most(now, age), e.inFlight)
	e.othersBusy = max(busy-ours, 0)
	e.busyUntil = now + age
}

// peak is the highest count in the present window of time and the one before.
type peak struct {
	current  int
	previous int
	window   time.Duration // number of the present window
}

// raise takes a count into account.
func (p *peak) raise(now, length time.Duration, count int) {
	p.roll(now / length)
	p.current = max(p.current, count)
}

// most returns the highest count in both windows.
func (p *peak) most(now, length time.Duration) int {
	p.roll(now / length)
	return max(p.current, p.previous)
}

// roll starts the given window if it is a new one.
func (p *peak) roll(window time.Duration) {
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

// free returns the number of requests that may be sent at now.
func (e *endpoint) free(now time.Duration) int {
	if !e.takesNew(now) {
		return 0
	}
	return e.room(now)
}

// takesNew reports whether the endpoint gets new requests at all.
func (e *endpoint) takesNew(now time.Duration) bool {
	if e.leaving(now) || now < e.blockedUntil {
		return false
	}
	switch e.health.standing {
	case standingEjected:
		return now >= e.health.probeAt && e.inFlight == 0
	case standingProbing:
		return false
	default:
		return true
	}
}

// renew forgets what was learned of the process at the former address. What is
// in flight still counts.
func (e *endpoint) renew() {
	*e = endpoint{inFlight: e.inFlight, peak: e.peak, idle: e.idle}
}

// leaving reports whether the list or the endpoint itself says so.
func (e *endpoint) leaving(now time.Duration) bool {
	return e.given || e.Endpoint.Leaving || now < e.leavingUntil
}

// excluded reports whether e is one of the ids.
func (e *endpoint) excluded(ids []api.EndpointID) bool {
	for _, id := range ids {
		if id == e.Endpoint.ID {
			return true
		}
	}
	return false
}
