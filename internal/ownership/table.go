package ownership

import (
	"maps"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// HoldStatus is the status of a shard.
type HoldStatus uint8

// Statuses of a shard.
const (
	StatusFree     HoldStatus = iota // never held
	StatusHeld                       // held by Process
	StatusReleased                   // released by Process, which had stopped using it
	StatusEnded                      // Process left, was expelled or restarted without releasing it
)

// Hold is the state of one shard according to the log.
type Hold struct {
	_       struct{} `cbor:",toarray"`
	Process Identity // the latest holder
	Epoch   api.Epoch
	Status  HoldStatus
	// MustWait is set if the holder took the shard over without a release and
	// therefore must wait before its first use.
	MustWait bool
	// Previous holds the former holders that may still use slots: those that
	// lost the shard, and those that released it with requests in flight.
	// Those that are no longer in the roster are ignored.
	Previous []FormerHolder
}

// FormerHolder is a former holder of a shard.
type FormerHolder struct {
	_        struct{} `cbor:",toarray"`
	Process  Identity
	Lost     bool   // it did not release the shard and may use its floor share
	Members  uint32 // number of members by which the slots are divided for that share, as of the loss
	InFlight uint16 // otherwise: number of slots of each endpoint that it may use
}

// isFormerHolder reports whether process is a former holder that may still use
// slots.
func (h Hold) isFormerHolder(process Identity) bool {
	return slices.ContainsFunc(h.Previous, func(f FormerHolder) bool { return f.Process == process })
}

// previousExcept returns the former holders without process.
func (h Hold) previousExcept(process Identity) []FormerHolder {
	return slices.DeleteFunc(slices.Clone(h.Previous), func(f FormerHolder) bool { return f.Process == process })
}

// Released reports whether the shard may be claimed without a wait.
func (h Hold) Released() bool {
	return h.Status == StatusFree || h.Status == StatusReleased
}

// HeldBy reports whether process holds the shard.
func (h Hold) HeldBy(process Identity) bool {
	return h.Status == StatusHeld && h.Process == process
}

// Member is one entry VM in the roster.
type Member struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Address string // IP:port of its peer service
	Joined  uint64 // table version of its join
	Acked   uint64 // latest table version that it has acknowledged
	Members uint32 // maximum number of members that it is known to have seen; its floor share is the slots divided by it
	LostAt  uint64 // table version at which a shard was last taken from it
	// Challenged is the table version at which it was last challenged. The
	// challenge is unanswered while this is higher than Acked.
	Challenged uint64
	Leaving    bool // it has started to leave
}

// Table is the state that results from the entries of one data centre's stream:
// the roster and the shards. It is not safe for concurrent use.
type Table struct {
	Version     uint64 // number of accepted entries
	Members     map[api.NodeID]Member
	Holds       map[Shard]Hold
	sortedNodes []api.NodeID // keys of Members, sorted; replaced, never modified
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{Members: make(map[api.NodeID]Member), Holds: make(map[Shard]Hold)}
}

// Clone returns a copy that shares no mutable state with t.
func (t *Table) Clone() *Table {
	return &Table{Version: t.Version, Members: maps.Clone(t.Members), Holds: maps.Clone(t.Holds), sortedNodes: t.sortedNodes}
}

// Roster returns the members sorted by node.
func (t *Table) Roster() []Member {
	roster := make([]Member, len(t.sortedNodes))
	for i, node := range t.sortedNodes {
		roster[i] = t.Members[node]
	}
	return roster
}

// sortMembers updates sortedNodes.
func (t *Table) sortMembers() {
	t.sortedNodes = slices.Sorted(maps.Keys(t.Members))
}

// IsMember reports whether process, with the same incarnation, is in the roster.
func (t *Table) IsMember(process Identity) bool {
	m, ok := t.Members[process.Node]
	return ok && m.Process == process
}

// Acknowledged reports whether every member has acknowledged the membership of
// process, so that any holder would ask it for a grant.
func (t *Table) Acknowledged(process Identity) bool {
	return t.IsMember(process) && t.Members[process.Node].Joined <= t.ackedByAll()
}

// ackedByAll returns the version that every member has acknowledged. A member
// acknowledges its own join by joining.
func (t *Table) ackedByAll() uint64 {
	acked := t.Version
	for _, m := range t.Members {
		acked = min(acked, m.Acked)
	}
	return acked
}

// Apply applies one entry. An error means that the entry was rejected and changed
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

