package experiment

import (
	"context"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/router"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

const (
	// singleService is a service with one executor in each data centre. All entry
	// VMs except the holder of that executor hand its requests over.
	singleService = "torquebench-single"
	singleSlots   = 64
	// latencyRate is in requests per second. It is low so that no request waits for
	// a slot.
	latencyRate = 200
	// shortServiceTime is the service time of experiments that measure added latency.
	shortServiceTime = 5 * time.Millisecond
)

// measureLatency compares the latency of direct calls to an executor with that of
// the paths through the entry VMs.
func measureLatency(ctx context.Context, cfg Config, r *resultTable) error {
	cfg.ServiceTime = shortServiceTime
	r.note("service_time=%s", shortServiceTime)
	one := site.Service{Name: singleService, ExecutorsPerDataCentre: 1, Slots: singleSlots, Connections: 2 * singleSlots, ServiceTime: shortServiceTime, Spread: spread}
	c, err := startCell(ctx, cfg, one)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.warmUp(ctx); err != nil {
		return err
	}
	holders, others := c.splitByHolder(singleService)
	base := load.Stream{
		Caller: "workshop", Class: string(api.ClassInteractive), Service: singleService, Path: "/check",
		Rate: latencyRate, Idempotent: true, BodyBytes: 512, Timeout: cfg.Timeout,
	}
	direct, marked := base, base
	direct.Direct = true
	marked.Idempotent = false
	phases := []phase{
		{name: "direct", entries: c.executorAddresses(singleService), streams: []load.Stream{direct}},
		{name: "local", entries: holders, streams: []load.Stream{base}},
		{name: "handed over", entries: others, streams: []load.Stream{base}},
		{name: "marked", entries: holders, streams: []load.Stream{marked}},
	}
	if len(cfg.Policies) > 1 {
		phases = append(phases, phase{name: "baseline", streams: []load.Stream{c.newStream(router.PolicyBaseline, latencyRate)}})
	}
	return c.runComparison(ctx, phases, r)
}

// runComparison runs phases and notes the latency that each adds to that of the
// first.
func (c *cell) runComparison(ctx context.Context, phases []phase, r *resultTable) error {
	var reference *streamStats
	for _, p := range phases {
		p.countFrom = c.cfg.phaseDuration() / 5
		result, err := c.runPhase(ctx, p)
		if err != nil {
			return err
		}
		r.addPhase(p.name, result)
		stats := result.statsByStream[0]
		if reference == nil {
			reference = stats
			continue
		}
		r.note("%s: added p50=%s p99=%s", p.name,
			quantile(stats.ranLatency, 50)-quantile(reference.ranLatency, 50), quantile(stats.ranLatency, 99)-quantile(reference.ranLatency, 99))
	}
	return nil
}

// splitByHolder returns the addresses for callers of the entry VMs that hold an
// endpoint of the service, and those of all others.
func (c *cell) splitByHolder(service string) (holders, others []string) {
	for _, e := range c.Entries {
		if c.holdsEndpoint(e, service) {
			holders = append(holders, e.Settings.Listen.Callers)
		} else {
			others = append(others, e.Settings.Listen.Callers)
		}
	}
	return holders, others
}

// holdsEndpoint reports whether an entry VM holds an endpoint of the service.
func (c *cell) holdsEndpoint(e *cluster.Entry, service string) bool {
	held := map[string]bool{}
	for _, shard := range e.Node.Status().Shards {
		held[shard.Shard] = true
	}
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service == service && ep.DataCentre == e.Settings.DataCentre && held[ownership.ShardOf(ep.ID).String()] {
				return true
			}
		}
	}
	return false
}
