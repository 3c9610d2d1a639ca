package ownership

import (
	"maps"
	"math"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// Access says what a process may do with a shard.
type Access uint8

// States of authority over a shard.
const (
	AccessNone  Access = iota // no new use
	AccessFloor               // only the floor share of each endpoint's slots
	AccessFull                // everything that other holders' floor shares leave
)

var stateNames = [...]string{"none", "floor", "full"}

// String names the state for logs.
func (s Access) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Timing holds the protocol's times. Hold and Drift must be the same on
// every entry VM of a data centre.
type Timing struct {
	HoldDuration  time.Duration // how long a confirmation lasts
	MaxSendDelay  time.Duration // longest time from a check of the hold to the send
	MaxClockDrift float64       // most by which two clocks' rates differ, as a fraction
}

// Defaults of Timing.
const (
	DefaultHoldDuration  = 1500 * time.Millisecond
	DefaultMaxSendDelay  = 200 * time.Millisecond
	DefaultMaxClockDrift = 0.01
)

// TakeoverWait returns how long a claimant waits from the read-back of its
// claim: until whatever the former holder had checked has been sent.
func (t Timing) TakeoverWait() time.Duration {
	return t.WithDrift(t.HoldDuration + t.MaxSendDelay)
}

// WithDrift returns how long a process waits to be sure that d has passed on
// every other clock.
func (t Timing) WithDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + t.MaxClockDrift)))
}

// OwnClaim is when this process saw its own claim in the log.
type OwnClaim struct {
	Epoch      api.Epoch
	ReadBackAt time.Time
}

// Grant is a promise received: the member will not claim for Hold after the
// exchange, and had taken nothing when it answered.
type Grant struct {
	From        Identity
	RequestedAt time.Time // when this process started the exchange
}

// ObservedChallenge is when this process saw a challenge in the log.
type ObservedChallenge struct {
	Version    uint64
	ObservedAt time.Time
}

// Evidence is what one process knows beside the table. Times are local.
type Evidence struct {
	Self          Identity
	ConfirmedAt   time.Time // journal.Follower.ConfirmedAt
	Grants        map[api.NodeID]Grant
	Claims        map[Shard]OwnClaim
	ClosedEpochs  map[Shard]api.Epoch      // epochs at which local use was stopped for good
	PromisedUntil map[api.NodeID]time.Time // grants given: no claim from that node before
	PendingClaims map[Shard]bool           // own claims on their way to the log
	Challenges    map[api.NodeID]ObservedChallenge
	MaxMembers    uint32 // most members seen in this incarnation
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

// Observe notes at now what the table shows: own claims read back, new
// challenges and the number of members.
func (e *Evidence) Observe(t *Table, now time.Time) {
	e.MaxMembers = max(e.MaxMembers, uint32(len(t.Members)))
	for node, m := range t.Members {
		if m.Challenged != 0 && e.Challenges[node].Version != m.Challenged {
			e.Challenges[node] = ObservedChallenge{Version: m.Challenged, ObservedAt: now}
		}
	}
	e.forget(t)
	for s, h := range t.Holds {
		if h.HeldBy(e.Self) && e.Claims[s].Epoch != h.Epoch {
			e.Claims[s] = OwnClaim{Epoch: h.Epoch, ReadBackAt: now}
		}
	}
}

// forget drops what concerns nodes that are no longer members.
func (e *Evidence) forget(t *Table) {
	gone := func(node api.NodeID) bool {
		_, member := t.Members[node]
		return !member
	}
	maps.DeleteFunc(e.Grants, func(node api.NodeID, _ Grant) bool { return gone(node) })
	maps.DeleteFunc(e.PromisedUntil, func(node api.NodeID, _ time.Time) bool { return gone(node) })
	maps.DeleteFunc(e.Challenges, func(node api.NodeID, _ ObservedChallenge) bool { return gone(node) })
}

// Authority is what a process may do with one shard, and why.
type Authority struct {
	Epoch     api.Epoch
	Access    Access
	UsableAt  time.Time // end of the wait after a takeover; zero without one
	ClaimedAt time.Time // when the claim was read back; zero for who doesn't hold the shard
	ByGrants  bool      // confirmed by grants, not by the log
}

// Decide says what the process may do with s at now.
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

// confirmation says whether the process's holds are confirmed at now.
func (c Timing) confirmation(t *Table, e *Evidence, now time.Time) (state Access, granted bool) {
	if c.LogConfirmed(e, now) {
		return AccessFull, false
	}
	if c.grantedByAll(t, e, now) {
		return AccessFull, true
	}
	return AccessFloor, false
}

// LogConfirmed reports whether a read of the log, sent less than Hold ago,
// reached its end.
func (c Timing) LogConfirmed(e *Evidence, now time.Time) bool {
	return !e.ConfirmedAt.IsZero() && now.Sub(e.ConfirmedAt) < c.HoldDuration
}

// grantedByAll reports whether every other member of the roster has granted
// less than Hold ago. It holds for a process alone in the roster.
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

// GrantRequest is what a member tells when it asks for a grant.
type GrantRequest struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Version uint64 // table version that it has applied
}

// CanGrant reports whether this process may promise asker not to claim from
// it: the asker is a member as far as this process knows, knows of everything
// that was taken from it, and no own claim on it is under way. A promise that is given must be noted
// with Promise before it is sent.
func CanGrant(t *Table, e *Evidence, ask GrantRequest) bool {
	if !t.IsMember(ask.Process) || !t.IsMember(e.Self) {
		return false
	}
	for s := range e.PendingClaims {
		if t.Holds[s].HeldBy(ask.Process) {
			return false
		}
	}
	return t.Members[ask.Process.Node].LostAt <= ask.Version
}

// RecordPromise notes a grant given at now.
func (c Timing) RecordPromise(e *Evidence, to api.NodeID, now time.Time) {
	e.PromisedUntil[to] = now.Add(c.WithDrift(c.HoldDuration))
}

// SlotLimit returns how many of an endpoint's slots the process may use at
// once under authority a over the endpoint's shard s.
func SlotLimit(t *Table, e *Evidence, s Shard, a Authority, slots int) int {
	if a.Access == AccessNone {
		return 0
	}
	free := max(0, slots-leftToFormer(t, t.Holds[s], slots))
	if a.Access == AccessFull {
		return free
	}
	members := max(e.MaxMembers, t.Members[e.Self.Node].Members, uint32(len(t.Members)))
	return min(free, floorShare(slots, members))
}

// floorShare is the floor of one member among members.
func floorShare(slots int, members uint32) int {
	if members == 0 {
		return 0
	}
	return slots / int(members)
}

// leftToFormer is how many of an endpoint's slots earlier holders may use.
func leftToFormer(t *Table, h Hold, slots int) int {
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
