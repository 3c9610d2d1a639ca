package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/site"
	"github.com/skylarklock/skylarklock/internal/standin/worker"
)

// Sizes of the demo: those of the users' current cells.
const (
	entriesPerDC   = 2
	vmsPerDC       = 13
	executorsPerDC = 13 // about 50 over four data centres
	vmsPerRack     = 6
)

// siteConfig describes the two users' services on VMs with 32 cores and 64 GB.
func siteConfig(seed uint64) site.Config {
	service := func(name string, mean time.Duration) site.Service {
		return site.Service{
			Name: name, ExecutorsPerDataCentre: executorsPerDC, Slots: 8, Connections: 60,
			ServiceTime: mean, Spread: 0.5,
		}
	}
	return site.Config{
		DataCentres:      []api.DataCentre{"dc-a", "dc-b", "dc-c", "dc-d"},
		VMsPerDataCentre: vmsPerDC,
		VMsPerRack:       vmsPerRack,
		Capacity:         api.Resources{MilliCPU: 32_000, MemoryMB: 64 << 10},
		Services:         []site.Service{service("torquebench", 60*time.Millisecond), service("auction", 90*time.Millisecond)},
		UsageLag:         500 * time.Millisecond,
		Seed:             seed,
	}
}

// trafficStreams describes the traffic of both users.
func trafficStreams() []load.Stream {
	return []load.Stream{
		{
			Caller: "workshop", Class: "interactive", Service: "torquebench", Path: "/sweep",
			Rate: 120, Idempotent: true, BodyBytes: 200, Timeout: 5 * time.Second, RepeatShare: 0.05,
		},
		{
			Caller: "warranty", Class: "interactive", Service: "torquebench", Path: "/billed-check",
			Rate: 40, BodyBytes: 200, Timeout: 5 * time.Second, RepeatShare: 0.1,
		},
		{
			Caller: "sales", Class: "batch", Service: "auction", Path: "/deposit-check",
			Rate: 40, BodyBytes: 400, Timeout: 8 * time.Second, RepeatShare: 0.1,
		},
	}
}

// fault is a fault that is injected during the demo.
type fault struct {
	startsAfter time.Duration
	description string
	inject      func(context.Context, *cluster.Cluster)
}

// faultSchedule returns one fault of each kind, ordered by time.
func faultSchedule(out io.Writer) []fault {
	return []fault{
		{1 * time.Second, "three appends take effect and their answers are lost", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Log.SetFaults(logserver.Faults{LoseAnswers: 3})
		}},
		{2 * time.Second, "one executor fails everything", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Executors["dc-a-torquebench-000"].SetFaults(executor.Faults{FailAll: true})
		}},
		{3 * time.Second, "one executor leaves", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Executors["dc-b-torquebench-001"].SetFaults(executor.Faults{Leaving: true})
		}},
		{3500 * time.Millisecond, "one executor breaks answers off halfway", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Executors["dc-c-torquebench-002"].SetFaults(executor.Faults{BreakHalfway: true})
		}},
		{4 * time.Second, "one worker VM restarts, another fails everything", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Workers.VM("dc-a-vm001").Restart()
			c.Site.Workers.VM("dc-b-vm002").SetFaults(worker.Faults{FailAllStarts: true})
		}},
		{5 * time.Second, "the log is down for two seconds", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Log.SetFaults(logserver.Faults{Down: true})
		}},
		{7 * time.Second, "the log is back", func(_ context.Context, c *cluster.Cluster) {
			c.Site.Log.SetFaults(logserver.Faults{})
		}},
		{8 * time.Second, "two operators race to publish one record", func(ctx context.Context, c *cluster.Cluster) {
			raceOperators(ctx, c, out)
		}},
		{8500 * time.Millisecond, "one entry VM dies", func(_ context.Context, c *cluster.Cluster) {
			c.Entries[3].Node.Abort()
		}},
		{9 * time.Second, "one entry VM is stopped gracefully", func(_ context.Context, c *cluster.Cluster) {
			c.Entries[len(c.Entries)-1].Stop()
		}},
	}
}

// injectFaults prints and injects each fault at its time, until ctx ends.
func injectFaults(ctx context.Context, c *cluster.Cluster, out io.Writer) {
	start := time.Now()
	for _, f := range faultSchedule(out) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.startsAfter))):
		}
		fmt.Fprintf(out, "fault at=%s what=%q\n", f.startsAfter, f.description)
		f.inject(ctx, c)
	}
}
