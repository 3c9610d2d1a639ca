package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/ownership"
)

// stop stops one entry VM gracefully under load and kills another, behind a
// balancer that looks at their readiness.
func stop(ctx context.Context, cfg Config, r *report) error {
	for _, policy := range cfg.Policies {
		if err := stopUnder(ctx, cfg, policy, r); err != nil {
			return err
		}
	}
	return nil
}

func stopUnder(ctx context.Context, cfg Config, policy string, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	first, last := c.Entries[0], c.Entries[len(c.Entries)-1]
	for _, p := range []struct {
		name  string
		entry *cluster.Entry
		stop  func(*cluster.Entry)
	}{
		{"none stopped", nil, nil},
		{"stopped gracefully", first, func(e *cluster.Entry) { e.Stop() }},
		{"killed", last, func(e *cluster.Entry) { e.Node.Abort() }},
	} {
		if err := c.runStop(ctx, policy, p.name, p.entry, p.stop, r); err != nil {
			return err
		}
	}
	return nil
}

func (c *cell) runStop(ctx context.Context, policy, name string, e *cluster.Entry, stop func(*cluster.Entry), r *report) error {
	idempotent := c.stream(policy, steadyShare*c.cfg.capacity()/2)
	idempotent.Caller = "idempotent"
	marked := idempotent
	marked.Caller, marked.Idempotent = "non-idempotent", false
	p := phase{streams: []load.Stream{idempotent, marked}, check: balancerCheck}
	var held []api.Endpoint
	var stopped time.Time
	if e != nil {
		p.during = func(ctx context.Context) {
			pause(ctx, c.cfg.duration()/3)
			held = c.heldBy(e, serviceOf(policy))
			stopped = time.Now()
			stop(e)
		}
	}
	o, err := c.run(ctx, p)
	if err != nil {
		return err
	}
	name = policy + ", " + name
	r.add(name+",", o)
	if e != nil {
		c.noteGaps(name, held, stopped, stopped.Add(c.cfg.duration()*2/3), r)
	}
	return nil
}

// heldBy returns the endpoints of a service that an entry VM holds.
func (c *cell) heldBy(e *cluster.Entry, service string) []api.Endpoint {
	shards := map[string]bool{}
	for _, shard := range e.Node.Status().Shards {
		shards[shard.Shard] = true
	}
	var held []api.Endpoint
	for _, ep := range c.endpoints(service) {
		if ep.DataCentre == e.Settings.DataCentre && shards[ownership.ShardOf(ep.ID).String()] {
			held = append(held, ep)
		}
	}
	return held
}

// noteGaps says for how long each endpoint of a stopped entry VM got no new
// request.
func (c *cell) noteGaps(name string, held []api.Endpoint, from, to time.Time, r *report) {
	longest, sum := time.Duration(0), time.Duration(0)
	for _, ep := range held {
		gap := c.longestGap(ep.ID, from, to)
		longest = max(longest, gap)
		sum += gap
	}
	mean := sum / time.Duration(max(len(held), 1))
	r.note("%s: it held %d executors; longest time without a new request: mean %s, longest %s",
		name, len(held), mean.Round(time.Millisecond), longest.Round(time.Millisecond))
}

// longestGap returns the longest time between two instants in which no run
// began at an endpoint.
func (c *cell) longestGap(id api.EndpointID, from, to time.Time) time.Duration {
	var starts []time.Time
	for _, runs := range c.Site.Executors[id].Record().Runs {
		for _, run := range runs {
			if run.Start.After(from) && run.Start.Before(to) {
				starts = append(starts, run.Start)
			}
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	longest, at := time.Duration(0), from
	for _, s := range append(starts, to) {
		longest = max(longest, s.Sub(at))
		at = s
	}
	return longest
}
