package entry

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// Times of a start without the log.
const (
	bootstrapAfter = 2 * time.Second // the log gets so long to be read first
	bootstrapEvery = time.Second     // between two rounds of asking peers
	bootstrapCall  = 5 * time.Second // of one call
	// bootstrapPatience is how long a silent peer is waited for, whose state
	// may lie further on than those of the peers that answer.
	bootstrapPatience = 30 * time.Second
)

// counterBootstrap is the group of this file's counters.
const counterBootstrap = "bootstrap"

// StateQuery asks a peer for its state of a stream.
type StateQuery struct {
	Stream string
	// After is the position that the asker has; a peer that is no further
	// answers without data.
	After uint64
}

// StateReply is a peer's state of a stream. It is empty when the peer doesn't
// follow the stream, has no complete state, or is no further than the asker.
type StateReply struct {
	State journal.State
}

// States answers peers that start while the log can't be read. Its methods
// are called by net/rpc.
type States struct {
	replicas map[string]*journal.Replica
}

// Names of the service and its method.
const (
	statesService = "States"
	methodState   = statesService + ".Get"
)

// Get returns the state of a stream.
func (s *States) Get(query *StateQuery, reply *StateReply) error {
	replica, ok := s.replicas[query.Stream]
	if !ok || uint64(replica.Applied()) <= query.After && query.After > 0 {
		return nil
	}
	state, err := replica.Export()
	if errors.Is(err, journal.ErrIncompleteState) {
		return nil
	}
	if err != nil {
		return err
	}
	reply.State = state
	return nil
}

// bootstrap takes the state of streams that the log doesn't give from peers,
// the highest position first, until this node is ready.
func (n *Node) bootstrap(ctx context.Context) error {
	wait := bootstrapAfter
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = bootstrapEvery
		for stream, replica := range n.replicas() {
			if !replica.Ready() {
				n.takeState(ctx, stream, replica, time.Since(started) < bootstrapPatience)
			}
		}
	}
}

// replicas returns the streams that this node follows, by name.
func (n *Node) replicas() map[string]*journal.Replica {
	return map[string]*journal.Replica{
		ConfigStream:                            n.streams.config,
		DataCentreStream(n.settings.DataCentre): n.streams.cell,
	}
}

// takeState asks every known peer and imports the furthest state that is
// sound. With all set it takes none unless every peer answered.
func (n *Node) takeState(ctx context.Context, stream string, replica *journal.Replica, all bool) {
	var states []journal.State
	silent := 0
	for _, address := range n.bootstrapPeers() {
		var reply StateReply
		callCtx, cancel := context.WithTimeout(ctx, bootstrapCall)
		err := n.handovers.Call(callCtx, address, methodState, &StateQuery{Stream: stream}, &reply)
		cancel()
		if err != nil {
			n.counters.Inc(counterBootstrap, api.ReasonPeerUnreachable)
			silent++
			continue
		}
		if reply.State.Stream == stream {
			states = append(states, reply.State)
		}
	}
	if all && silent > 0 {
		return
	}
	slices.SortFunc(states, func(a, b journal.State) int { return cmp.Compare(b.Position, a.Position) })
	for _, state := range states {
		err := replica.Import(state)
		n.log.WithError(err).WithFields(logrus.Fields{
			"event": "state_imported", "stream": stream, "position": state.Position,
		}).Info("state taken from a peer")
		if err == nil {
			return
		}
		n.counters.Inc(counterBootstrap, "state_not_taken")
	}
}

// bootstrapPeers returns the peers known from the settings and by gossip.
func (n *Node) bootstrapPeers() []string {
	addresses := slices.Concat(n.settings.Peers, n.members.EntryAddresses(n.settings.DataCentre))
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == n.advertised() })
}
