// Package ownership settles, through a data centre's stream of the log, which
// entry VM holds which shard, and tells each entry VM what it may do when it
// cannot know whether it has been superseded.
//
// The rules are those of docs/design/core-protocol.md, "Hold". Decisions are
// pure functions over a Table (what the log says) and Evidence (what this
// process has seen and when); Controller is the thin loop around them. Times
// are readings of the process's own monotonic clock and never leave it.
package ownership

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/skylarklock/skylarklock/api"
)

// Shard numbers one shard of a data centre: the shards of endpoints from
// zero, and Cell.
type Shard uint16

const (
	// EndpointShards is how many shards the endpoints of one data centre
	// hash into. It is part of the protocol: all entry VMs use the same.
	EndpointShards = 64
	// Cell is the placement shard of a data centre.
	Cell Shard = 1 << 15
)

// String names the shard for logs.
func (s Shard) String() string {
	if s == Cell {
		return "cell"
	}
	return fmt.Sprintf("endpoints-%d", uint16(s))
}

// Valid reports whether s exists.
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

// PreferredNode returns which of nodes should hold s, by rendezvous hashing: adding
// or removing a node moves only that node's share. It returns "" when there
// are no nodes.
func PreferredNode(s Shard, nodes []api.NodeID) api.NodeID {
	var key [2]byte
	binary.BigEndian.PutUint16(key[:], uint16(s))
	return chosen(key[:], nodes)
}

// chosen returns the node with the highest score for key; "" without nodes.
func chosen(key []byte, nodes []api.NodeID) api.NodeID {
	var best api.NodeID
	var bestScore uint64
	for _, node := range nodes {
		score := rendezvous(key, node)
		if best == "" || score > bestScore || (score == bestScore && node < best) {
			best, bestScore = node, score
		}
	}
	return best
}

// rendezvous scores node for key.
func rendezvous(key []byte, node api.NodeID) uint64 {
	var buf [64]byte
	data := append(buf[:0], key...)
	return xxhash.Sum64(append(data, node...))
}
