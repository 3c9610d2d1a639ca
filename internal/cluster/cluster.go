// Package cluster runs several entry nodes and the stand-ins of their outside
// in one process, for the demo and for experiments.
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

// serveWithin bounds the wait until a cluster serves; servePoll is the time
// between two looks.
const (
	serveWithin = 60 * time.Second
	servePoll   = 50 * time.Millisecond
)

// Entry is one entry node and how to stop it.
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
	running sync.WaitGroup
}

// Start makes every node, so that all listen before any connects, and runs
// them. They log to logs. The cluster owns s from now on, also after an error.
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

func (c *Cluster) run(e *Entry) {
	ctx, stop := context.WithCancel(context.Background())
	e.Stop = stop
	c.running.Go(func() {
		defer close(e.Done)
		_ = e.Node.Run(ctx) // what went wrong is in the node's log
	})
}

// AwaitServing waits until every node is ready and every shard of every data
// centre is held and confirmed.
func (c *Cluster) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, serveWithin)
	defer cancel()
	for !c.Serving() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d shards are held", c.HeldShards())
		case <-time.After(servePoll):
		}
	}
	return nil
}

// Serving reports whether every node is ready and every shard held.
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

// HeldShards counts the shards of all data centres whose hold is confirmed.
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

// Callers returns the callers' addresses of all entry nodes.
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
	c.running.Wait()
	c.Site.Close()
}
