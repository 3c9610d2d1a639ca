package ownership

import (
	"math"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Health is the state of one member according to its heartbeats.
type Health struct {
	Process   Identity
	Suspected bool // no heartbeat for longer than the suspicion time
	Draining  bool // it is leaving and wants no shards
	AliveFor  time.Duration
}

// PlanLimits holds the limits of Plan's decisions.
type PlanLimits struct {
	MinAliveTime             time.Duration // how long a member must be alive before it gets shards of live members
	ChallengeTimeout         time.Duration // how long a challenge must be unanswered before a claim
	ChallengeInterval        time.Duration // minimum time between two challenges of one member
	MaxMoves                 int           // maximum number of shards that are closed at a time to move to other members
	ExpelDelay               time.Duration // how long a suspected member must be missing from the VM list before it is expelled
	SuspiciousListExpelDelay time.Duration // the same if more than half of the roster is missing from the list
}

// DefaultPlanLimits returns the limits that are used by default.
func DefaultPlanLimits() PlanLimits {
	return PlanLimits{
		MinAliveTime:             3 * time.Second,
		ChallengeTimeout:         400 * time.Millisecond,
		ChallengeInterval:        2 * time.Second,
		MaxMoves:                 8,
		ExpelDelay:               5 * time.Second,
		SuspiciousListExpelDelay: time.Minute,
	}
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Table    *Table
	Evidence *Evidence
	Timing   Timing
	Limits   PlanLimits
	Address  string // of this process's peer service
	Draining bool   // this process is about to leave
	Health   map[api.NodeID]Health
	// Unlisted holds, for each node missing from the platform's VM list, how
	// long it has been missing while the list could be read.
	Unlisted map[api.NodeID]time.Duration
	// InFlight holds, for each releasable shard, the maximum number of requests
	// that this process has in flight at any one endpoint, and for Cell whether
	// anything is in flight (0 or 1).
	InFlight map[Shard]int
}

// Plan decides what this process does at now. It does nothing while its view of
// the log is unconfirmed.
func Plan(now time.Time, v PlanInput) []Action {
	if !v.Timing.LogConfirmed(v.Evidence, now) {
		return nil
	}
	if !v.Table.IsMember(v.Evidence.Self) {
		return planJoin(v)
	}
	var actions []Action
	actions = append(actions, planAcknowledge(v)...)
	actions = append(actions, planClose(v)...)
	actions = append(actions, planRelease(now, v)...)
	if v.Draining {
		return append(actions, planLeave(v)...)
	}
	actions = append(actions, planChallenge(now, v)...)
	actions = append(actions, planClaim(now, v)...)
	return append(actions, planExpel(v)...)
}

// planJoin joins the roster unless this process is leaving.
func planJoin(v PlanInput) []Action {
	if v.Draining {
		return nil
	}
	return []Action{Join{Process: v.Evidence.Self, Address: v.Address}}
}

// planAcknowledge acknowledges members that have joined since the last
// acknowledgement, and answers a challenge.
func planAcknowledge(v PlanInput) []Action {
	self := v.Table.Members[v.Evidence.Self.Node]
	due := self.Challenged > self.Acked
	for _, m := range v.Table.Members {
		due = due || m.Joined > self.Acked
	}
	if !due {
		return nil
	}
	return []Action{Acknowledge{
		Process: self.Process,
		Version: v.Table.Version,
		Members: max(v.Evidence.MaxMembers, uint32(len(v.Table.Members))),
	}}
}

// planChallenge challenges suspected members through the log, so that a member
// whose heartbeats are lost but that still follows the log keeps its shards.
func planChallenge(now time.Time, v PlanInput) []Action {
	var actions []Action
	for _, m := range v.suspectedMembers() {
		recent := now.Sub(v.Evidence.Challenges[m.Process.Node].ObservedAt) < v.Limits.ChallengeInterval
		if m.Challenged > m.Acked || recent {
			continue
		}
		if v.isProposerFor(m) {
			actions = append(actions, Challenge{From: v.Evidence.Self, Process: m.Process})
		}
	}
	return actions
}

// suspectedMembers returns the suspected members, sorted by node.
func (v PlanInput) suspectedMembers() []Member {
	var members []Member
	for _, node := range v.Table.sortedNodes {
		if m := v.Table.Members[node]; v.isSuspected(m.Process) {
			members = append(members, m)
		}
	}
	return members
}

// isProposerFor reports whether this process is the member that proposes
// challenges and expulsions of m, so that not every member does.
func (v PlanInput) isProposerFor(m Member) bool {
	return highestScored([]byte(m.Process.Node), v.aliveMembers()) == v.Evidence.Self.Node
}

// challengeExpired reports whether m has not answered a challenge in time at now.
func (v PlanInput) challengeExpired(now time.Time, m Member) bool {
	seen := v.Evidence.Challenges[m.Process.Node]
	return m.Challenged > m.Acked && seen.Version == m.Challenged && now.Sub(seen.ObservedAt) >= v.Limits.ChallengeTimeout
}

// planClose closes held shards: all of them if this process is draining, and
// otherwise those that another stable member should hold.
func planClose(v PlanInput) []Action {
	stableMembers := v.stableMembers()
	remaining := v.Limits.MaxMoves
	var shards []ShardAt
	for _, s := range Shards() {
		h := v.Table.Holds[s]
		if !h.HeldBy(v.Evidence.Self) {
			continue
		}
		if v.Evidence.ClosedEpochs[s] == h.Epoch {
			remaining--
			continue
		}
		if v.Draining || PreferredNode(s, stableMembers) != v.Evidence.Self.Node {
			shards = append(shards, ShardAt{Shard: s, Epoch: h.Epoch})
		}
	}
	if !v.Draining {
		shards = shards[:min(len(shards), max(remaining, 0))]
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Close{Shards: shards}}
}

// stableMembers returns the members that may get shards from live holders.
func (v PlanInput) stableMembers() []api.NodeID {
	return v.selectNodes(func(m Member) bool {
		return v.isAlive(m) && v.Health[m.Process.Node].AliveFor >= v.Limits.MinAliveTime
	})
}

// takeoverCandidates returns the members that may claim shards that were not
// released.
func (v PlanInput) takeoverCandidates() []api.NodeID {
	acked := v.Table.ackedByAll()
	return v.selectNodes(func(m Member) bool { return v.isAlive(m) && m.Joined <= acked })
}

// aliveMembers returns the members that may claim shards that nobody holds.
func (v PlanInput) aliveMembers() []api.NodeID {
	return v.selectNodes(v.isAlive)
}

// isAlive reports whether m sends heartbeats and is not leaving.
func (v PlanInput) isAlive(m Member) bool {
	h, known := v.Health[m.Process.Node]
	return known && h.Process == m.Process && !h.Suspected && !h.Draining && !m.Leaving
}

// selectNodes returns the nodes of the members that ok selects, and always this
// process's own.
func (v PlanInput) selectNodes(ok func(Member) bool) []api.NodeID {
	var nodes []api.NodeID
	for _, node := range v.Table.sortedNodes {
		m := v.Table.Members[node]
		if m.Process == v.Evidence.Self || ok(m) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// releasable returns the held shards that are closed, and those of which this
// process is a former holder that may still use slots.
func releasable(t *Table, e *Evidence) []Shard {
	var shards []Shard
	for _, s := range Shards() {
		h := t.Holds[s]
		closed := h.HeldBy(e.Self) && e.ClosedEpochs[s] == h.Epoch
		former := !h.HeldBy(e.Self) && h.isFormerHolder(e.Self)
		if closed || former {
			shards = append(shards, s)
		}
	}
	return shards
}

// planRelease releases the releasable shards. A held endpoint shard is released
// immediately, with the number of requests in flight. The cell shard, and what is
// left of a former hold, are released once nothing is in flight.
func planRelease(now time.Time, v PlanInput) []Action {
	var shards []ShardRelease
	for _, s := range releasable(v.Table, v.Evidence) {
		h := v.Table.Holds[s]
		inFlight := v.InFlight[s]
		handsOver := h.HeldBy(v.Evidence.Self) && s != Cell && inFlight <= math.MaxUint16
		if (inFlight == 0 || handsOver) && v.takeoverWaitOver(now, s, h) {
			shards = append(shards, ShardRelease{Shard: s, Epoch: h.Epoch, InFlight: uint16(inFlight)})
		}
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Release{Process: v.Evidence.Self, Shards: shards, Leaving: v.Draining}}
}

// takeoverWaitOver reports whether the wait after this process's takeover of s
// has ended, if there is one. An earlier release would let the next holder use
// the shard while the one before this process still does.
func (v PlanInput) takeoverWaitOver(now time.Time, s Shard, h Hold) bool {
	if !h.MustWait || !h.HeldBy(v.Evidence.Self) {
		return true
	}
	own := v.Evidence.Claims[s]
	return own.Epoch == h.Epoch && !now.Before(own.ReadBackAt.Add(v.Timing.TakeoverWait()))
}

// planLeave leaves the roster once this process neither holds a shard nor is a
// former holder of one.
func planLeave(v PlanInput) []Action {
	for _, h := range v.Table.Holds {
		if h.HeldBy(v.Evidence.Self) || h.isFormerHolder(v.Evidence.Self) {
			return nil
		}
	}
	return []Action{Leave{Process: v.Evidence.Self}}
}

// planClaim claims the claimable shards that this process should hold.
func planClaim(now time.Time, v PlanInput) []Action {
	var shards []ShardAt
	for _, s := range Shards() {
		h := v.Table.Holds[s]
		if v.canClaim(now, h) && PreferredNode(s, v.claimCandidates(h)) == v.Evidence.Self.Node {
			shards = append(shards, ShardAt{Shard: s, Epoch: h.Epoch})
		}
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Claim{Process: v.Evidence.Self, Shards: shards}}
}

// claimCandidates returns the members that may claim the shard of h.
func (v PlanInput) claimCandidates(h Hold) []api.NodeID {
	if h.Released() {
		return v.aliveMembers()
	}
	return v.takeoverCandidates()
}

// canClaim reports whether this process may claim the shard of h at now.
func (v PlanInput) canClaim(now time.Time, h Hold) bool {
	switch {
	case h.Released():
		return true
	case h.HeldBy(v.Evidence.Self):
		return false
	case h.Status == StatusHeld && !v.isSuspected(h.Process):
		return false
	case !v.Table.Acknowledged(v.Evidence.Self):
		return false
	case h.Status == StatusEnded:
		return true
	default:
		holder := v.Table.Members[h.Process.Node]
		promised := now.Before(v.Evidence.PromisedUntil[h.Process.Node])
		return v.challengeExpired(now, holder) && !promised
	}
}

// isSuspected reports whether process is suspected. It is false for this process.
func (v PlanInput) isSuspected(process Identity) bool {
	h, known := v.Health[process.Node]
	return process != v.Evidence.Self && known && h.Process == process && h.Suspected
}

// planExpel expels suspected members that are missing from the VM list.
func planExpel(v PlanInput) []Action {
	expelDelay := v.expelDelay()
	var actions []Action
	for _, m := range v.suspectedMembers() {
		absent, unlisted := v.Unlisted[m.Process.Node]
		if unlisted && absent >= expelDelay && v.isProposerFor(m) {
			actions = append(actions, Expel{Process: m.Process})
		}
	}
	return actions
}

// expelDelay returns how long a member must be missing from the VM list. A list
// that lacks most of the roster is probably wrong.
func (v PlanInput) expelDelay() time.Duration {
	missing := 0
	for node := range v.Table.Members {
		if _, unlisted := v.Unlisted[node]; unlisted {
			missing++
		}
	}
	if 2*missing > len(v.Table.Members) {
		return v.Limits.SuspiciousListExpelDelay
	}
	return v.Limits.ExpelDelay
}
