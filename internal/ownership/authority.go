package ownership

import (
	"maps"
	"math"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Access is what a process may do with a shard.
type Access uint8

// Levels of access to a shard.
const (
	AccessNone  Access = iota // no new requests
	AccessFloor               // only the floor share of each endpoint's slots
	AccessFull                // all slots except those that former holders may still use
)

var accessNames = [...]string{"none", "floor", "full"}

// String returns the name of the access level for logs.
func (a Access) String() string {
	if int(a) < len(accessNames) {
		return accessNames[a]
	}
	return "invalid"
}

// Timing holds the times of the protocol. HoldDuration and MaxClockDrift must be
// the same on every entry VM of a data centre.
type Timing struct {
	HoldDuration  time.Duration // how long a confirmation is valid
	MaxSendDelay  time.Duration // maximum time between checking the hold and sending a request
	MaxClockDrift float64       // maximum difference between the rates of two clocks, as a fraction
}

// Defaults of Timing.
const (
	DefaultHoldDuration  = 1500 * time.Millisecond
	DefaultMaxSendDelay  = 200 * time.Millisecond
	DefaultMaxClockDrift = 0.01
)

// TakeoverWait returns how long a claimant waits after reading back its claim:
// until the former holder has sent every request for which it had checked its
// hold.
func (t Timing) TakeoverWait() time.Duration {
	return t.WithDrift(t.HoldDuration + t.MaxSendDelay)
}

// WithDrift returns how long a process must wait by its own clock so that d has
// certainly elapsed on every other clock.
func (t Timing) WithDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + t.MaxClockDrift)))
}

// OwnClaim records when this process read back its own claim from the log.
type OwnClaim struct {
	Epoch      api.Epoch
	ReadBackAt time.Time
}

// Grant is a promise received from a member: it will not claim shards of this
// process for HoldDuration after the exchange, and it had no pending claim on
// them when it answered.
type Grant struct {
	From        Identity
	RequestedAt time.Time // when this process started the exchange
}

// ObservedChallenge records when this process read a challenge from the log.
type ObservedChallenge struct {
	Version    uint64
	ObservedAt time.Time
}

// Evidence is what one process knows besides the table. Times are local.
type Evidence struct {
	Self          Identity
	ConfirmedAt   time.Time // journal.Follower.ConfirmedAt
	Grants        map[api.NodeID]Grant
	Claims        map[Shard]OwnClaim
	ClosedEpochs  map[Shard]api.Epoch      // epochs in which this process has permanently stopped using the shard
	PromisedUntil map[api.NodeID]time.Time // grants given: this process claims nothing from the node before that time
	PendingClaims map[Shard]bool           // own claims being proposed
	Challenges    map[api.NodeID]ObservedChallenge
	MaxMembers    uint32 // maximum number of members seen in this incarnation
}

// NewEvidence returns the evidence of a process that knows nothing yet.
func NewEvidence(self Identity) *Evidence {
	return &Evidence{
		Self:          self,
		Grants:        make(map[api.NodeID]Grant),
		Claims:        make(map[Shard]OwnClaim),
		ClosedEpochs:  make(map[Shard]api.Epoch),
		PromisedUntil: make(map[api.NodeID]time.Time),
		PendingClaims: make(map[Shard]bool),

		Challenges: make(map[api.NodeID]ObservedChallenge),
	}
}

// Observe records at now what the table shows: own claims read back, new
// challenges and the number of members.
func (e *Evidence) Observe(t *Table, now time.Time) {
	e.MaxMembers = max(e.MaxMembers, uint32(len(t.Members)))
	for node, m := range t.Members {
		if m.Challenged != 0 && e.Challenges[node].Version != m.Challenged {
			e.Challenges[node] = ObservedChallenge{Version: m.Challenged, ObservedAt: now}
		}
	}
	e.dropFormerMembers(t)
	for s, h := range t.Holds {
		if h.HeldBy(e.Self) && e.Claims[s].Epoch != h.Epoch {
			e.Claims[s] = OwnClaim{Epoch: h.Epoch, ReadBackAt: now}
		}
	}
}

// dropFormerMembers drops the grants, promises and challenges of nodes that are
// no longer members.
func (e *Evidence) dropFormerMembers(t *Table) {
	gone := func(node api.NodeID) bool {
		_, member := t.Members[node]
		return !member
	}
	maps.DeleteFunc(e.Grants, func(node api.NodeID, _ Grant) bool { return gone(node) })
	maps.DeleteFunc(e.PromisedUntil, func(node api.NodeID, _ time.Time) bool { return gone(node) })
	maps.DeleteFunc(e.Challenges, func(node api.NodeID, _ ObservedChallenge) bool { return gone(node) })
}

