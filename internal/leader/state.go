// Package leader elects the process that plans for a cell. Candidates append to
// one partition of the platform's store, each on the condition that the
// partition still ends at the offset that the candidate knows. So only one of
// several concurrent claims succeeds, and a leader whose renewal conflicts with
// another record learns that it was replaced.
//
// The safety of starts does not depend on time: the epoch of a claim fences the
// cell's records at the store and is the fencing token at executors. Only the
// renewal of executors' leases depends on the clock (State.MayRenewLeases).
package leader

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Leader identifies a process that has claimed the cell.
type Leader struct {
	_           struct{}  `cbor:",toarray"`
	Epoch       api.Epoch // offset of its claim plus one
	Node        api.NodeID
	Incarnation api.Incarnation
	Address     string // of its peer service
}

// Uptime is a time on a clock that also advances while the machine is suspended,
// unlike the monotonic clock.
type Uptime time.Duration

// State is what one process knows about its cell's leader. It reads no clock and
// makes no calls.
type State struct {
	self              Leader // Epoch is zero unless this process leads
	end               platform.Offset
	current           Leader          // zero: none is known or the last one stepped down
	lastContact       time.Time       // last sign of life from the leader, or when the watch began
	lastAppendSent    Uptime          // when this process's newest append was sent
	lastConfirmedSent Uptime          // when this process's newest stored record was sent
	lastConfirmedEnd  platform.Offset // end of the partition after that record
	observedEnd       platform.Offset // renewals before it were already reported by the current leader
	released          bool            // the last leader has stepped down
	highestEpoch      api.Epoch       // of all known leaders
	renewalGap        time.Duration   // moving mean of the time between two records of a leader
	takeovers         []time.Time     // when leaders that had not stepped down were recently replaced
}

// NewState returns the state of a process that knows the partition's end but no
// record.
func NewState(self Leader, end platform.Offset, now time.Time) *State {
	return &State{self: self, end: end, lastContact: now}
}

// End returns the known end of the partition.
func (s *State) End() platform.Offset { return s.end }

// Current returns the current leader as known to this process; its epoch is zero if
// none is known.
func (s *State) Current() Leader { return s.current }

// Leads reports whether this process is the leader, as far as it knows.
func (s *State) Leads() bool { return s.self.Epoch != 0 }

// Released reports whether the last leader has stepped down.
func (s *State) Released() bool { return s.released }

// SinceContact returns the time since the last sign of life from the leader.
func (s *State) SinceContact(now time.Time) time.Duration { return now.Sub(s.lastContact) }

// MayRenewLeases reports whether this process, as the leader, may extend executors'
// leases. A leader stops extending them a fixed time after its last confirmed renewal,
// because its successor relies on that.
func (s *State) MayRenewLeases(now Uptime, limit time.Duration) bool {
	return s.Leads() && time.Duration(now-s.lastConfirmedSent) < limit
}

// gapWeight is the weight of a new gap in the moving mean.
const gapWeight = 0.3

// RenewalGap returns the moving mean of the time between two records of the leader.
func (s *State) RenewalGap() time.Duration { return s.renewalGap }

