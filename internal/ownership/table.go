package ownership

import (
	"maps"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// HoldStatus says how a shard stands.
type HoldStatus uint8

// Statuses of a shard.
const (
	StatusFree     HoldStatus = iota // never held
	StatusHeld                       // held by Who
	StatusReleased                   // given up by Who, which had stopped
	StatusEnded                      // Who left, was expelled or restarted without releasing it
)

// Hold is what the log says of one shard.
type Hold struct {
	_       struct{} `cbor:",toarray"`
	Process Identity // the latest holder
	Epoch   api.Epoch
	Status  HoldStatus
	// MustWait is set when the holder took the shard over without a release, so
	// that it waits before the first use.
	MustWait bool
	// Previous are the earlier holders that may still use slots: those that
	// lost the shard, and those that released it with requests in flight.
	// Those no longer in the roster count for nothing.
	Previous []FormerHolder
}

// FormerHolder is an earlier holder of a shard.
type FormerHolder struct {
	_        struct{} `cbor:",toarray"`
	Process  Identity
	Lost     bool   // it did not release the shard; it may use its floor share
	Members  uint32 // that divide the slots into that share, as of the loss
	InFlight uint16 // else: it may use so many slots of each endpoint
}

// isFormer reports whether who is among the earlier holders that may still
// use slots.
func (h Hold) isFormer(who Identity) bool {
	return slices.ContainsFunc(h.Previous, func(f FormerHolder) bool { return f.Process == who })
}

// without returns the earlier holders but who.
func (h Hold) without(who Identity) []FormerHolder {
	return slices.DeleteFunc(slices.Clone(h.Previous), func(f FormerHolder) bool { return f.Process == who })
}

// Released reports whether the shard may be claimed without a wait.
func (h Hold) Released() bool {
	return h.Status == StatusFree || h.Status == StatusReleased
}

// HeldBy reports whether who holds the shard now.
func (h Hold) HeldBy(who Identity) bool {
	return h.Status == StatusHeld && h.Process == who
}

// Member is one entry VM in the roster.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Address string // IP:port of its peer service
	Joined  uint64 // table version of its join
	Acked   uint64 // table version that it has acknowledged
	Members uint32 // most members it is known to have seen; divides the slots into its floor
	LostAt  uint64 // table version at which a shard was last taken from it
	// Challenged is the table version at which it was last challenged; it
	// owes an answer while that is above Acked.
	Challenged uint64
	Leaving    bool // it has begun to leave
}

// Table is the state that the entries of one data centre's stream make: the
// roster and the shards. Its methods don't lock.
type Table struct {
	Version uint64 // number of entries accepted
	Members map[api.NodeID]Member
	Holds   map[Shard]Hold
	order   []api.NodeID // of Members, sorted; replaced when it changes
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Members: make(map[api.NodeID]Member), Holds: make(map[Shard]Hold)}
}

// Clone returns a copy that shares nothing that changes.
func (t *Table) Clone() *Table {
	return &Table{Version: t.Version, Members: maps.Clone(t.Members), Holds: maps.Clone(t.Holds), order: t.order}
}

// Roster returns the members ordered by node.
func (t *Table) Roster() []Member {
	roster := make([]Member, len(t.order))
	for i, node := range t.order {
		roster[i] = t.Members[node]
	}
	return roster
}

// sortMembers renews the order of the members.
func (t *Table) sortMembers() {
	t.order = slices.Sorted(maps.Keys(t.Members))
}

// IsMember reports whether who, in this very incarnation, is in the roster.
func (t *Table) IsMember(who Identity) bool {
	m, ok := t.Members[who.Node]
	return ok && m.Process == who
}

// Acknowledged reports whether every member has acknowledged the membership
// of who, so that a holder among them would ask it for a grant.
func (t *Table) Acknowledged(who Identity) bool {
	return t.IsMember(who) && t.Members[who.Node].Joined <= t.ackedByAll()
}

// ackedByAll is the version that every member has acknowledged. A member
// acknowledges its own join by joining.
func (t *Table) ackedByAll() uint64 {
	acked := t.Version
	for _, m := range t.Members {
		acked = min(acked, m.Acked)
	}
	return acked
}

// Apply applies one entry. An error means that it was rejected and changed
// nothing.
func (t *Table) Apply(a Action) error {
	switch a := a.(type) {
	case Join:
		return t.join(a)
	case Acknowledge:
		return t.acknowledge(a)
	case Leave:
		return t.remove(a.Process)
	case Expel:
		return t.remove(a.Process)
	case Claim:
		return t.claim(a)
	case Release:
		return t.release(a)
	case Challenge:
		return t.challenge(a)
	default:
		return ErrMalformed
	}
}

// join adds a member, in place of an earlier incarnation.
func (t *Table) join(j Join) error {
	if j.Process.Node == "" || j.Process.Incarnation == 0 {
		return ErrMalformed
	}
	former, known := t.Members[j.Process.Node]
	if known && former.Process == j.Process {
		return ErrAlreadyMember
	}
	t.Version++
	if known {
		t.endHolds(former.Process)
	}
	members := uint32(len(t.Members))
	if !known {
		members++
	}
	t.Members[j.Process.Node] = Member{
		Process: j.Process, Address: j.Address,
		Joined: t.Version, Acked: t.Version, Members: members,
		LostAt: t.Version, // whatever it held before, under any incarnation
	}
	t.sortMembers()
	return nil
}

