// Package member exchanges heartbeats between the entry VMs of a data centre
// and learns the entry addresses of the others.
//
// The roster is the log's (internal/ownership). A heartbeat says who is
// alive, what it can take and how far it has read, and carries grants while
// the log can't be reached. Each process talks to a few peers in each round
// and passes on how long ago it heard of the rest, so that the cost of a
// round hardly grows with the roster.
package member

import (
	"hash/crc32"
	"strconv"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// ageUnit is the unit of the ages in a digest.
const ageUnit = 50 * time.Millisecond

// ageUnknown is the age of a member not heard of, or not for long.
const ageUnknown = 255

// MaxServices is the most services that a digest tells free slots of.
const MaxServices = 16

// ServiceFree is how many more requests of a service a process could send
// out at once.
type ServiceFree struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Free    int
}

// Flags of a digest.
const (
	flagDraining uint8 = 1 << iota
	flagAsks           // the sender asks for a grant
)

// Digest is what a process says of itself in each heartbeat.
type Digest struct {
	_       struct{}        `cbor:",toarray"`
	Ask     ownership.Ask   // who it is and the table version it has applied
	Applied platform.Offset // in the data centre's stream
	Roster  uint32          // fingerprint of its roster
	Flags   uint8
	Free    []ServiceFree // at most MaxServices
	Ages    []byte        // of its roster's members by node, in ageUnit
}

// Request is the argument of a heartbeat exchange.
type Request struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64
	Digest   Digest
}

// Reply is the answer of a heartbeat exchange. Granted answers flagAsks.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64   // of the request
	Granted  bool
	Digest   Digest
}

// fingerprint identifies a roster, given in the order of its nodes.
func fingerprint(roster []ownership.Member) uint32 {
	sum := crc32.NewIEEE()
	for _, m := range roster {
		sum.Write([]byte(m.Who.Node))
		sum.Write(strconv.AppendUint([]byte{0}, uint64(m.Who.Incarnation), 16))
	}
	return sum.Sum32()
}

// encodeAge rounds an age up, so that passing it on never makes a member
// look heard of later than it was.
func encodeAge(age time.Duration) byte {
	units := (age + ageUnit - 1) / ageUnit
	if age < 0 || units >= ageUnknown {
		return ageUnknown
	}
	return byte(units)
}

// PeerLoad is a member that may take requests of a service.
type PeerLoad struct {
	Node    api.NodeID
	Address string        // IP:port of its peer service
	Free    int           // requests it could send out, when it last said so
	Age     time.Duration // since it said so
}
