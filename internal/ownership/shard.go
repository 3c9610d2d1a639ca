// Package ownership decides, through a data centre's stream of the log, which
// entry VM holds which shard. It also decides what an entry VM may do while it
// cannot know whether it has been superseded.
//
// The rules are described in docs/design/core-protocol.md, section "Hold".
// Decisions are pure functions of a Table, which is the state of the log, and
// Evidence, which is what this process has observed and when. Controller runs
// them in a loop. Times are read from the process's own monotonic clock and are
// never sent to other processes.
package ownership

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
)

// Shard is the number of a shard of a data centre: an endpoint shard, counted
// from zero, or Cell.
type Shard uint16

const (
	// EndpointShards is the number of shards that the endpoints of one data
	// centre hash to. It is part of the protocol and must be the same on all
	// entry VMs.
	EndpointShards = 64
	// Cell is the placement shard of a data centre.
	Cell Shard = 1 << 15
)

// String returns the name of the shard for logs.
func (s Shard) String() string {
	if s == Cell {
		return "cell"
	}
	return fmt.Sprintf("endpoints-%d", uint16(s))
}

// Valid reports whether s is the number of an existing shard.
func (s Shard) Valid() bool { return s == Cell || s < EndpointShards }

// ShardOf returns the shard of an endpoint.
func ShardOf(id api.EndpointID) Shard {
	return Shard(xxhash.Sum64String(string(id)) % EndpointShards)
}

// Shards returns every shard of a data centre in order.
func Shards() []Shard {
	all := make([]Shard, 0, EndpointShards+1)
	for s := Shard(0); s < EndpointShards; s++ {
		all = append(all, s)
	}
	return append(all, Cell)
}

// PreferredNode returns the node that should hold s. It uses rendezvous hashing,
// so that adding or removing a node moves only that node's share. It returns ""
// if there are no nodes.
func PreferredNode(s Shard, nodes []api.NodeID) api.NodeID {
	var key [2]byte
	binary.BigEndian.PutUint16(key[:], uint16(s))
	return highestScored(key[:], nodes)
}

// highestScored returns the node with the highest score for key, or "" if there
// are no nodes.
func highestScored(key []byte, nodes []api.NodeID) api.NodeID {
	var best api.NodeID
	var bestScore uint64
	for _, node := range nodes {
		score := rendezvousScore(key, node)
		if best == "" || score > bestScore || (score == bestScore && node < best) {
			best, bestScore = node, score
		}
	}
	return best
}

// rendezvousScore returns the score of node for key.
func rendezvousScore(key []byte, node api.NodeID) uint64 {
	var buf [64]byte
	data := append(buf[:0], key...)
	return xxhash.Sum64(append(data, node...))
}
