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

// Times of a start while the log is unavailable.
const (
	bootstrapDelay       = 2 * time.Second // wait for the log before peers are asked
	bootstrapInterval    = time.Second     // interval between two rounds of queries
	bootstrapCallTimeout = 5 * time.Second // timeout of one query
	// bootstrapPeerTimeout is how long the import waits for peers that don't answer,
	// because their state may be newer than those of the other peers.
	bootstrapPeerTimeout = 30 * time.Second
)

// counterBootstrap is the counter group of the bootstrap.
const counterBootstrap = "bootstrap"

// StateQuery requests a peer's state of a stream.
type StateQuery struct {
	Stream string
	// After is the position of the requester, or zero. A peer whose position is
	// not higher answers without data.
	After uint64
}

// StateReply is a peer's state of a stream. It is empty if the peer doesn't follow
// the stream, has no complete state, or has no newer state than the requester.
type StateReply struct {
	State journal.State
}

// States serves the local state to peers that start while the log can't be read.
// Its methods are called by net/rpc.
type States struct {
	replicas map[string]*journal.Replica
}

// Names of the service and its method.
const (
	statesService = "States"
	methodState   = statesService + ".Get"
)

// Get returns the local state of a stream.
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

// bootstrap imports from peers the state of each stream that is not ready, until
// ctx ends.
func (n *Node) bootstrap(ctx context.Context) error {
	wait := bootstrapDelay
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		wait = bootstrapInterval
		for stream, replica := range n.replicas() {
			if !replica.Ready() {
				n.importPeerState(ctx, stream, replica, time.Since(started) < bootstrapPeerTimeout)
			}
		}
	}
}

// replicas returns the replicas of the streams that this node follows, by stream
// name.
func (n *Node) replicas() map[string]*journal.Replica {
	return map[string]*journal.Replica{
		ConfigStream:                            n.streams.config,
		DataCentreStream(n.settings.DataCentre): n.streams.cell,
	}
}

// importPeerState queries every known peer and imports the newest valid state. If
// all is set, it imports nothing unless every peer has answered.
func (n *Node) importPeerState(ctx context.Context, stream string, replica *journal.Replica, all bool) {
	var states []journal.State
	unanswered := 0
	for _, address := range n.bootstrapPeers() {
		var reply StateReply
		callCtx, cancel := context.WithTimeout(ctx, bootstrapCallTimeout)
		err := n.handoverClient.Call(callCtx, address, methodState, &StateQuery{Stream: stream}, &reply)
		cancel()
		if err != nil {
			n.counters.Inc(counterBootstrap, api.ReasonPeerUnreachable)
			unanswered++
			continue
		}
		if reply.State.Stream == stream {
			states = append(states, reply.State)
		}
	}
	if all && unanswered > 0 {
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

// bootstrapPeers returns the addresses of the peers known from the settings and
// from gossip.
func (n *Node) bootstrapPeers() []string {
	addresses := slices.Concat(n.settings.Peers, n.members.EntryAddresses(n.settings.DataCentre))
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == n.advertised() })
}
