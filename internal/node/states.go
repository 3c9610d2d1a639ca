package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/leader"
)

// Times after the start of a process at which it reads the jobs from the store if no leader is there that
// could send it their states. They are spread, since all machines may start at once: the first that has
// read leads, and the others ask it.
const (
	storeReadSpread = 300 * time.Millisecond
	// underpoweredReadSpread follows storeReadSpread for machines that should leave leadership to others.
	underpoweredReadSpread = time.Second
	// fetchStatesTimeout bounds one attempt to get the states of all jobs from another machine.
	fetchStatesTimeout = 2 * time.Second
)

// storeReadDelay returns after which time without a leader a machine reads the jobs from the store.
func storeReadDelay(processors float64) time.Duration {
	if processors > 0 && leader.AssessSuitability(processors, 0) != leader.Suitable {
		return storeReadSpread + rand.N(underpoweredReadSpread)
	}
	return rand.N(storeReadSpread)
}

// fetchStates gets the states of all jobs from the leader, or from a machine that the leader names. It
// implements replica.Reader.FetchStates.
func (n *Node) fetchStates(ctx context.Context) (fetched, pending bool) {
	current := n.elector.Current()
	if current.Epoch == 0 || current.Address == n.settings.PeerAddress {
		return false, false
	}
	if _, released := n.elector.SinceContact(time.Now()); released {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchStatesTimeout)
	defer cancel()
	states := n.replica.NewStateImport()
	self := assist.Attachment{Node: n.settings.Node, DataCentre: n.settings.DataCentre}
	outcome := assist.FetchStates(ctx, n.bulkCaller, current.Address, self, states.Add)
	if outcome != assist.StatesFetched {
		return false, outcome == assist.StatesPending
	}
	if !states.Complete(time.Now()) {
		return false, false // the store has been read meanwhile
	}
	n.attachSoon.Store(true) // other machines may get the states here now
	n.log.WithField("leader", current.Node).Info("states of all jobs received from another machine")
	return true, false
}