// acknowledge records how far a member has read.
func (t *Table) acknowledge(a Acknowledge) error {
	if !t.IsMember(a.Process) {
		return ErrNotMember
	}
	m := t.Members[a.Process.Node]
	if a.Version <= m.Acked || a.Version > t.Version {
		return ErrStaleVersion
	}
	t.Version++
	m.Acked = a.Version
	m.Members = max(m.Members, a.Members)
	t.Members[a.Process.Node] = m
	return nil
}

// challenge makes a member owe an acknowledgement.
func (t *Table) challenge(c Challenge) error {
	if !t.IsMember(c.From) || !t.IsMember(c.Process) {
		return ErrNotMember
	}
	m := t.Members[c.Process.Node]
	if m.Challenged > m.Acked {
		return ErrAlreadyChallenged
	}
	t.Version++
	m.Challenged = t.Version
	t.Members[c.Process.Node] = m
	return nil
}

// remove takes who out of the roster and ends its holds.
func (t *Table) remove(who Identity) error {
	if !t.IsMember(who) {
		return ErrNotMember
	}
	t.Version++
	delete(t.Members, who.Node)
	t.sortMembers()
	t.endHolds(who)
	return nil
}

// endHolds ends the holds of who without a release.
func (t *Table) endHolds(who Identity) {
	for s, h := range t.Holds {
		if h.HeldBy(who) {
			h.Status = StatusEnded
			t.Holds[s] = h
		}
	}
}

// claim takes every shard of c or none.
func (t *Table) claim(c Claim) error {
	if !t.IsMember(c.Process) {
		return ErrNotMember
	}
	for _, at := range c.Shards {
		if err := t.checkClaim(c.Process, at); err != nil {
			return err
		}
	}
	t.Version++
	for _, at := range c.Shards {
		t.take(c.Process, at.Shard)
	}
	return nil
}

// checkClaim says whether who may claim one shard.
func (t *Table) checkClaim(who Identity, at ShardAt) error {
	h := t.Holds[at.Shard]
	switch {
	case !at.Shard.Valid():
		return ErrMalformed
	case h.Epoch != at.Epoch:
		return ErrStaleEpoch
	case h.HeldBy(who):
		return ErrAlreadyHolder
	case !h.Released() && !t.Acknowledged(who):
		return ErrUnacknowledged
	case h.Status == StatusHeld && !t.owing(h.Process):
		return ErrHolderAlive
	default:
		return nil
	}
}

// owing reports whether who has left a challenge unanswered.
func (t *Table) owing(who Identity) bool {
	m := t.Members[who.Node]
	return m.Challenged > m.Acked
}

// take makes who the holder of s at the next epoch. Doubled shards within a
// claim are taken once.
func (t *Table) take(who Identity, s Shard) {
	h := t.Holds[s]
	if h.HeldBy(who) {
		return
	}
	next := Hold{Process: who, Epoch: h.Epoch + 1, Status: StatusHeld, MustWait: !h.Released()}
	next.Previous = t.leftBehind(h, who)
	t.Holds[s] = next
	if h.Status == StatusHeld {
		loser := t.Members[h.Process.Node]
		loser.LostAt = t.Version
		t.Members[h.Process.Node] = loser
	}
}

// leftBehind returns the earlier holders that may use slots after who has
// taken over h.
func (t *Table) leftBehind(h Hold, who Identity) []FormerHolder {
	former := h.without(who)
	if h.Status == StatusHeld {
		former = append(former, FormerHolder{Process: h.Process, Lost: true, Members: t.Members[h.Process.Node].Members})
	}
	return slices.DeleteFunc(former, func(f FormerHolder) bool { return !t.IsMember(f.Process) })
}

// release gives up every shard of r or none.
func (t *Table) release(r Release) error {
	for _, at := range r.Shards {
		if err := t.checkRelease(r.Process, at); err != nil {
			return err
		}
	}
	t.Version++
	for _, at := range r.Shards {
		t.giveUp(r.Process, at)
	}
	if m := t.Members[r.Process.Node]; r.Leaving && m.Process == r.Process {
		m.Leaving = true
		t.Members[r.Process.Node] = m
	}
	return nil
}

// checkRelease says whether who may give up one shard. A former holder can
// only end its use: its entry may be the second copy of the release, which
// must not pass for the end of what that release left in flight.
func (t *Table) checkRelease(who Identity, at ShardRelease) error {
	h := t.Holds[at.Shard]
	ends := h.isFormer(who) && at.InFlight == 0
	switch {
	case h.Epoch != at.Epoch:
		return ErrStaleEpoch
	case !h.HeldBy(who) && !ends:
		return ErrNotHolder
	default:
		return nil
	}
}

// giveUp ends the hold of who in a shard, or else what it had left there.
func (t *Table) giveUp(who Identity, at ShardRelease) {
	h := t.Holds[at.Shard]
	held := h.HeldBy(who)
	h.Previous = h.without(who)
	if held {
		h.Status = StatusReleased
	}
	if held && at.InFlight > 0 {
		h.Previous = append(h.Previous, FormerHolder{Process: who, InFlight: at.InFlight})
	}
	t.Holds[at.Shard] = h
}