// applyRecord updates the state with the record at an offset.
func (s *State) applyRecord(at platform.Offset, r record, now time.Time) {
	s.end = at + 1
	if r.Kind == kindRenewal && r.Epoch == s.current.Epoch && at < s.observedEnd {
		return // the leader has already reported when it was sent
	}
	if r.Kind == kindRenewal && r.Epoch == s.current.Epoch {
		s.renewalGap += time.Duration(gapWeight * float64(now.Sub(s.lastContact)-s.renewalGap))
	}
	s.lastContact = now
	s.observedEnd = 0
	switch r.Kind {
	case kindClaim:
		s.noteTakeover(now)
		s.current = Leader{Epoch: api.Epoch(at + 1), Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
		s.released = false
	case kindRenewal:
		s.current = Leader{Epoch: r.Epoch, Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
		s.released = false
	case kindRelease:
		s.current = Leader{}
		s.released = true
	}
	s.highestEpoch = max(s.highestEpoch, s.current.Epoch)
	if s.current.Epoch != s.self.Epoch {
		s.self.Epoch = 0
	} else if s.Leads() {
		s.lastConfirmedSent, s.lastConfirmedEnd = s.lastAppendSent, s.end // this process's append whose answer was lost
	}
}

const (
	// takeoverWindow is the period in which several takeovers slow down further claims.
	takeoverWindow = 10 * time.Second
	// maxSilenceFactor is the upper bound of SilenceFactor.
	maxSilenceFactor = 4
)

// noteTakeover records that a leader is replaced that has not stepped down.
func (s *State) noteTakeover(now time.Time) {
	if s.current.Epoch == 0 || s.released {
		return
	}
	s.takeovers = append(s.recentTakeovers(now), now)
}

// recentTakeovers returns the takeovers within takeoverWindow.
func (s *State) recentTakeovers(now time.Time) []time.Time {
	i := 0
	for i < len(s.takeovers) && now.Sub(s.takeovers[i]) >= takeoverWindow {
		i++
	}
	return s.takeovers[i:]
}

// SilenceFactor returns the factor by which the silence before a claim is extended. A
// new leader has much to read and many calls to make at once, which may delay its
// renewals, so that each of several takeovers in a row made the next more likely.
func (s *State) SilenceFactor(now time.Time) time.Duration {
	return time.Duration(min(max(1, len(s.recentTakeovers(now))), maxSilenceFactor))
}

// appendStarted records that this process is about to send an append.
func (s *State) appendStarted(now Uptime) { s.lastAppendSent = now }

// observeLeader handles another process's report of who leads, and returns whether that
// leader was unknown. The report of a known leader is no sign of life: that leader may
// reach this process but not the store.
func (s *State) observeLeader(l Leader, now time.Time) bool {
	if l.Epoch <= s.highestEpoch {
		return false
	}
	s.highestEpoch = l.Epoch
	s.noteTakeover(now)
	s.current = l
	s.lastContact = now
	s.observedEnd = 0
	s.released = false
	s.self.Epoch = 0
	return true
}

// observeRenewal handles the leader's report of when its last confirmed renewal was sent
// and where the partition ended after it. This process may read that record much later,
// when it is no sign of life any more and must not delay a claim.
func (s *State) observeRenewal(epoch api.Epoch, sent time.Time, end platform.Offset) {
	if epoch == s.current.Epoch && sent.After(s.lastContact) {
		s.lastContact = sent
		s.observedEnd = max(s.observedEnd, end)
	}
}

// resetContact restarts the measurement of the leader's silence. While this process
// could not read the store it could not see renewals, and the leader may not have
// reached the store either.
func (s *State) resetContact(now time.Time) { s.lastContact = now }

// claimStored updates the state after this process's claim was stored.
func (s *State) claimStored(at platform.Offset, now time.Time) {
	s.noteTakeover(now)
	s.self.Epoch = api.Epoch(at + 1)
	s.highestEpoch = s.self.Epoch
	s.current = s.self
	s.end = at + 1
	s.lastContact = now
	s.lastConfirmedSent, s.lastConfirmedEnd = s.lastAppendSent, s.end
	s.released = false
}

// renewalStored updates the state after this process's renewal was stored.
func (s *State) renewalStored(at platform.Offset, now time.Time) {
	s.end = at + 1
	s.lastContact = now
	s.lastConfirmedSent, s.lastConfirmedEnd = s.lastAppendSent, s.end
}

// acceptInvitation handles the message of an epoch's leader that it has stepped down and
// where the partition ends after that. It returns false if this process already knows
// a later epoch or offset, or leads.
func (s *State) acceptInvitation(epoch api.Epoch, end platform.Offset, now time.Time) bool {
	if epoch != s.highestEpoch || end < s.end || s.Leads() {
		return false
	}
	s.end = end
	s.lastContact = now
	s.current = Leader{}
	s.observedEnd = 0
	s.released = true
	return true
}

// releaseStored updates the state after this process's release was stored.
func (s *State) releaseStored(at platform.Offset, now time.Time) {
	s.end = at + 1
	s.lastContact = now
	s.self.Epoch = 0
	s.current = Leader{}
	s.released = true
}

// newRecord returns a record of kind k written by this process.
func (s *State) newRecord(k recordKind) record {
	return record{Kind: k, Node: s.self.Node, Incarnation: s.self.Incarnation, Address: s.self.Address, Epoch: s.self.Epoch}
}

// hasUnadoptedClaim reports whether this incarnation of this process wrote the newest
// claim but does not lead by it, because the answer to its append was lost.
func (s *State) hasUnadoptedClaim() bool {
	c := s.current
	return !s.Leads() && !s.released && c.Epoch != 0 && c.Epoch == s.highestEpoch &&
		c.Node == s.self.Node && c.Incarnation == s.self.Incarnation
}

// adoptClaim makes this process lead by its claim that was read. It is not known when the
// claim was stored, so leases are extended only once a renewal is confirmed.
func (s *State) adoptClaim() { s.self.Epoch = s.current.Epoch }
