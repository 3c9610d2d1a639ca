package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/worker"
)

// faultRounds is the number of rounds, each with two faults at a time.
const faultRounds = 3

// fault causes one fault with random parameters and returns the function that ends
// it.
type fault func(c *cluster, r *rand.Rand) (end func())

var faults = []fault{
	func(c *cluster, r *rand.Rand) func() {
		p := c.liveProcesses()[r.IntN(len(c.liveProcesses()))]
		c.kill(p)
		return func() { c.replace(p) }
	},
	func(c *cluster, r *rand.Rand) func() {
		c.net.setFrozen(c.liveProcesses()[r.IntN(len(c.liveProcesses()))].settings.NodeID, true)
		return c.net.heal
	},
	func(c *cluster, r *rand.Rand) func() {
		names := []api.NodeID{logNode, workersNode, executorsNode}
		for _, p := range c.nodes {
			names = append(names, p.settings.NodeID)
		}
		for range 4 {
			c.net.setCut(true, [2]api.NodeID{names[r.IntN(len(names))], names[r.IntN(len(names))]})
		}
		return c.net.heal
	},
	func(c *cluster, r *rand.Rand) func() {
		c.site.Log.SetFaults([]logserver.Faults{
			{Down: true}, {Abort: true}, {Delay: 200 * time.Millisecond}, {LoseAnswers: 20}, {DropAppends: 10}, {LateAppends: 20, LateBy: time.Second},
		}[r.IntN(6)])
		return func() { c.site.Log.SetFaults(logserver.Faults{}) }
	},
	func(c *cluster, r *rand.Rand) func() {
		vm := c.site.Workers.VM(c.site.VMs[r.IntN(len(c.site.VMs))].ID)
		vm.SetFaults(worker.Faults{Frozen: r.IntN(2) == 0, LoseAnswers: 20, FailAllStarts: r.IntN(4) == 0})
		return func() { vm.SetFaults(worker.Faults{}); vm.Restart() }
	},
	func(c *cluster, r *rand.Rand) func() {
		c.setExecutorFaults(c.site.VMs[r.IntN(3):][:3], executor.Faults{FailRate: 0.3, BreakHalfway: r.IntN(2) == 0, CloseAfterRead: r.IntN(2) == 0, Hang: r.IntN(4) == 0})
		return func() { c.setExecutorFaults(c.site.VMs, executor.Faults{}) }
	},
	func(c *cluster, r *rand.Rand) func() {
		p := c.liveProcesses()[r.IntN(len(c.liveProcesses()))]
		p.stop()
		return func() { c.shutDown(p); c.replace(p) }
	},
	func(c *cluster, r *rand.Rand) func() {
		c.site.VMList.SetDown(true)
		return func() { c.site.VMList.SetDown(false) }
	},
}

// TestCombinedFaults causes random faults, two at a time, while requests and jobs
// run.
func TestCombinedFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := startCluster(t)
			r := rand.New(rand.NewPCG(seed, 0))
			var jobs []*jobSet
			c.traffic(c.nodes, func() {
				for round := range faultRounds {
					jobs = append(jobs, c.submit("bne", fmt.Sprintf("round%d", round), 3, 3*runTime), c.submit("cas", fmt.Sprintf("round%d", round), 1, runTime))
					var ends []func()
					for _, i := range r.Perm(len(faults))[:2] {
						t.Logf("round %d: fault %d", round, i)
						ends = append(ends, faults[i](c, r))
					}
					start := time.Now()
					c.await("the faults to last long enough", func() bool { return time.Since(start) > minFaultDuration })
					for _, end := range ends {
						end()
					}
				}
				c.waitAnswered(50)
			})
			c.awaitServing(c.liveProcesses()...)
			for _, w := range jobs {
				w.waitAndRecord()
			}
			c.stopAndCheck()
		})
	}
}
