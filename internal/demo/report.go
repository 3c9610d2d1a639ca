package demo

import (
	"fmt"
	"io"

	"github.com/skylarklock/skylarklock/internal/cluster"
)

// report prints each node's counters of refusals, retries and waits.
func report(c *cluster.Cluster, out io.Writer) {
	for _, e := range c.Entries {
		fmt.Fprintf(out, "counters node=%s %s\n", e.Settings.NodeID, e.Node.Counters())
	}
}
