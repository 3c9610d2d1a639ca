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
	// steadyShare of the slots' capacity is offered where no overload is meant.
	steadyShare = 0.7
	// slowFactor is how much slower the slow executor is.
	slowFactor = 20
	// leavers is how many executors leave at once.
	leavers = 5
)

// fault is one kind of fault and its repair.
type fault struct {
	name   string
	begin  func(c *cell, service string)
	repair func(c *cell, service string)
}

var kindsOfFault = []fault{
	{name: "none"},
	{
		name:   "one fails all",
		begin:  func(c *cell, service string) { c.setFaults(service, 0, 1, executor.Faults{FailAll: true}) },
		repair: repairExecutors,
	},
	{
		name:   "one 20x slower",
		begin:  func(c *cell, service string) { c.setFaults(service, 1, 2, executor.Faults{SlowFactor: slowFactor}) },
		repair: repairExecutors,
	},
	{
		name:   "five leave, in-band",
		begin:  func(c *cell, service string) { c.setFaults(service, 2, 2+leavers, executor.Faults{Leaving: true}) },
		repair: repairExecutors,
	},
	{
		name:  "five leave, by list",
		begin: func(c *cell, service string) { c.leaveByList(service, 2+leavers, 2+2*leavers) },
	},
}

// faults puts faults on executors a third into the load.
func faults(ctx context.Context, cfg Config, r *report) error {
	c, err := startWarmCell(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	for _, policy := range cfg.Policies {
		for _, f := range kindsOfFault {
			if err := c.runFault(ctx, policy, f, r); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *cell) runFault(ctx context.Context, policy string, f fault, r *report) error {
	service := serviceOf(policy)
	var begun time.Time
	p := phase{streams: []load.Stream{c.stream(policy, steadyShare*c.cfg.capacity())}}
	if f.begin != nil {
		p.during = func(ctx context.Context) {
			pause(ctx, c.cfg.duration()/3)
			begun = time.Now()
			f.begin(c, service)
		}
	}
	o, err := c.run(ctx, p)
	if err != nil {
		return err
	}
	name := policy + ", " + f.name
	r.add(name, o)
	if f.begin != nil {
		c.noteVictims(name, begun, r)
	}
	if f.repair != nil {
		f.repair(c, service)
	}
	return nil
}

// noteVictims says how long after the fault began executors at fault still
// got new requests, and how many.
func (c *cell) noteVictims(name string, begun time.Time, r *report) {
	got, last := 0, time.Duration(0)
	for id := range c.victims {
		for _, runs := range c.Site.Executors[id].Record().Runs {
			for _, run := range runs {
				if after := run.Start.Sub(begun); after > 0 {
					got++
					last = max(last, after)
				}
			}
		}
	}
	r.note("%s: executors at fault ran %d requests, the last %s after it began", name, got, last.Round(time.Millisecond))
}

// setFaults puts faults on executors of a service, counted over all data
// centres in turn. Each fault has its own, since the entry VMs remember.
func (c *cell) setFaults(service string, from, to int, f executor.Faults) {
	c.victims = map[api.EndpointID]bool{}
	for _, ep := range c.endpoints(service)[from:to] {
		c.victims[ep.ID] = true
		c.Site.Executors[ep.ID].SetFaults(f)
	}
}

// repairExecutors ends all faults and gives ejected executors the time to
// come back.
func repairExecutors(c *cell, service string) {
	for _, ep := range c.endpoints(service) {
		c.Site.Executors[ep.ID].SetFaults(executor.Faults{})
	}
}

// leaveByList marks endpoints as leaving in the platform's list; they still
// take what they get.
func (c *cell) leaveByList(service string, from, to int) {
	c.victims = map[api.EndpointID]bool{}
	for _, ep := range c.endpoints(service)[from:to] {
		c.victims[ep.ID] = true
	}
	for _, vm := range c.Site.VMs {
		vm.Endpoints = slices.Clone(vm.Endpoints)
		changed := false
		for i := range vm.Endpoints {
			if c.victims[vm.Endpoints[i].ID] {
				vm.Endpoints[i].Leaving = true
				changed = true
			}
		}
		if changed {
			c.Site.VMList.Put(vm)
		}
	}
}

// endpoints returns the endpoints of a service, of all data centres in turn.
func (c *cell) endpoints(service string) []api.Endpoint {
	var all []api.Endpoint
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service == service {
				all = append(all, ep)
			}
		}
	}
	slices.SortStableFunc(all, compareTurn)
	return all
}

// compareTurn orders endpoints by the end of their ids, which numbers them
// within their data centre.
func compareTurn(a, b api.Endpoint) int {
	const digits = 3
	return cmp.Compare(a.ID[len(a.ID)-digits:], b.ID[len(b.ID)-digits:])
}
