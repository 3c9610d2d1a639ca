// Package member exchanges heartbeats between the entry VMs of a data centre
// and discovers the entry addresses of the other data centres.
//
// The roster comes from the log (internal/ownership). A heartbeat says that its sender
// is alive, how many requests it can take and how far it has read the log, and carries
// grants while the log can't be reached. In each round a process exchanges heartbeats
// with a few peers and passes on how long ago it heard from the others, so that the
// cost of a round hardly grows with the roster.
package member

import (
	"hash/crc32"
	"strconv"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// ageUnit is the unit of Digest.Ages.
const ageUnit = 50 * time.Millisecond

// ageUnknown is the age of a member that was not heard from, or too long ago to encode.
const ageUnknown = 255

// MaxServices is the maximum number of services in Digest.Free.
const MaxServices = 16

// ServiceFree is the number of additional requests of a service that a process could
// dispatch at once.
type ServiceFree struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Free    int
}

// Flags of a digest.
const (
	flagDraining   uint8 = 1 << iota
	flagWantsGrant       // the sender asks for a grant
)

// Digest is the state that a process reports in each heartbeat.
type Digest struct {
	_       struct{}               `cbor:",toarray"`
	Ask     ownership.GrantRequest // the process's identity and the table version that it has applied
	Applied platform.Offset        // of the data centre's stream
	Roster  uint32                 // fingerprint of its roster
	Flags   uint8
	Free    []ServiceFree // at most MaxServices
	Ages    []byte        // time since each member of its roster was heard from, by node, in ageUnit
}

// Request is the argument of a heartbeat exchange.
type Request struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64
	Digest   Digest
}

// Reply is the result of a heartbeat exchange. Granted answers flagWantsGrant.
type Reply struct {
	_        struct{} `cbor:",toarray"`
	Exchange uint64   // copied from the request
	Granted  bool
	Digest   Digest
}

// fingerprint returns a checksum that identifies a roster ordered by node.
func fingerprint(roster []ownership.Member) uint32 {
	sum := crc32.NewIEEE()
	for _, m := range roster {
		sum.Write([]byte(m.Process.Node))
		sum.Write(strconv.AppendUint([]byte{0}, uint64(m.Process.Incarnation), 16))
	}
	return sum.Sum32()
}

// encodeAge encodes an age in ageUnit. It rounds up, so that a member never appears to
// have been heard from more recently than it was.
func encodeAge(age time.Duration) byte {
	units := (age + ageUnit - 1) / ageUnit
	if age < 0 || units >= ageUnknown {
		return ageUnknown
	}
	return byte(units)
}

// PeerLoad is a member that can take requests of a service.
type PeerLoad struct {
	Node    api.NodeID
	Address string        // IP:port of its peer service
	Free    int           // number of requests that it could dispatch, as last reported
	Age     time.Duration // time since that report
}
