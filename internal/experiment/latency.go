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
	// single is a service with one executor in each data centre, so that all
	// entry VMs but its holder hand its requests over.
	single      = "torquebench-single"
	singleSlots = 64
	// latencyRate is low, so that nothing waits, requests per second.
	latencyRate = 200
	// quick is the service time, which the added latency is measured beside.
	quick = 5 * time.Millisecond
)

// latency compares a direct call to an executor with the ways through the
// entry VMs.
func latency(ctx context.Context, cfg Config, r *report) error {
	cfg.ServiceTime = quick
	r.note("service_time=%s", quick)
	one := site.Service{Name: single, ExecutorsPerDataCentre: 1, Slots: singleSlots, Connections: 2 * singleSlots, ServiceTime: quick, Spread: spread}
	c, err := startCell(ctx, cfg, one)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.warmUp(ctx); err != nil {
		return err
	}
	holders, others := c.holdersOf(single)
	base := load.Stream{
		Caller: "workshop", Class: string(api.ClassInteractive), Service: single, Path: "/check",
		Rate: latencyRate, Idempotent: true, BodyBytes: 512, Timeout: cfg.Timeout,
	}
	direct, marked := base, base
	direct.Direct = true
	marked.Idempotent = false
	phases := []phase{
		{name: "direct", entries: c.executors(single), streams: []load.Stream{direct}},
		{name: "local", entries: holders, streams: []load.Stream{base}},
		{name: "handed over", entries: others, streams: []load.Stream{base}},
		{name: "marked", entries: holders, streams: []load.Stream{marked}},
	}
	if len(cfg.Policies) > 1 {
		phases = append(phases, phase{name: "baseline", streams: []load.Stream{c.stream(router.PolicyBaseline, latencyRate)}})
	}
	return c.compare(ctx, phases, r)
}

// compare runs phases; the first is what the others are measured against.
func (c *cell) compare(ctx context.Context, phases []phase, r *report) error {
	var first *tally
	for _, p := range phases {
		p.from = c.cfg.duration() / 5
		o, err := c.run(ctx, p)
		if err != nil {
			return err
		}
		r.add(p.name, o)
		t := o.tallies[0]
		if first == nil {
			first = t
			continue
		}
		r.note("%s: added p50=%s p99=%s", p.name,
			quantile(t.ran, 50)-quantile(first.ran, 50), quantile(t.ran, 99)-quantile(first.ran, 99))
	}
	return nil
}

// holdersOf returns the callers' addresses of the entry VMs that hold an
// endpoint of the service, and of the others.
func (c *cell) holdersOf(service string) (holders, others []string) {
	for _, e := range c.Entries {
		if c.holds(e, service) {
			holders = append(holders, e.Settings.Listen.Callers)
		} else {
			others = append(others, e.Settings.Listen.Callers)
		}
	}
	return holders, others
}

func (c *cell) holds(e *cluster.Entry, service string) bool {
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
