// Package leader decides which process plans for a cell. Candidates append to
// one partition of the platform's store, each on the condition that the
// partition still ends where the candidate saw it end; so of several claims
// one succeeds, and a leader whose renewal meets another record knows that it
// was replaced.
//
// Safety of starts does not rest on time: the epoch of a claim fences the
// cell's records at the store and is the fencing token at executors. Only the
// renewal of executors' leases looks at the clock (State.MayRenewLeases).
package leader

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Leader names a process that has claimed the cell.
type Leader struct {
	_           struct{}  `cbor:",toarray"`
	Epoch       api.Epoch // one more than the place of its claim
	Node        api.NodeID
	Incarnation api.Incarnation
	Address     string // of its peer service
}

// Uptime is a time on a clock that also counts while the machine is suspended,
// as the steady clock doesn't.
type Uptime time.Duration

// State is what one process knows of its cell's leader. It holds no clock and
// makes no calls.
type State struct {
	self      Leader // Epoch is zero unless this process leads
	end       platform.Offset
	current   Leader          // zero: none is known or the last one stepped down
	heard     time.Time       // when the newest record was read, or the watch began
	sent      Uptime          // when the newest own append was sent
	confirmed Uptime          // when the newest own record that was stored was sent
	lasts     platform.Offset // up to there the partition ended when that was confirmed
	assuredTo platform.Offset // records before it are no news of the current leader
	released  bool
	highest   api.Epoch     // of all leaders heard of
	gap       time.Duration // usual time between two records of a leader
	seized    []time.Time   // when silent leaders were replaced of late
}

// NewState returns the state of a process that has read the partition up to
// end and nothing in it.
func NewState(self Leader, end platform.Offset, now time.Time) *State {
	return &State{self: self, end: end, heard: now}
}

// End returns where the partition ends as far as is known.
func (s *State) End() platform.Offset { return s.end }

// Current returns the leader as far as is known; its epoch is zero if there
// is none.
func (s *State) Current() Leader { return s.current }

// Leads reports whether this process is the leader as far as it knows.
func (s *State) Leads() bool { return s.self.Epoch != 0 }

// Released reports whether the last leader stepped down.
func (s *State) Released() bool { return s.released }

// SinceContact returns how long no record has been read.
func (s *State) SinceContact(now time.Time) time.Duration { return now.Sub(s.heard) }

// MayRenewLeases reports whether the leader may extend executors' leases. It
// stops some time after its last confirmed renewal, since a successor counts
// on it.
func (s *State) MayRenewLeases(now Uptime, limit time.Duration) bool {
	return s.Leads() && time.Duration(now-s.confirmed) < limit
}

// gapShare is the weight of a new gap in the moving mean.
const gapShare = 0.3

// RenewalGap returns the usual time between two records of the leader.
func (s *State) RenewalGap() time.Duration { return s.gap }

