// Package cluster runs several entry nodes in one process, together with stand-ins for
// the systems that they call. The demo and experiments use it.
package cluster

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// serveTimeout bounds the wait until a cluster serves. servePollInterval is the time
// between two checks.
const (
	serveTimeout      = 60 * time.Second
	servePollInterval = 50 * time.Millisecond
)

// Entry is an entry node of the cluster.
type Entry struct {
	Settings *settings.Settings
	Node     *entry.Node
	Stop     context.CancelFunc // starts a graceful shutdown
	Done     chan struct{}      // closed when the node has stopped
}

// Cluster is a site with running entry nodes.
type Cluster struct {
	Site    *site.Site
	Entries []*Entry
	nodes   sync.WaitGroup
}

// Start creates all nodes, so that all of them listen before any connects, and then
// runs them. They log to logs. The cluster owns s from then on, even if Start fails.
func Start(s *site.Site, all []*settings.Settings, logs io.Writer) (*Cluster, error) {
	c := &Cluster{Site: s}
	for _, e := range all {
		if err := c.add(e, logs); err != nil {
			c.Close()
			return nil, err
		}
	}
	for _, e := range c.Entries {
		c.run(e)
	}
	return c, nil
}

// add creates an entry node, which listens but doesn't run yet.
func (c *Cluster) add(s *settings.Settings, logs io.Writer) error {
	log, err := logging.New(logs, s.LogLevel)
	if err != nil {
		return err
	}
	node, err := entry.New(s, log)
	if err != nil {
		return err
	}
	c.Entries = append(c.Entries, &Entry{Settings: s, Node: node, Stop: func() {}, Done: make(chan struct{})})
	return nil
}

// run runs an entry node in the background until it is stopped.
func (c *Cluster) run(e *Entry) {
	ctx, stop := context.WithCancel(context.Background())
	e.Stop = stop
	c.nodes.Go(func() {
		defer close(e.Done)
		_ = e.Node.Run(ctx) // the node logs the error itself
	})
}

// AwaitServing waits until every node is ready and every shard of every data
// centre is held and confirmed.
func (c *Cluster) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	for !c.Serving() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d shards are held", c.HeldShards())
		case <-time.After(servePollInterval):
		}
	}
	return nil
}

// Serving reports whether every node is ready and every shard is held.
func (c *Cluster) Serving() bool {
	dataCentres := make(map[string]bool)
	for _, e := range c.Entries {
		if !e.Node.Status().Ready {
			return false
		}
		dataCentres[string(e.Settings.DataCentre)] = true
	}
	return c.HeldShards() == len(dataCentres)*len(ownership.Shards())
}

// HeldShards returns the number of shards, over all data centres, whose hold is
// confirmed.
func (c *Cluster) HeldShards() int {
	held := 0
	for _, e := range c.Entries {
		for _, shard := range e.Node.Status().Shards {
			if shard.Confirmed {
				held++
			}
		}
	}
	return held
}

// Callers returns the addresses at which the entry nodes listen for callers.
func (c *Cluster) Callers() []string {
	var addresses []string
	for _, e := range c.Entries {
		addresses = append(addresses, e.Settings.Listen.Callers)
	}
	return addresses
}

// Close stops the nodes gracefully and then the stand-ins.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		e.Stop()
	}
	c.nodes.Wait()
	c.Site.Close()
}
