package plan

import (
	"time"

	"github.com/skylarklock/skylarklock/internal/advicepolicy"
	"github.com/skylarklock/skylarklock/internal/gather"
	"github.com/skylarklock/skylarklock/internal/queue"
)

const (
	// plannedTicketSlack is how long after the planned start tickets should still be valid. A
	// start is planned up to 100 ms after the last slot has become free.
	plannedTicketSlack = 300 * time.Millisecond
	// sparePlannedShare is the number of further executors that a renewal names, as a share of
	// the plan's, at least one. Slots there replace those of runs that end late.
	sparePlannedShare = 0.1
)

// plannedCandidates returns the executors that a call for a gang with a plan should name, or
// false if it has none. Tickets for the plan's executors are renewed so that the answer arrives
// shortly before the planned start. Until then the call names further executors if the plan
// starts the gang too late for its objective, or if the start was expected earlier: expected
// ends can fail repeatedly.
func (c *Cell) plannedCandidates(s *step, q *queue.Queue, fleet *fleetSnapshot, now time.Time) ([]candidate, bool) {
	plan := c.gangs.planOf(s)
	if plan == nil {
		return nil, false
	}
	spare := max(1, int(sparePlannedShare*float64(len(plan.Slots))))
	answerBy := now.Add(q.Advice.CallTime(len(plan.Slots)+spare).Total + renewAhead)
	needed := plan.Start
	if needed.Before(answerBy) {
		needed = answerBy
	}
	renewals := c.plannedRenewals(s, q, needed.Add(plannedTicketSlack))
	if len(renewals) > 0 && !answerBy.Before(plan.Start) {
		return c.withSpare(renewals, spare, s, fleet.candidatesFor(s, q, needed).expired), true
	}
	if !plan.Start.After(answerBy.Add(gather.MinGain)) && c.waitsForCapacity(s, needed, now) {
		return nil, true
	}
	scarce := advicepolicy.Scarce(fleet.busyShare(s, q))
	return c.furtherForPlanned(s, q, fleet.candidatesFor(s, q, answerBy), plan.Request.Width, scarce), true
}

// plannedRenewals returns the executors of a gang's plan without a ticket that is valid at a
// time. Their slots are held. They are not counted as candidates' slots, which would be
// allocated tentatively a second time.
func (c *Cell) plannedRenewals(s *step, q *queue.Queue, at time.Time) []candidate {
	var renewals []candidate
	for _, v := range c.permittedVMs(s, q) {
		if _, valid := s.advice.validTicket(v, at); !valid && v.holdsFor(s) {
			renewals = append(renewals, candidate{vm: v})
		}
	}
	return renewals
}

// withSpare adds up to some executors with expired tickets and expected slots to renewals.
func (c *Cell) withSpare(renewals []candidate, spare int, s *step, expired []candidate) []candidate {
	for _, cand := range mostSlots(expired, len(expired)) {
		if spare == 0 || cand.slots == 0 {
			break
		}
		if !cand.vm.holdsFor(s) {
			renewals = append(renewals, candidate{vm: cand.vm})
			spare--
		}
	}
	return renewals
}

// furtherForPlanned returns further executors for a gang with a plan, or none if it couldn't
// start earlier even with the expected grants.
func (c *Cell) furtherForPlanned(s *step, q *queue.Queue, executors candidates, tasks int, scarce bool) []candidate {
	known := totalSlots(executors.valid) + totalSlots(executors.expired)
	share := c.grantShare(q)
	if c.now.Sub(s.advice.lastCall) > fullGrantDelay {
		share = 1
	}
	if float64(known)+share*float64(totalSlots(executors.unknown)) < float64(tasks) {
		return nil
	}
	limit := c.cfg.MaxExecutorsPerCall
	if s.lateness == inTime {
		limit *= maxGangCalls
	}
	return c.furtherCandidates(executors.unknown, s, q, max(1, tasks-known), limit, scarce)
}
