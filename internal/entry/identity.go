package entry

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// newIncarnation draws the incarnation of this run of the process.
func newIncarnation() api.Incarnation {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return api.Incarnation(n)
		}
	}
}

// identityOf returns the roster's form of an origin.
func identityOf(o journal.Origin) ownership.Identity {
	return ownership.Identity{Node: o.Node, Incarnation: o.Incarnation}
}
