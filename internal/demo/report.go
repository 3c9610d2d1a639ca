package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitServing waits until every entry node's part of the endpoints is in
// use: until all shards are held and confirmed.
func (c *cluster) awaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for !c.serving() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "not all shards are held")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (c *cluster) serving() bool {
	for _, n := range c.nodes {
		status := n.entry.Status()
		if len(status.Shards) == 0 {
			return false
		}
		for _, shard := range status.Shards {
			if !shard.Confirmed {
				return false
			}
		}
	}
	return true
}

// report prints each node's counters of refusals, retries and waits.
func (c *cluster) report(out io.Writer) {
	for _, n := range c.nodes {
		fmt.Fprintf(out, "counters node=%s %s\n", n.settings.NodeID, n.entry.Counters())
	}
}
