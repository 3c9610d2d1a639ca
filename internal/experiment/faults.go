package experiment

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/load"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

const (
	// steadyShare is the load of experiments without overload, as a share of the
	// request capacity.
	steadyShare = 0.7
	// slowFactor multiplies the service time of the slow executor.
	slowFactor = 20
	// leavingExecutors is the number of executors that leave at the same time.
	leavingExecutors = 5
)

// fault is a kind of fault and the way to end it; both functions may be nil.
type fault struct {
	name   string
	inject func(c *cell, service string)
	repair func(c *cell, service string)
}

var faultKinds = []fault{
	{name: "none"},
	{
		name:   "one fails all",
		inject: func(c *cell, service string) { c.setFaults(service, 0, 1, executor.Faults{FailAll: true}) },
		repair: repairExecutors,
	},
	{
		name:   "one 20x slower",
		inject: func(c *cell, service string) { c.setFaults(service, 1, 2, executor.Faults{SlowFactor: slowFactor}) },
		repair: repairExecutors,
	},
	{
		name: "five leave, in-band",
		inject: func(c *cell, service string) {
			c.setFaults(service, 2, 2+leavingExecutors, executor.Faults{Leaving: true})
		},
		repair: repairExecutors,
	},
	{
		name:   "five leave, by list",
		inject: func(c *cell, service string) { c.markLeavingInList(service, 2+leavingExecutors, 2+2*leavingExecutors) },
	},
}

// measureFaults injects faults into executors after a third of each phase.
func measureFaults(ctx context.Context, cfg Config, r *resultTable) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		for _, f := range faultKinds {
			if err := c.runFault(ctx, policy, f, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cell) runFault(ctx context.Context, policy string, f fault, r *resultTable) error {
	service := serviceName(policy)
	var injectedAt time.Time
	p := phase{streams: []load.Stream{c.newStream(policy, steadyShare*c.cfg.requestCapacity())}}
	if f.inject != nil {
		p.during = func(ctx context.Context) {
			sleep(ctx, c.cfg.phaseDuration()/3)
			injectedAt = time.Now()
			f.inject(c, service)
		}
	}
	result, err := c.runPhase(ctx, p)
	if err != nil {
		return err
	}
	name := policy + ", " + f.name
	r.addPhase(name, result)
	if f.inject != nil {
		c.noteFaultyExecutors(name, injectedAt, r)
	}
	if f.repair != nil {
		f.repair(c, service)
	}
	return nil
}

// noteFaultyExecutors adds a note with the number of requests that started at the
// faulty executors after the fault was injected, and the delay of the last one.
func (c *cell) noteFaultyExecutors(name string, injectedAt time.Time, r *resultTable) {
	requests, last := 0, time.Duration(0)
	for id := range c.faultyEndpoints {
		for _, runs := range c.Site.Executors[id].Record().Runs {
			for _, run := range runs {
				if after := run.Start.Sub(injectedAt); after > 0 {
					requests++
					last = max(last, after)
				}
			}
		}
	}
	r.note("%s: executors at fault ran %d requests, the last %s after it began", name, requests, last.Round(time.Millisecond))
}

// setFaults sets the faults of some executors of a service, selected by their
// indexes in the result of endpoints. Each kind of fault uses different executors,
// because the entry VMs' statistics on an executor outlast its fault.
func (c *cell) setFaults(service string, from, to int, f executor.Faults) {
	c.faultyEndpoints = map[api.EndpointID]bool{}
	for _, ep := range c.endpoints(service)[from:to] {
		c.faultyEndpoints[ep.ID] = true
		c.Site.Executors[ep.ID].SetFaults(f)
	}
}

// repairExecutors ends all faults of a service's executors, so that ejected ones
// can be restored.
func repairExecutors(c *cell, service string) {
	for _, ep := range c.endpoints(service) {
		c.Site.Executors[ep.ID].SetFaults(executor.Faults{})
	}
}

// markLeavingInList marks endpoints as leaving in the platform's VM list. The
// executors still run the requests that they receive.
func (c *cell) markLeavingInList(service string, from, to int) {
	c.faultyEndpoints = map[api.EndpointID]bool{}
	for _, ep := range c.endpoints(service)[from:to] {
		c.faultyEndpoints[ep.ID] = true
	}
	for _, vm := range c.Site.VMs {
		vm.Endpoints = slices.Clone(vm.Endpoints)
		changed := false
		for i := range vm.Endpoints {
			if c.faultyEndpoints[vm.Endpoints[i].ID] {
				vm.Endpoints[i].Leaving = true
				changed = true
			}
		}
		if changed {
			c.Site.VMList.Put(vm)
		}
	}
}

// endpoints returns the endpoints of a service, alternating between the data
// centres.
func (c *cell) endpoints(service string) []api.Endpoint {
	var all []api.Endpoint
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service == service {
				all = append(all, ep)
			}
		}
	}
	slices.SortStableFunc(all, compareNumbers)
	return all
}

// compareNumbers orders endpoints by the last digits of their IDs, which number
// them within their data centre.
func compareNumbers(a, b api.Endpoint) int {
	const digits = 3
	return cmp.Compare(a.ID[len(a.ID)-digits:], b.ID[len(b.ID)-digits:])
}
