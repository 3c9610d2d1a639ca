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

// Errors of rejected entries. They are the same on every reader.
var (
	ErrMalformed         = errors.New("ownership: malformed entry")
	ErrAlreadyMember     = errors.New("ownership: already a member")
	ErrNotMember         = errors.New("ownership: not a member")
	ErrStaleEpoch        = errors.New("ownership: based on a superseded epoch")
	ErrStaleVersion      = errors.New("ownership: acknowledged version is not new")
	ErrAlreadyHolder     = errors.New("ownership: already holds the shard")
	ErrNotHolder         = errors.New("ownership: neither holds nor held the shard")
	ErrHolderAlive       = errors.New("ownership: holder has no unanswered challenge")
	ErrAlreadyChallenged = errors.New("ownership: already challenged")
	ErrUnacknowledged    = errors.New("ownership: not acknowledged by every member")
)

// Identity identifies one incarnation of an entry VM's process.
type Identity struct {
	_           struct{} `cbor:",toarray"`
	Node        api.NodeID
	Incarnation api.Incarnation
}

// Join adds a member. It ends the holds and the former holds of an earlier
// incarnation of the same node. The new incarnation waits like any other
// claimant before it uses these shards.
type Join struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Address string // IP:port of its peer service
}

// Acknowledge states that a member has applied the table up to Version and
// therefore knows every member that had joined by then. It answers a challenge.
type Acknowledge struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Version uint64
	Members uint32 // maximum number of members that it has seen; limits its floor share
}

// Challenge asks a suspected member to show, with an Acknowledge, that it still
// follows the log. Its shards can be claimed only while the challenge is
// unanswered.
type Challenge struct {
	_       struct{} `cbor:",toarray"`
	From    Identity
	Process Identity // the challenged member
}

// Leave removes its sender, which no longer uses any shard.
type Leave struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
}

// Expel removes a member that is no longer in the platform's VM list.
type Expel struct {
	_       struct{} `cbor:",toarray"`
	Process Identity // the removed member
}

// ShardAt is a shard and the epoch that a change is based on.
type ShardAt struct {
	_     struct{} `cbor:",toarray"`
	Shard Shard
	Epoch api.Epoch
}

// Claim takes shards. The new epoch of each is the one after the given epoch. A
// claim is accepted or rejected as a whole.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Shards  []ShardAt
}

// ShardRelease is one shard to release.
type ShardRelease struct {
	_        struct{} `cbor:",toarray"`
	Shard    Shard
	Epoch    api.Epoch // the current epoch
	InFlight uint16    // maximum number of requests that the sender still has in flight at any one endpoint
}

// Release releases shards. For each shard the sender starts nothing new, and is
// either the holder, after the wait of its own takeover, or a former holder that
// no longer has anything in flight.
type Release struct {
	_       struct{} `cbor:",toarray"`
	Process Identity
	Shards  []ShardRelease
	Leaving bool // the sender is about to leave the roster and wants no shards
}

// Action is a decision of Plan: one of the entry bodies above, or Close.
type Action interface{ action() }

// Close stops the local use of shards, so that they can be released. It is not
// written to the log.
type Close struct{ Shards []ShardAt }

func (Join) action()        {}
func (Acknowledge) action() {}
func (Leave) action()       {}
func (Expel) action()       {}
func (Claim) action()       {}
func (Release) action()     {}
func (Challenge) action()   {}
func (Close) action()       {}

// entryOf returns the journal entry for a. ok is false for Close.
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

// decodeAs decodes body as an entry of type T.
func decodeAs[T Action](body []byte) (Action, error) {
	var v T
	if err := journal.Decode(body, &v); err != nil {
		return nil, ErrMalformed
	}
	return v, nil
}

// actionName returns the name of a's type for counters and logs.
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
