package experiment

import (
	"context"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// readyTimeout bounds the start of a cell, in which every shard finds a
// holder.
const readyTimeout = 60 * time.Second

// entryVM is one entry VM of a running cell.
type entryVM struct {
	settings *settings.Settings
	node     *entry.Node
	stop     context.CancelFunc // graceful
	ended    chan struct{}      // closed when Run has returned
}

// cell is a running cell with its stand-ins.
type cell struct {
	cfg     Config
	site    *site.Site
	entries []*entryVM
	running sync.WaitGroup
	victims map[api.EndpointID]bool // endpoints that a fault was put on
}

// startCell starts stand-ins and entry VMs, publishes the records and waits
// until every shard is held.
func startCell(ctx context.Context, cfg Config, services ...site.Service) (*cell, error) {
	siteConfig := cfg.siteConfig()
	siteConfig.Services = append(siteConfig.Services, services...)
	s, err := site.Start(siteConfig)
	if err != nil {
		return nil, err
	}
	s.Log.SetFaults(logserver.Faults{Slow: cfg.LogDelay})
	c := &cell{cfg: cfg, site: s}
	if err := c.start(ctx, services); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cell) start(ctx context.Context, services []site.Service) error {
	all, err := c.site.EntriesOf(c.cfg.Cell.Entries)
	if err != nil {
		return err
	}
	for _, s := range all { // all listen before any connects, or ports are taken
		if err := c.newEntry(s); err != nil {
			return err
		}
	}
	for _, e := range c.entries {
		c.runEntry(e)
	}
	if err := c.awaitReady(ctx); err != nil {
		return err
	}
	return c.publishAll(ctx, services)
}

func (c *cell) newEntry(s *settings.Settings) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	c.cfg.adjust(s)
	node, err := entry.New(s, log)
	if err != nil {
		return err
	}
	c.entries = append(c.entries, &entryVM{settings: s, node: node})
	return nil
}

// runEntry runs an entry VM until it is stopped.
func (c *cell) runEntry(e *entryVM) {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.ended = make(chan struct{})
	c.running.Go(func() {
		defer close(e.ended)
		_ = e.node.Run(ctx)
	})
}

// awaitReady waits until every entry VM is ready and every shard is held.
func (c *cell) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !c.ready() {
		if !pause(ctx, 100*time.Millisecond) {
			return errors.Newf("cell not ready within %s: %d shards held", readyTimeout, c.heldShards())
		}
	}
	return nil
}

func (c *cell) ready() bool {
	for _, e := range c.entries {
		if !e.node.Status().Ready {
			return false
		}
	}
	return c.heldShards() == len(c.cfg.Cell.DataCentres)*len(ownership.Shards())
}

// heldShards counts the shards of all data centres whose hold is confirmed.
func (c *cell) heldShards() int {
	held := 0
	for _, e := range c.entries {
		for _, shard := range e.node.Status().Shards {
			if shard.Confirmed {
				held++
			}
		}
	}
	return held
}

// callers returns the callers' addresses of all entry VMs, in turns that give
// each data centre the same share, or each entry VM.
func (c *cell) callers() []string {
	turns := 1
	for _, n := range c.cfg.Cell.Entries {
		turns *= n
	}
	var all []string
	for _, e := range c.entries {
		times := 1
		if !c.cfg.PerEntry {
			times = turns / c.entriesIn(e.settings.DataCentre)
		}
		for range times {
			all = append(all, e.settings.Listen.Callers)
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
	for _, vm := range c.site.VMs {
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
	for _, e := range c.entries {
		total += e.node.Counters().Value(group, reason)
	}
	return total
}

// close stops the entry VMs and the stand-ins.
func (c *cell) close() {
	for _, e := range c.entries {
		if e.stop != nil {
			e.stop()
		}
	}
	c.running.Wait()
	c.site.Close()
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
