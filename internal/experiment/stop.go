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

// measureStop measures the effects of stopping one entry VM gracefully and of
// killing another, under load and behind a balancer that checks their readiness.
func measureStop(ctx context.Context, cfg Config, r *resultTable) error {
	for _, policy := range cfg.Policies {
		if err := stopEntries(ctx, cfg, policy, r); err != nil {
			return err
		}
	}
	return nil
}

// stopEntries runs the phases of measureStop for one routing policy.
func stopEntries(ctx context.Context, cfg Config, policy string, r *resultTable) error {
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
		if err := c.runStopPhase(ctx, policy, p.name, p.entry, p.stop, r); err != nil {
			return err
		}
	}
	return nil
}

// runStopPhase runs a load and stops e after a third of it; e may be nil.
func (c *cell) runStopPhase(ctx context.Context, policy, name string, e *cluster.Entry, stop func(*cluster.Entry), r *resultTable) error {
	idempotent := c.newStream(policy, steadyShare*c.cfg.requestCapacity()/2)
	idempotent.Caller = "idempotent"
	marked := idempotent
	marked.Caller, marked.Idempotent = "non-idempotent", false
	p := phase{streams: []load.Stream{idempotent, marked}, readinessInterval: readinessCheckInterval}
	var held []api.Endpoint
	var stoppedAt time.Time
	if e != nil {
		p.during = func(ctx context.Context) {
			sleep(ctx, c.cfg.phaseDuration()/3)
			held = c.endpointsHeldBy(e, serviceName(policy))
			stoppedAt = time.Now()
			stop(e)
		}
	}
	result, err := c.runPhase(ctx, p)
	if err != nil {
		return err
	}
	name = policy + ", " + name
	r.addPhase(name+",", result)
	if e != nil {
		c.noteRequestGaps(name, held, stoppedAt, stoppedAt.Add(c.cfg.phaseDuration()*2/3), r)
	}
	return nil
}

// endpointsHeldBy returns the endpoints of a service that an entry VM holds.
func (c *cell) endpointsHeldBy(e *cluster.Entry, service string) []api.Endpoint {
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

// noteRequestGaps adds a note on how long the endpoints of a stopped entry VM got
// no new request.
func (c *cell) noteRequestGaps(name string, held []api.Endpoint, from, to time.Time, r *resultTable) {
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

// longestGap returns the longest period between from and to in which no run started
// at an endpoint.
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
	longest, last := time.Duration(0), from
	for _, s := range append(starts, to) {
		longest = max(longest, s.Sub(last))
		last = s
	}
	return longest
}
