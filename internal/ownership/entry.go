package ownership

import (
	"errors"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Entry types of this package. The values are part of the stored format.
const (
	TypeJoin        = journal.TypeOwnershipFirst + iota // Join
	TypeAcknowledge                                     // Acknowledge
	TypeLeave                                           // Leave
	TypeExpel                                           // Expel
	TypeClaim                                           // Claim
	TypeRelease                                         // Release
	TypeChallenge                                       // Challenge
)

// Rejections of an entry, the same on every reader.
var (
	ErrMalformed         = errors.New("ownership: malformed entry")
	ErrAlreadyMember     = errors.New("ownership: already a member")
	ErrNotMember         = errors.New("ownership: not a member")
	ErrStaleEpoch        = errors.New("ownership: based on a superseded epoch")
	ErrStaleVersion      = errors.New("ownership: acknowledges nothing new")
	ErrAlreadyHolder     = errors.New("ownership: holds the shard already")
	ErrNotHolder         = errors.New("ownership: neither holds nor held the shard")
	ErrHolderAlive       = errors.New("ownership: holder has no unanswered challenge")
	ErrAlreadyChallenged = errors.New("ownership: already challenged")
	ErrUnacknowledged    = errors.New("ownership: not acknowledged by every member")
)

// Identity is one run of an entry VM's process.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	Node        api.NodeID
	Incarnation api.Incarnation
}

// Join adds a member. It ends whatever an earlier incarnation of the same
// node held or had left to it; the joiner waits for those like any claimant.
type Join struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Address string // IP:port of its peer service
}

// Acknowledge says that a member has applied the table up to Version, and
// thereby knows every member that joined up to there. It answers a challenge.
type Acknowledge struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Version uint64
	Members uint32 // most members that it has seen; bounds its floor share
}

// Challenge asks a silent member to show by an Acknowledge that it still
// follows the log. Its shards can be claimed only while it owes one.
type Challenge struct {
	_       struct{} `cbor:",toarray"`
	From    Identity
	Process Identity // the member that is challenged
}

// Leave removes the sender, which has stopped using every shard.
type Leave struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
}

// Expel removes a member that the platform's VM list has dropped.
type Expel struct {
	_       struct{} `cbor:",toarray"`
	Process Identity // the member that is removed
}

// ShardAt is a shard together with the epoch that a change is based on.
type ShardAt struct {
	_     struct{} `cbor:",toarray"`
	Shard Shard
	Epoch api.Epoch
}

// Claim takes shards, each at the epoch after the one given. It is accepted
// whole or rejected whole.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Shards  []ShardAt
}

// ShardRelease is one shard that is given up.
type ShardRelease struct {
	_        struct{} `cbor:",toarray"`
	Shard    Shard
	Epoch    api.Epoch // in force
	InFlight uint16    // most requests that the sender still has at any one endpoint
}

// Release gives shards up. The sender is the holder, has waited out its own
// claim and starts nothing new; or it is a former holder that has nothing in
// flight any more and starts nothing new.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Shards  []ShardRelease
	Leaving bool // the sender is to leave the roster and wants no shards
}

// Action is what Plan decides: one of the entry bodies above, or Close.
type Action interface{ action() }

// Close stops the local use of shards, so that they can be released once
// nothing is in flight for them. It is not written to the log.
type Close struct{ Shards []ShardAt }

func (Join) action()        {}
func (Acknowledge) action() {}
func (Leave) action()       {}
func (Expel) action()       {}
func (Claim) action()       {}
func (Release) action()     {}
func (Challenge) action()   {}
func (Close) action()       {}

// entryOf returns the journal entry of a; ok is false for Close.
func entryOf(a Action) (e journal.Entry, ok bool) {
	switch a.(type) {
	case Join:
		e.Type = TypeJoin
	case Acknowledge:
		e.Type = TypeAcknowledge
	case Leave:
		e.Type = TypeLeave
	case Expel:
		e.Type = TypeExpel
	case Claim:
		e.Type = TypeClaim
	case Release:
		e.Type = TypeRelease
	case Challenge:
		e.Type = TypeChallenge
	default:
		return e, false
	}
	e.Body = journal.Encode(a)
	return e, true
}

// decodeEntry is the inverse of entryOf.
func decodeEntry(e journal.Entry) (Action, error) {
	switch e.Type {
	case TypeJoin:
		return decodeAs[Join](e.Body)
	case TypeAcknowledge:
		return decodeAs[Acknowledge](e.Body)
	case TypeLeave:
		return decodeAs[Leave](e.Body)
	case TypeExpel:
		return decodeAs[Expel](e.Body)
	case TypeClaim:
		return decodeAs[Claim](e.Body)
	case TypeRelease:
		return decodeAs[Release](e.Body)
	case TypeChallenge:
		return decodeAs[Challenge](e.Body)
	default:
		return nil, ErrMalformed
	}
}

// decodeAs decodes body as one kind of entry.
func decodeAs[T Action](body []byte) (Action, error) {
	var v T
	if err := journal.Decode(body, &v); err != nil {
		return nil, ErrMalformed
	}
	return v, nil
}

// actionName names the kind of a for counters and logs.
func actionName(a Action) string {
	switch a.(type) {
	case Join:
		return "join"
	case Acknowledge:
		return "acknowledge"
	case Leave:
		return "leave"
	case Expel:
		return "expel"
	case Claim:
		return "claim"
	case Release:
		return "release"
	case Challenge:
		return "challenge"
	default:
		return "close"
	}
}
