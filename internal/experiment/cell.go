package experiment

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cluster"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// cell is a running cell with its stand-ins.
type cell struct {
	*cluster.Cluster
	cfg             Config
	faultyEndpoints map[api.EndpointID]bool // endpoints of the latest fault
}

// startCell starts the stand-ins and entry VMs of a cell with the services of cfg
// and the given ones. It waits until every shard is held and publishes the
// records.
func startCell(ctx context.Context, cfg Config, services ...site.Service) (*cell, error) {
	siteConfig := cfg.siteConfig()
	siteConfig.Services = append(siteConfig.Services, services...)
	s, err := site.Start(siteConfig)
	if err != nil {
		return nil, err
	}
	s.Log.SetFaults(logserver.Faults{Delay: cfg.LogDelay})
	all, err := s.EntrySettingsFor(cfg.Cell.Entries)
	if err != nil {
		s.Close()
		return nil, err
	}
	for _, e := range all {
		cfg.applyTo(e)
	}
	running, err := cluster.Start(s, all, io.Discard)
	if err != nil {
		return nil, err
	}
	c := &cell{Cluster: running, cfg: cfg}
	if err := c.prepare(ctx, services); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startWarmCell is like startCell, and also runs the warm-up load.
func startWarmCell(ctx context.Context, cfg Config) (*cell, error) {
	c, err := startCell(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if err := c.warmUp(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// prepare waits until every shard is held and publishes the records.
func (c *cell) prepare(ctx context.Context, services []site.Service) error {
	if err := c.AwaitServing(ctx); err != nil {
		return err
	}
	return c.publishAll(ctx, services)
}

// callerAddresses returns the addresses for callers of all entry VMs in random
// order. Addresses are repeated such that each data centre, or with PerEntry each
// entry VM, gets the same share of a round-robin load.
func (c *cell) callerAddresses() []string {
	rounds := 1
	for _, n := range c.cfg.Cell.Entries {
		rounds *= n
	}
	var all []string
	for _, e := range c.Entries {
		copies := 1
		if !c.cfg.PerEntry {
			copies = rounds / c.entryCount(e.Settings.DataCentre)
		}
		for range copies {
			all = append(all, e.Settings.Listen.Callers)
		}
	}
	rng := rand.New(rand.NewPCG(c.cfg.Seed, 0))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// entryCount returns the number of entry VMs of a data centre.
func (c *cell) entryCount(dc api.DataCentre) int {
	return c.cfg.Cell.Entries[slices.Index(c.cfg.Cell.DataCentres, dc)]
}

// executorAddresses returns the addresses of the executors of a service.
func (c *cell) executorAddresses(service string) []string {
	var all []string
	for _, vm := range c.Site.VMs {
		for _, ep := range vm.Endpoints {
			if ep.Service == service {
				all = append(all, ep.Address)
			}
		}
	}
	return all
}

// sumCounter returns the sum of one counter over all entry VMs.
func (c *cell) sumCounter(group string, reason api.Reason) int64 {
	total := int64(0)
	for _, e := range c.Entries {
		total += e.Node.Counters().Value(group, reason)
	}
	return total
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
