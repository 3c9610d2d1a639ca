package demo

import (
	"fmt"
	"io"

	"github.com/skylarklock/skylarklock/internal/cluster"
)

// printCounters prints the counters of each entry VM: refusals, retries and waits.
func printCounters(c *cluster.Cluster, out io.Writer) {
	for _, e := range c.Entries {
		fmt.Fprintf(out, "counters node=%s %s\n", e.Settings.NodeID, e.Node.Counters())
	}
}