// read takes in a record at an offset.
func (s *State) read(at platform.Offset, r record, now time.Time) {
	s.end = at + 1
	if r.Kind == renews && r.Epoch == s.current.Epoch && at < s.assuredTo {
		return // the leader has told when it was sent
	}
	if r.Kind == renews && r.Epoch == s.current.Epoch {
		s.gap += time.Duration(gapShare * float64(now.Sub(s.heard)-s.gap))
	}
	s.heard = now
	s.assuredTo = 0
	switch r.Kind {
	case claims:
		s.noteSeized(now)
		s.current = Leader{Epoch: api.Epoch(at + 1), Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
		s.released = false
	case renews:
		s.current = Leader{Epoch: r.Epoch, Node: r.Node, Incarnation: r.Incarnation, Address: r.Address}
		s.released = false
	case releases:
		s.current = Leader{}
		s.released = true
	}
	s.highest = max(s.highest, s.current.Epoch)
	if s.current.Epoch != s.self.Epoch {
		s.self.Epoch = 0
	} else if s.Leads() {
		s.confirmed, s.lasts = s.sent, s.end // an own renewal whose answer was lost
	}
}

const (
	// unsettled is the time in which several seizures make claims slow down.
	unsettled = 10 * time.Second
	// mostPatience bounds how many times the usual silence is then waited for.
	mostPatience = 4
)

// noteSeized notes that a leader is replaced that has not stepped down.
func (s *State) noteSeized(now time.Time) {
	if s.current.Epoch == 0 || s.released {
		return
	}
	s.seized = append(s.recent(now), now)
}

// recent returns the seizures of the last while.
func (s *State) recent(now time.Time) []time.Time {
	i := 0
	for i < len(s.seized) && now.Sub(s.seized[i]) >= unsettled {
		i++
	}
	return s.seized[i:]
}

// SilenceFactor returns how many times the usual silence should be waited for. Each
// new leader has to read and ask much at once, and its renewals may be late for
// it: of several seizures in a row each made the next more likely.
func (s *State) SilenceFactor(now time.Time) time.Duration {
	return time.Duration(min(max(1, len(s.recent(now))), mostPatience))
}

// sending notes that an own append is about to be sent.
func (s *State) sending(now Uptime) { s.sent = now }

// learn takes in from elsewhere who leads. It reports whether that is news.
// What is known already doesn't count as a sign of life: the leader may reach
// this process and not the store.
func (s *State) learn(l Leader, now time.Time) bool {
	if l.Epoch <= s.highest {
		return false
	}
	s.highest = l.Epoch
	s.noteSeized(now)
	s.current = l
	s.heard = now
	s.assuredTo = 0
	s.released = false
	s.self.Epoch = 0
	return true
}

// assured takes in from the leader when its last confirmed renewal was sent and where
// that ends in the partition. A process that was assured reads the record much later,
// when it is no sign of life and mustn't put a claim off.
func (s *State) assured(epoch api.Epoch, sent time.Time, upTo platform.Offset) {
	if epoch == s.current.Epoch && sent.After(s.heard) {
		s.heard = sent
		s.assuredTo = max(s.assuredTo, upTo)
	}
}

// lookAgain begins a new span of silence: while the store could not be read
// nothing could be heard from the leader, which may not have reached the
// store either.
func (s *State) lookAgain(now time.Time) { s.heard = now }

// claimed takes in that the own claim was stored.
func (s *State) claimed(at platform.Offset, now time.Time) {
	s.noteSeized(now)
	s.self.Epoch = api.Epoch(at + 1)
	s.highest = s.self.Epoch
	s.current = s.self
	s.end = at + 1
	s.heard = now
	s.confirmed, s.lasts = s.sent, s.end
	s.released = false
}

// renewed takes in that the own renewal was stored.
func (s *State) renewed(at platform.Offset, now time.Time) {
	s.end = at + 1
	s.heard = now
	s.confirmed, s.lasts = s.sent, s.end
}

// invite takes in from the leader of an epoch that it has stepped down and where the
// partition ends since. It returns false if more is known already.
func (s *State) invite(epoch api.Epoch, end platform.Offset, now time.Time) bool {
	if epoch != s.highest || end < s.end || s.Leads() {
		return false
	}
	s.end = end
	s.heard = now
	s.current = Leader{}
	s.assuredTo = 0
	s.released = true
	return true
}

// stepDown takes in that the own release was stored.
func (s *State) stepDown(at platform.Offset, now time.Time) {
	s.end = at + 1
	s.heard = now
	s.self.Epoch = 0
	s.current = Leader{}
	s.released = true
}

// own returns the record of a kind that this process would append.
func (s *State) own(k kind) record {
	return record{Kind: k, Node: s.self.Node, Incarnation: s.self.Incarnation, Address: s.self.Address, Epoch: s.self.Epoch}
}

// isOwnClaim reports whether the newest claim was written by this run of this process
// and not taken up: its answer was lost.
func (s *State) isOwnClaim() bool {
	c := s.current
	return !s.Leads() && !s.released && c.Epoch != 0 && c.Epoch == s.highest &&
		c.Node == s.self.Node && c.Incarnation == s.self.Incarnation
}

// takeUp has this process lead by its claim that was read. When that was stored isn't
// known, so leases are renewed once a renewal is confirmed.
func (s *State) takeUp() { s.self.Epoch = s.current.Epoch }