// join adds a member and replaces an earlier incarnation of its node.
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
		LostAt: t.Version, // the loss of whatever an earlier incarnation held
	}
	t.sortMembers()
	return nil
}

// acknowledge records the version that a member has applied.
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

// challenge records a challenge, which the member must answer with an
// acknowledgement.
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

// remove removes process from the roster and ends its holds.
func (t *Table) remove(process Identity) error {
	if !t.IsMember(process) {
		return ErrNotMember
	}
	t.Version++
	delete(t.Members, process.Node)
	t.sortMembers()
	t.endHolds(process)
	return nil
}

// endHolds ends the holds of process without a release.
func (t *Table) endHolds(process Identity) {
	for s, h := range t.Holds {
		if h.HeldBy(process) {
			h.Status = StatusEnded
			t.Holds[s] = h
		}
	}
}

// claim gives the claimant every shard of c or none.
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
		t.assign(c.Process, at.Shard)
	}
	return nil
}

// checkClaim returns an error unless process may claim the shard.
func (t *Table) checkClaim(process Identity, at ShardAt) error {
	h := t.Holds[at.Shard]
	switch {
	case !at.Shard.Valid():
		return ErrMalformed
	case h.Epoch != at.Epoch:
		return ErrStaleEpoch
	case h.HeldBy(process):
		return ErrAlreadyHolder
	case !h.Released() && !t.Acknowledged(process):
		return ErrUnacknowledged
	case h.Status == StatusHeld && !t.hasOpenChallenge(h.Process):
		return ErrHolderAlive
	default:
		return nil
	}
}

// hasOpenChallenge reports whether process has an unanswered challenge.
func (t *Table) hasOpenChallenge(process Identity) bool {
	m := t.Members[process.Node]
	return m.Challenged > m.Acked
}

// assign makes process the holder of s at the next epoch. A shard that is listed
// twice in a claim is assigned once.
func (t *Table) assign(process Identity, s Shard) {
	h := t.Holds[s]
	if h.HeldBy(process) {
		return
	}
	next := Hold{Process: process, Epoch: h.Epoch + 1, Status: StatusHeld, MustWait: !h.Released()}
	next.Previous = t.formerHoldersAfter(h, process)
	t.Holds[s] = next
	if h.Status == StatusHeld {
		loser := t.Members[h.Process.Node]
		loser.LostAt = t.Version
		t.Members[h.Process.Node] = loser
	}
}

// formerHoldersAfter returns the former holders that may use slots after process
// has taken over the shard of h.
func (t *Table) formerHoldersAfter(h Hold, process Identity) []FormerHolder {
	former := h.previousExcept(process)
	if h.Status == StatusHeld {
		former = append(former, FormerHolder{Process: h.Process, Lost: true, Members: t.Members[h.Process.Node].Members})
	}
	return slices.DeleteFunc(former, func(f FormerHolder) bool { return !t.IsMember(f.Process) })
}

// release releases every shard of r or none.
func (t *Table) release(r Release) error {
	for _, at := range r.Shards {
		if err := t.checkRelease(r.Process, at); err != nil {
			return err
		}
	}
	t.Version++
	for _, at := range r.Shards {
		t.releaseShard(r.Process, at)
	}
	if m := t.Members[r.Process.Node]; r.Leaving && m.Process == r.Process {
		m.Leaving = true
		t.Members[r.Process.Node] = m
	}
	return nil
}

// checkRelease returns an error unless process may release the shard. A former
// holder may only report that nothing is in flight any more: an entry with
// requests in flight may be a duplicate of its original release, which does not
// mean that these requests have ended.
func (t *Table) checkRelease(process Identity, at ShardRelease) error {
	h := t.Holds[at.Shard]
	ends := h.isFormerHolder(process) && at.InFlight == 0
	switch {
	case h.Epoch != at.Epoch:
		return ErrStaleEpoch
	case !h.HeldBy(process) && !ends:
		return ErrNotHolder
	default:
		return nil
	}
}

// releaseShard ends the hold of process on a shard, or its former hold.
func (t *Table) releaseShard(process Identity, at ShardRelease) {
	h := t.Holds[at.Shard]
	held := h.HeldBy(process)
	h.Previous = h.previousExcept(process)
	if held {
		h.Status = StatusReleased
	}
	if held && at.InFlight > 0 {
		h.Previous = append(h.Previous, FormerHolder{Process: process, InFlight: at.InFlight})
	}
	t.Holds[at.Shard] = h
}
