package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/advicepolicy"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// LoadReporter is an AdviceDispatcher that knows how busy the calling machines are. With any other
// dispatcher calls are never restricted.
type LoadReporter interface {
	// BusyShare returns the share of the machines for such calls that can make no further one, from 0
	// to 1.
	BusyShare(call queue.CallTime) float64
}

// busyShare returns the share of the calling machines for the step's calls that are busy.
func (f *fleetSnapshot) busyShare(s *step, q *queue.Queue) float64 {
	if f.load == nil {
		return 0
	}
	return f.load.BusyShare(q.Advice.CallTime(f.cell.expectedCallSize(s)))
}

// allowance returns the objective of the step's job minus its estimated work.
func (s *step) allowance() time.Duration {
	longest := time.Duration(0)
	for _, other := range s.occ.steps {
		longest = max(longest, other.remainingTime)
	}
	return s.job.latencyObjective - longest
}

// renewsAhead reports whether the step renews its tickets before they expire.
func (s *step) renewsAhead() bool {
	return !s.spec.Gang && !s.spec.LongRunning && advicepolicy.Step{Lateness: advicepolicy.Lateness(s.lateness), Allowance: s.allowance()}.Short()
}

// nextCallCheck returns when it is checked again whether a call for the step is due: after an interval, and
// at the latest when a short step has to renew its tickets.
func (c *Cell) nextCallCheck(s *step, q *queue.Queue, now time.Time) time.Time {
	next := now.Add(c.callCheckInterval(s))
	if len(s.advice.tickets) == 0 || !s.renewsAhead() {
		return next
	}
	renewAt := s.advice.validUntil.Add(-renewAhead - q.Advice.CallTime(c.expectedCallSize(s)).Total)
	if renewAt.Before(now.Add(checkInterval)) {
		renewAt = now.Add(checkInterval)
	}
	if renewAt.Before(next) {
		return renewAt
	}
	return next
}

// restrictedCandidates returns the executors that a call for a step that isn't a gang should name, or
// none if it should make no call, and whether its calls are restricted at present: while calling
// machines are scarce, and for renewals of short steps.
func (c *Cell) restrictedCandidates(s *step, q *queue.Queue, executors *candidates, fleet *fleetSnapshot, answerBy, now time.Time) ([]candidate, bool) {
	granted := len(s.advice.tickets) > 0
	busy := fleet.busyShare(s, q)
	expiring := len(executors.expired) > 0 && s.renewsAhead() && !answerBy.Before(s.advice.validUntil)
	if !expiring && !advicepolicy.Scarce(busy) {
		return nil, false
	}
	tasks := s.countToPlace()
	decision := advicepolicy.Decide(advicepolicy.Step{
		Lateness:      advicepolicy.Lateness(s.lateness),
		Slack:         c.rankOf(s, now).LatestStart.Sub(now),
		Allowance:     s.allowance(),
		Tasks:         tasks,
		Granted:       granted,
		Expiring:      expiring,
		ValidSlots:    totalSlots(executors.valid),
		ExpiredSlots:  totalSlots(executors.expired),
		UnknownSlots:  totalSlots(executors.unknown),
		EmptySlots:    s.emptySlots(),
		GrantShare:    c.grantShare(q) * c.availableShare(q),
		BusyShare:     busy,
		SinceLastCall: now.Sub(s.advice.lastCall),
	})
	limit := c.cfg.MaxExecutorsPerCall
	switch decision.Kind {
	case advicepolicy.First:
		named := c.chooseCandidates(executors.unknown, s, q, tasks, limit, true)
		return c.firstCallCandidates(named, s, q, now), true
	case advicepolicy.Renewal:
		expired := mostSlots(executors.expired, limit)
		groupByRack(expired, s, tasks, 1)
		return neededCandidates(expired, s, decision.Slots, limit), true
	case advicepolicy.Further:
		missing := max(1, tasks-totalSlots(executors.valid)-totalSlots(executors.expired))
		further := c.furtherCandidates(executors.unknown, s, q, missing, limit, true)
		return append(further, mostSlots(executors.expired, limit-len(further))...), true
	default:
		c.holdBack(s, decision.Reason)
		return nil, true
	}
}

// emptySlots returns how many tasks would fit on the executors that the step has tickets for, if these
// were empty.
func (s *step) emptySlots() int {
	total := 0
	for v := range s.advice.tickets {
		total += gather.FitCount(v.Capacity, s.spec.TaskResources)
	}
	return total
}

// neededCandidates returns as many of the candidates, from the first one, as provide a number of slots.
func neededCandidates(cands []candidate, s *step, slots float64, limit int) []candidate {
	found := 0
	for i, cand := range cands {
		if i >= limit || float64(found) >= slots {
			return cands[:i]
		}
		found += advicepolicy.EventualSlots(cand.slots, gather.FitCount(cand.vm.Capacity, s.spec.TaskResources), s.spec.Gang)
	}
	return cands
}

// holdsFurtherGangCall reports whether a gang leaves the last calling machines to steps without grants
// and to renewals with which a gang can start.
func (c *Cell) holdsFurtherGangCall(s *step, busy float64, now time.Time) bool {
	if !advicepolicy.HoldsFurther(c.rankOf(s, now).LatestStart.Sub(now), busy) {
		return false
	}
	c.holdBack(s, advicepolicy.HeldForOthers)
	return true
}

// renewalCandidates returns the executors that a renewal names: for a gang no more than its tasks need.
func (s *step) renewalCandidates(expired []candidate, tasks, limit int) []candidate {
	chosen := mostSlots(expired, limit)
	groupByRack(chosen, s, tasks, 1)
	if !s.spec.Gang {
		return chosen
	}
	return neededCandidates(chosen, s, slotMargin*float64(tasks), limit)
}

// holdBack counts a call that isn't made for a reason, once until the reason changes or a call is made.
func (c *Cell) holdBack(s *step, reason advicepolicy.Reason) {
	if s.advice.heldBack != reason {
		s.advice.heldBack = reason
		c.adviceStats.heldBack[reason]++
	}
}

// firstCallCandidates returns the executors for a step's first call, or none while this
// leader has reports of few executors: after a takeover the reports arrive within moments.
func (c *Cell) firstCallCandidates(named []candidate, s *step, q *queue.Queue, now time.Time) []candidate {
	if now.Sub(c.ledSince) > takeoverReportWait {
		return named
	}
	if 2*len(named) < min(c.registeredByService[c.serviceOf(s.job)], cheapCallSize(q.Advice)) {
		return nil
	}
	return named
}

// takeoverReportWait is how long after a takeover the leader waits for first reports. Until
// then it makes no first advice call about few executors, and executors without a report
// count as capacity.
const takeoverReportWait = time.Second