// Authority is the access of a process to one shard, and its grounds.
type Authority struct {
	Epoch     api.Epoch
	Access    Access
	UsableAt  time.Time // end of the wait after a takeover; zero if there is no wait
	ClaimedAt time.Time // when the claim was read back; zero if the process doesn't hold the shard
	ByGrants  bool      // confirmed by grants instead of the log
}

// Decide returns what the process may do with s at now.
func (c Timing) Decide(t *Table, e *Evidence, s Shard, now time.Time) Authority {
	h := t.Holds[s]
	if !h.HeldBy(e.Self) || e.ClosedEpochs[s] == h.Epoch {
		return Authority{}
	}
	own := e.Claims[s]
	if own.Epoch != h.Epoch {
		return Authority{}
	}
	a := Authority{Epoch: h.Epoch, ClaimedAt: own.ReadBackAt}
	if h.MustWait {
		a.UsableAt = own.ReadBackAt.Add(c.TakeoverWait())
		if now.Before(a.UsableAt) {
			return a
		}
	}
	a.Access, a.ByGrants = c.confirmation(t, e, now)
	return a
}

// confirmation returns the access that the process has at now to the shards that
// it holds, and whether that is confirmed by grants.
func (c Timing) confirmation(t *Table, e *Evidence, now time.Time) (access Access, byGrants bool) {
	if c.LogConfirmed(e, now) {
		return AccessFull, false
	}
	if c.grantedByAll(t, e, now) {
		return AccessFull, true
	}
	return AccessFloor, false
}

// LogConfirmed reports whether a read of the log, sent less than HoldDuration
// ago, has reached the end.
func (c Timing) LogConfirmed(e *Evidence, now time.Time) bool {
	return !e.ConfirmedAt.IsZero() && now.Sub(e.ConfirmedAt) < c.HoldDuration
}

// grantedByAll reports whether every other member of the roster has given a
// grant less than HoldDuration ago. It is true for the only member of the
// roster.
func (c Timing) grantedByAll(t *Table, e *Evidence, now time.Time) bool {
	if !t.IsMember(e.Self) {
		return false
	}
	for node, m := range t.Members {
		if m.Process == e.Self {
			continue
		}
		g, ok := e.Grants[node]
		if !ok || g.From != m.Process || now.Sub(g.RequestedAt) >= c.HoldDuration {
			return false
		}
	}
	return true
}

// GrantRequest is a member's request for a grant.
type GrantRequest struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Version uint64 // table version that it has applied
}

// CanGrant reports whether this process may promise the requester not to claim
// its shards: as far as this process knows, the requester is a member and knows
// of every shard that it has lost, and this process has no pending claim on its
// shards. A promise must be recorded with RecordPromise before it is sent.
func CanGrant(t *Table, e *Evidence, req GrantRequest) bool {
	if !t.IsMember(req.Process) || !t.IsMember(e.Self) {
		return false
	}
	for s := range e.PendingClaims {
		if t.Holds[s].HeldBy(req.Process) {
			return false
		}
	}
	return t.Members[req.Process.Node].LostAt <= req.Version
}

// RecordPromise records a grant given to a node at now.
func (c Timing) RecordPromise(e *Evidence, to api.NodeID, now time.Time) {
	e.PromisedUntil[to] = now.Add(c.WithDrift(c.HoldDuration))
}

// SlotLimit returns how many of an endpoint's slots the process may use at a
// time, given its authority a over the endpoint's shard s.
func SlotLimit(t *Table, e *Evidence, s Shard, a Authority, slots int) int {
	if a.Access == AccessNone {
		return 0
	}
	free := max(0, slots-formerHolderSlots(t, t.Holds[s], slots))
	if a.Access == AccessFull {
		return free
	}
	members := max(e.MaxMembers, t.Members[e.Self.Node].Members, uint32(len(t.Members)))
	return min(free, floorShare(slots, members))
}

// floorShare returns how many slots each of the given number of members may use
// without confirmation of its hold.
func floorShare(slots int, members uint32) int {
	if members == 0 {
		return 0
	}
	return slots / int(members)
}

// formerHolderSlots returns how many of an endpoint's slots former holders may
// still use.
func formerHolderSlots(t *Table, h Hold, slots int) int {
	sum := 0
	for _, f := range h.Previous {
		switch {
		case !t.IsMember(f.Process):
		case f.Lost:
			sum += floorShare(slots, f.Members)
		default:
			sum += int(f.InFlight)
		}
	}
	return sum
}
