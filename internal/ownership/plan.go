package ownership

import (
	"math"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Health is what the heartbeats say of one member.
type Health struct {
	Process   Identity
	Suspected bool // silent for longer than the suspicion time
	Draining  bool // it is leaving and wants no shards
	AliveFor  time.Duration
}

// PlanLimits bounds what one pass of Plan decides.
type PlanLimits struct {
	MinAliveTime             time.Duration // a member gets others' shards only after being alive so long
	ChallengeTimeout         time.Duration // a challenge must stay unanswered so long before a claim
	ChallengeInterval        time.Duration // least time between two challenges of one member
	MaxMoves                 int           // shards closed at a time to move to other members
	ExpelDelay               time.Duration // a silent member is expelled when the VM list has lacked it so long
	SuspiciousListExpelDelay time.Duration // the same, when the list lacks more than half of the roster
}

// DefaultPlanLimits returns the limits used where the settings name none.
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

// PlanInput is what Plan decides on.
type PlanInput struct {
	Table    *Table
	Evidence *Evidence
	Timing   Timing
	Limits   PlanLimits
	Address  string // of this process's peer service
	Draining bool   // this process is to leave
	Health   map[api.NodeID]Health
	// Unlisted tells for how long the platform's VM list, while it could be
	// read, has not shown a node.
	Unlisted map[api.NodeID]time.Duration
	// InFlight holds, for each releasable shard, the most requests that this
	// process has in flight at any one endpoint; for Cell, whether anything
	// is.
	InFlight map[Shard]int
}

// Plan decides what this process proposes at now. It proposes nothing while
// its view of the log is unconfirmed.
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

// planJoin joins the roster, unless this process is leaving.
func planJoin(v PlanInput) []Action {
	if v.Draining {
		return nil
	}
	return []Action{Join{Process: v.Evidence.Self, Address: v.Address}}
}

// planAcknowledge acknowledges members that joined since the last time, and
// answers a challenge.
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

// planChallenge challenges silent members in the log, so that one which the
// heartbeats don't reach, but the log does, keeps its shards.
func planChallenge(now time.Time, v PlanInput) []Action {
	var actions []Action
	for _, m := range v.silentMembers() {
		recent := now.Sub(v.Evidence.Challenges[m.Process.Node].ObservedAt) < v.Limits.ChallengeInterval
		if m.Challenged > m.Acked || recent {
			continue
		}
		if v.chosenFor(m) {
			actions = append(actions, Challenge{From: v.Evidence.Self, Process: m.Process})
		}
	}
	return actions
}

// silentMembers returns the suspected members.
func (v PlanInput) silentMembers() []Member {
	var members []Member
	for _, node := range v.Table.order {
		if m := v.Table.Members[node]; v.silent(m.Process) {
			members = append(members, m)
		}
	}
	return members
}

// chosenFor reports whether this process is the one that proposes what
// concerns m, so that not every member does.
func (v PlanInput) chosenFor(m Member) bool {
	return chosen([]byte(m.Process.Node), v.present()) == v.Evidence.Self.Node
}

// unanswered reports whether m has let a challenge pass at now.
func (v PlanInput) unanswered(now time.Time, m Member) bool {
	seen := v.Evidence.Challenges[m.Process.Node]
	return m.Challenged > m.Acked && seen.Version == m.Challenged && now.Sub(seen.ObservedAt) >= v.Limits.ChallengeTimeout
}

// planClose picks the held shards to stop using: all when draining, else
// those that another settled member should hold.
func planClose(v PlanInput) []Action {
	settled := v.settled()
	room := v.Limits.MaxMoves
	var shards []ShardAt
	for _, s := range Shards() {
		h := v.Table.Holds[s]
		if !h.HeldBy(v.Evidence.Self) {
			continue
		}
		if v.Evidence.ClosedEpochs[s] == h.Epoch {
			room--
			continue
		}
		if v.Draining || PreferredNode(s, settled) != v.Evidence.Self.Node {
			shards = append(shards, ShardAt{Shard: s, Epoch: h.Epoch})
		}
	}
	if !v.Draining {
		shards = shards[:min(len(shards), max(room, 0))]
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Close{Shards: shards}}
}

// settled returns the members fit to be given shards that live members hold.
func (v PlanInput) settled() []api.NodeID {
	return v.nodes(func(m Member) bool {
		return v.alive(m) && v.Health[m.Process.Node].AliveFor >= v.Limits.MinAliveTime
	})
}

// able returns the members that may take shards from a silent holder.
func (v PlanInput) able() []api.NodeID {
	acked := v.Table.ackedByAll()
	return v.nodes(func(m Member) bool { return v.alive(m) && m.Joined <= acked })
}

// present returns the members that may take shards nobody holds.
func (v PlanInput) present() []api.NodeID {
	return v.nodes(v.alive)
}

// alive reports whether m is heard of and is not leaving.
func (v PlanInput) alive(m Member) bool {
	h, known := v.Health[m.Process.Node]
	return known && h.Process == m.Process && !h.Suspected && !h.Draining && !m.Leaving
}

// nodes returns the members that pass ok, and always this process.
func (v PlanInput) nodes(ok func(Member) bool) []api.NodeID {
	var nodes []api.NodeID
	for _, node := range v.Table.order {
		m := v.Table.Members[node]
		if m.Process == v.Evidence.Self || ok(m) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// releasable returns the held shards that are closed, and those where this
// process is a former holder that may still use slots.
func releasable(t *Table, e *Evidence) []Shard {
	var shards []Shard
	for _, s := range Shards() {
		h := t.Holds[s]
		leaving := h.HeldBy(e.Self) && e.ClosedEpochs[s] == h.Epoch
		yielding := !h.HeldBy(e.Self) && h.isFormer(e.Self)
		if leaving || yielding {
			shards = append(shards, s)
		}
	}
	return shards
}

// planRelease gives up what is releasable. A held shard of endpoints is given
// up at once, with a note of what is in flight; the rest of a former hold
// when nothing is.
func planRelease(now time.Time, v PlanInput) []Action {
	var shards []ShardRelease
	for _, s := range releasable(v.Table, v.Evidence) {
		h := v.Table.Holds[s]
		inFlight := v.InFlight[s]
		handsOver := h.HeldBy(v.Evidence.Self) && s != Cell && inFlight <= math.MaxUint16
		if (inFlight == 0 || handsOver) && v.waited(now, s, h) {
			shards = append(shards, ShardRelease{Shard: s, Epoch: h.Epoch, InFlight: uint16(inFlight)})
		}
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Release{Process: v.Evidence.Self, Shards: shards, Leaving: v.Draining}}
}

// waited reports whether the wait after the own takeover of s is over. A
// release before that would let the next holder start beside the former one.
func (v PlanInput) waited(now time.Time, s Shard, h Hold) bool {
	if !h.MustWait || !h.HeldBy(v.Evidence.Self) {
		return true
	}
	own := v.Evidence.Claims[s]
	return own.Epoch == h.Epoch && !now.Before(own.ReadBackAt.Add(v.Timing.TakeoverWait()))
}

// planLeave leaves the roster when nothing is held or left of a hold.
func planLeave(v PlanInput) []Action {
	for _, h := range v.Table.Holds {
		if h.HeldBy(v.Evidence.Self) || h.isFormer(v.Evidence.Self) {
			return nil
		}
	}
	return []Action{Leave{Process: v.Evidence.Self}}
}

// planClaim claims the shards that nobody uses and this process should hold.
func planClaim(now time.Time, v PlanInput) []Action {
	var shards []ShardAt
	for _, s := range Shards() {
		h := v.Table.Holds[s]
		if v.claimable(now, h) && PreferredNode(s, v.claimants(h)) == v.Evidence.Self.Node {
			shards = append(shards, ShardAt{Shard: s, Epoch: h.Epoch})
		}
	}
	if len(shards) == 0 {
		return nil
	}
	return []Action{Claim{Process: v.Evidence.Self, Shards: shards}}
}

// claimants returns the members that may claim a shard that stands at h.
func (v PlanInput) claimants(h Hold) []api.NodeID {
	if h.Released() {
		return v.present()
	}
	return v.able()
}

// claimable reports whether this process may claim a shard that stands at h.
func (v PlanInput) claimable(now time.Time, h Hold) bool {
	switch {
	case h.Released():
		return true
	case h.HeldBy(v.Evidence.Self):
		return false
	case h.Status == StatusHeld && !v.silent(h.Process):
		return false
	case !v.Table.Acknowledged(v.Evidence.Self):
		return false
	case h.Status == StatusEnded:
		return true
	default:
		holder := v.Table.Members[h.Process.Node]
		promised := now.Before(v.Evidence.PromisedUntil[h.Process.Node])
		return v.unanswered(now, holder) && !promised
	}
}

// silent reports whether who, another process, is suspected.
func (v PlanInput) silent(who Identity) bool {
	h, known := v.Health[who.Node]
	return who != v.Evidence.Self && known && h.Process == who && h.Suspected
}

// planExpel removes silent members that the VM list has dropped.
func planExpel(v PlanInput) []Action {
	patience := v.expelPatience()
	var actions []Action
	for _, m := range v.silentMembers() {
		absent, unlisted := v.Unlisted[m.Process.Node]
		if unlisted && absent >= patience && v.chosenFor(m) {
			actions = append(actions, Expel{Process: m.Process})
		}
	}
	return actions
}

// expelPatience is how long the list must lack a member. A list that lacks
// most of the roster is more likely wrong than right.
func (v PlanInput) expelPatience() time.Duration {
	lacking := 0
	for node := range v.Table.Members {
		if _, unlisted := v.Unlisted[node]; unlisted {
			lacking++
		}
	}
	if 2*lacking > len(v.Table.Members) {
		return v.Limits.SuspiciousListExpelDelay
	}
	return v.Limits.ExpelDelay
}
