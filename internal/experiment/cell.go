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
	cfg     Config
	victims map[api.EndpointID]bool // endpoints that a fault was put on
}

// startCell starts stand-ins and entry VMs, waits until every shard is held
// and publishes the records.
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
		cfg.adjust(e)
	}
	running, err := cluster.Start(s, all, io.Discard)
	if err != nil {
		return nil, err
	}
	c := &cell{Cluster: running, cfg: cfg}
	if err := c.ready(ctx, services); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startWarmCell is startCell followed by a load that warms it up.
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

// ready waits until the cell serves and publishes the records.
func (c *cell) ready(ctx context.Context, services []site.Service) error {
	if err := c.AwaitServing(ctx); err != nil {
		return err
	}
	return c.publishAll(ctx, services)
}

// callers returns the callers' addresses of all entry VMs, in turns that give
// each data centre the same share, or each entry VM.
func (c *cell) callers() []string {
	turns := 1
	for _, n := range c.cfg.Cell.Entries {
		turns *= n
	}
	var all []string
	for _, e := range c.Entries {
		times := 1
		if !c.cfg.PerEntry {
			times = turns / c.entriesIn(e.Settings.DataCentre)
		}
		for range times {
			all = append(all, e.Settings.Listen.Callers)
		}
	}
	mix := rand.New(rand.NewPCG(c.cfg.Seed, 0))
	mix.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// entriesIn returns the number of entry VMs of a data centre.
func (c *cell) entriesIn(dc api.DataCentre) int {
	return c.cfg.Cell.Entries[slices.Index(c.cfg.Cell.DataCentres, dc)]
}

// executors returns the addresses of a service's executors.
func (c *cell) executors(service string) []string {
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

// count adds up one counter over all entry VMs.
func (c *cell) count(group string, reason api.Reason) int64 {
	total := int64(0)
	for _, e := range c.Entries {
		total += e.Node.Counters().Value(group, reason)
	}
	return total
}

// pause waits for d and reports whether ctx still stands.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
