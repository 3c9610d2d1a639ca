package entry

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// newIncarnation returns a random incarnation other than zero.
func newIncarnation() api.Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return api.Incarnation(n)
		}
	}
}

// identityOf returns the identity in the roster of an origin.
func identityOf(o journal.Origin) ownership.Identity {
	return ownership.Identity{Node: o.Node, Incarnation: o.Incarnation}
}
