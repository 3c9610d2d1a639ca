package plan

import (
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/internal/advicepolicy"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// advice is what the leader knows of the executors that may run a step. Whether an executor
// may run it doesn't change during the executor's incarnation. The ticket that permits a
// start expires.
type advice struct {
	tickets              map[*vm]ticket        // executors that may run the step
	permissions          []permission          // what is known of each executor, by vm.index
	callsInFlight        int                   // advice calls without an answer so far
	endedExecutors       map[string]struct{}   // IDs of executors whose incarnation ended while these calls were in flight
	hasNewAnswer         bool                  // an answer has arrived since the step was last planned
	expectedSlots        float64               // mean number of tasks expected to fit on each executor that the newest calls name
	lastCall             time.Time             // when the newest call was made
	retryAfter           time.Time             // no call is made before this time, after a call that failed
	nextCheck            time.Time             // when it is checked again whether a call is due
	waitUntil            time.Time             // until when the step waits for capacity on executors with tickets; zero if it doesn't wait
	heldBack             advicepolicy.Reason   // why the newest check made no call
	validUntil           time.Time             // when the last ticket expires
	tentativeAllocations []tentativeAllocation // capacity that the step is expected to take once the newest calls are answered
	ticketVMs            []*vm                 // executors with tickets, sorted by ID; nil until computed
}

// permission says whether a step may run on an executor, as far as is known.
type permission uint8

const (
	permissionUnknown permission = iota
	permissionGranted
	permissionDenied
)

// permissionOn returns whether the step may run on an executor.
func (a *advice) permissionOn(v *vm) permission {
	if v.index >= len(a.permissions) {
		return permissionUnknown
	}
	return a.permissions[v.index]
}

func (a *advice) setPermission(v *vm, p permission) {
	if v.index >= len(a.permissions) {
		a.permissions = append(a.permissions, make([]permission, v.index+1-len(a.permissions))...)
	}
	a.permissions[v.index] = p
}

// ticket is the permission to start tasks of a step on one executor.
type ticket struct {
	text       string
	validUntil time.Time
}

// AdviceCall is a call to the advice service that should be made.
type AdviceCall struct {
	Step      work.StepKey
	Executors []string
	Cost      time.Duration // expected duration of the call
}

// applyGrants records the answer to a call that named the given executors. Executors whose
// incarnation ended while the call was in flight are skipped, since a ticket is valid for
// one incarnation only.
func (a *advice) applyGrants(vms map[string]*vm, named []string, grants []platform.Grant, validUntil time.Time) {
	if a.tickets == nil {
		a.tickets = make(map[*vm]ticket)
	}
	a.ticketVMs = nil
	if len(grants) > 0 {
		a.validUntil = validUntil
	}
	texts := make(map[string]string, len(grants))
	for _, g := range grants {
		texts[g.Executor] = g.Ticket
	}
	for _, id := range named {
		v := vms[id]
		if _, hasEnded := a.endedExecutors[id]; hasEnded || v == nil {
			continue
		}
		if text, granted := texts[id]; granted {
			a.tickets[v] = ticket{text: text, validUntil: validUntil}
			a.setPermission(v, permissionGranted)
		} else if a.permissionOn(v) != permissionGranted {
			a.setPermission(v, permissionDenied)
		}
	}
}

// forgetVM drops what is known of an executor whose incarnation has ended.
func (a *advice) forgetVM(v *vm) {
	a.dropTicket(v)
	if a.callsInFlight == 0 {
		return
	}
	if a.endedExecutors == nil {
		a.endedExecutors = make(map[string]struct{})
	}
	a.endedExecutors[v.Ref.ID] = struct{}{}
}

// dropTicket drops the ticket for an executor, and what is known of it.
func (a *advice) dropTicket(v *vm) {
	if _, granted := a.tickets[v]; granted {
		delete(a.tickets, v)
		a.ticketVMs = nil
	}
	a.setPermission(v, permissionUnknown)
}

// endCall counts a call as ended. Once no call is in flight, the list of ended executors is
// cleared.
func (a *advice) endCall() {
	a.callsInFlight--
	if a.callsInFlight == 0 {
		a.endedExecutors = nil
	}
}

// validTicket returns the ticket for an executor and whether it is valid at now.
func (a *advice) validTicket(v *vm, now time.Time) (ticket, bool) {
	t, ok := a.tickets[v]
	return t, ok && now.Before(t.validUntil)
}

// hasValidTicket reports whether any ticket is valid at now.
func (a *advice) hasValidTicket(now time.Time) bool { return now.Before(a.validUntil) }

// AdviceDispatcher assigns advice calls to the machines that make them.
type AdviceDispatcher interface {
	// Free reports whether such a call could be made now.
	Free(call queue.CallTime) bool
	// Take assigns a call to a machine, or returns false if no machine can make it now.
	Take(call queue.CallTime) bool
}

// AdviceCalls returns the advice calls that are due and that the dispatcher accepts, in the
// start order of their steps, and counts them as in flight.
func (c *Cell) AdviceCalls(now time.Time, dispatcher AdviceDispatcher) []AdviceCall {
	if c.orderStale {
		c.orderSteps(now)
	}
	fleet := c.snapshot(now)
	fleet.load, _ = dispatcher.(LoadReporter)
	caps := capForecast{now: now, byWorkspace: make(map[*workspace]*forecastHeadroom)}
	var calls []AdviceCall
	for _, s := range c.orderedSteps {
		q := c.queueOf(s.job)
		if q == nil || q.Advice == nil || !c.mayStartUnderCap(s, q, &caps, now) || s.advice.hasNewAnswer || s.advice.callsInFlight > 0 || now.Before(s.advice.retryAfter) || now.Before(s.advice.nextCheck) || !s.ready {
			continue
		}
		if advicepolicy.HoldsOverdue(advicepolicy.Lateness(s.lateness), fleet.busyShare(s, q)) {
			c.holdBack(s, advicepolicy.HeldOverdue)
			continue
		}
		if !dispatcher.Free(q.Advice.CallTime(c.expectedCallSize(s))) {
			continue
		}
		named := c.callCandidates(s, q, fleet, now)
		if len(named) == 0 {
			s.advice.nextCheck = c.nextCallCheck(s, q, now)
			continue
		}
		calls = append(calls, c.issueCalls(s, q, named, dispatcher, now)...)
	}
	return calls
}

// mayStartUnderCap reports whether the step's workspace should have room for it when a call made now
// is answered.
func (c *Cell) mayStartUnderCap(s *step, q *queue.Queue, caps *capForecast, now time.Time) bool {
	if !s.ready || !s.job.workspace.nearCap() {
		return true
	}
	tasks := s.countToPlace()
	return tasks == 0 || caps.admits(s, tasks, now.Add(q.Advice.CallTime(c.expectedCallSize(s)).Total+renewAhead))
}

// issueCalls returns the advice calls for a step that name the candidates, as far as the
// dispatcher accepts them, and counts them as in flight. Candidates beyond the limit of one
// call are named by other calls at the same time.
func (c *Cell) issueCalls(s *step, q *queue.Queue, named []candidate, dispatcher AdviceDispatcher, now time.Time) []AdviceCall {
	var calls []AdviceCall
	var assigned []candidate
	count := (len(named) + c.cfg.MaxExecutorsPerCall - 1) / c.cfg.MaxExecutorsPerCall
	for chunk := range slices.Chunk(named, (len(named)+count-1)/count) {
		call := q.Advice.CallTime(len(chunk))
		if !dispatcher.Take(call) {
			break
		}
		c.countAdviceCall(s, chunk, call.Total)
		assigned = append(assigned, chunk...)
		calls = append(calls, AdviceCall{Step: s.key(), Executors: executorIDs(chunk), Cost: call.Total})
	}
	if len(calls) > 0 {
		c.addTentative(s, assigned, s.countToPlace())
		s.advice.waitUntil = time.Time{}
		s.advice.callsInFlight = len(calls)
		s.advice.lastCall = now
		s.advice.heldBack = advicepolicy.NotHeld
		s.advice.expectedSlots = float64(totalSlots(assigned)) / float64(len(assigned))
	}
	return calls
}

// callCandidates returns the executors that an advice call for the step should name, or
// none if no call is due. The first call names executors with free capacity, since its
// answer about who may run the step stays true. Later calls renew expired tickets when
// capacity for the step is expected soon, and name further executors if those that may run
// it are too full or too few.
func (c *Cell) callCandidates(s *step, q *queue.Queue, fleet *fleetSnapshot, now time.Time) []candidate {
	c.clearTentative(s)
	tasks := s.countToPlace()
	if tasks == 0 {
		return nil
	}
	if c.isPreempting(s, now) {
		return nil // it starts as soon as the preempted runs have stopped
	}
	if named, decided := c.plannedCandidates(s, q, fleet, now); decided {
		return named
	}
	answerBy := now.Add(q.Advice.CallTime(c.expectedCallSize(s)).Total + renewAhead)
	executors := fleet.candidatesFor(s, q, answerBy)
	limit := c.cfg.MaxExecutorsPerCall
	if s.spec.Gang && s.lateness == inTime {
		limit *= maxGangCalls
	}
	if !s.spec.Gang {
		if named, restricted := c.restrictedCandidates(s, q, &executors, fleet, answerBy, now); restricted {
			return named
		}
	}
	scarce := advicepolicy.Scarce(fleet.busyShare(s, q))
	if len(s.advice.tickets) == 0 {
		return c.firstCallCandidates(c.chooseCandidates(executors.unknown, s, q, tasks, limit, scarce), s, q, now)
	}
	minSlots := 1
	if s.spec.Gang {
		minSlots = tasks
	}
	valid, expired := totalSlots(executors.valid), totalSlots(executors.expired)
	share := c.grantShare(q)
	if now.Sub(s.advice.lastCall) > fullGrantDelay {
		share = 1 // all of a few executors may be granted after all
	}
	if float64(valid+expired)+share*float64(totalSlots(executors.unknown)) < float64(minSlots) {
		// The step couldn't start even with the expected grants. Gangs that ask about the
		// small remainders left by other steps' calls never hold tickets for all of their
		// tasks at once, and take the time of the calling machines from steps that could
		// start.
		return nil
	}
	if valid < minSlots {
		s.advice.waitUntil = time.Time{}
	}
	switch {
	case valid >= minSlots && c.waitsForCapacity(s, answerBy, now):
		return nil
	case valid < minSlots && valid+expired >= minSlots:
		return s.renewalCandidates(executors.expired, tasks, limit)
	}
	if s.spec.Gang && c.holdsFurtherGangCall(s, fleet.busyShare(s, q), now) {
		return nil
	}
	further := c.furtherCandidates(executors.unknown, s, q, max(1, tasks-valid-expired), limit, scarce)
	if len(further) == 0 {
		return nil
	}
	return append(further, s.renewalCandidates(executors.expired, tasks, limit-len(further))...)
}

// waitsForCapacity reports whether a step should keep waiting for capacity that is expected
// soon on executors with tickets. Such expectations can fail repeatedly, so each one counts
// only until its time has passed.
func (c *Cell) waitsForCapacity(s *step, until, now time.Time) bool {
	if s.advice.waitUntil.IsZero() {
		s.advice.waitUntil = until
	}
	return now.Before(s.advice.waitUntil)
}

// furtherCandidates returns executors of which it isn't known whether they may run the step
// and that have free capacity for a number of tasks. It returns none if they have no free
// capacity at all.
func (c *Cell) furtherCandidates(unknown []candidate, s *step, q *queue.Queue, tasks, limit int, scarce bool) []candidate {
	if totalSlots(unknown) == 0 {
		return nil
	}
	return c.chooseCandidates(unknown, s, q, tasks, limit, scarce)
}

// maxGangCalls is how many advice calls may be in flight at a time for a gang that can be
// in time. A gang starts whole or not at all, and sequential calls would take all the time
// that it has.
const maxGangCalls = 3

// fullGrantDelay is the time after a gang's newest call from which it makes a call even if
// it could start only when every executor is granted.
const fullGrantDelay = 2 * time.Second

// renewAhead is how much earlier than needed a ticket may be renewed, since run times are
// only estimated.
const renewAhead = 150 * time.Millisecond

// Intervals between two checks of whether a step needs an advice call. Each check goes
// through all executors.
const (
	checkInterval = 40 * time.Millisecond
	// lateCheckInterval applies to steps that can't be in time any more. Under overload
	// hundreds of them wait.
	lateCheckInterval = 320 * time.Millisecond
)

// callCheckInterval returns the time until a step is checked again. The call for a gang with a
// plan is due at a certain time, also if it is late.
func (c *Cell) callCheckInterval(s *step) time.Duration {
	if s.lateness == inTime || c.gangs.planOf(s) != nil {
		return checkInterval
	}
	return lateCheckInterval
}

// resetCallChecks has every waiting step checked at once for a due advice call.
func (c *Cell) resetCallChecks() {
	for _, s := range c.waitingSteps {
		s.advice.nextCheck = time.Time{}
	}
}
