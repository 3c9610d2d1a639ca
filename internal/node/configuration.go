package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/queue"
)

// errNoPeerKnown says that no other machine's address is known.
var errNoPeerKnown = errors.New("node: no other machine is known")

// askForConfiguration asks the leader, or any other known machine if this one leads, what it knows
// of the configuration.
func (n *Node) askForConfiguration(ctx context.Context, newerThan uint64) (queue.Reading, error) {
	address := n.elector.Current().Address
	if address == "" || address == n.settings.PeerAddress {
		others := n.peers.Others(time.Now())
		if len(others) == 0 {
			return queue.Reading{}, errNoPeerKnown
		}
		address = others[rand.IntN(len(others))].Address
	}
	return assist.AskConfiguration(ctx, n.caller, address, newerThan)
}

// keysOutdated reports whether this machine has had no news of the configuration for longer than
// it may take a key for valid.
func (n *Node) keysOutdated() bool {
	return n.settings.MaxKeyAge > 0 && n.configWatcher.Age() > n.settings.MaxKeyAge
}
