package demo

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/skylarklock/skylarklock/internal/entry"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/settings"
	"github.com/skylarklock/skylarklock/internal/standin/site"
)

// readyWithin bounds the wait for all entry VMs to be ready.
const readyWithin = 30 * time.Second

// readyPoll is the time between two looks at an entry VM's readiness.
const readyPoll = 50 * time.Millisecond

// cluster is a site of stand-ins with entry nodes in this process.
type cluster struct {
	site  *site.Site
	nodes []*node
	wg    sync.WaitGroup
}

// node is one entry node and how to stop it.
type node struct {
	settings *settings.Settings
	entry    *entry.Node
	stop     context.CancelFunc
	ended    chan error // receives the result of Run
}

// startCluster starts the stand-ins and entry nodes and waits until all are
// ready.
func startCluster(ctx context.Context, cfg site.Config, perDC int, logs io.Writer) (*cluster, error) {
	s, err := site.Start(cfg)
	if err != nil {
		return nil, err
	}
	c := &cluster{site: s}
	all, err := s.Entries(perDC)
	if err != nil {
		c.close()
		return nil, err
	}
	for _, e := range all {
		if err := c.startNode(e, logs); err != nil {
			c.close()
			return nil, err
		}
	}
	if err := c.awaitReady(ctx); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startNode(s *settings.Settings, logs io.Writer) error {
	log, err := logging.New(logs, s.LogLevel)
	if err != nil {
		return err
	}
	n, err := entry.New(s, log)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &node{settings: s, entry: n, stop: stop, ended: make(chan error, 1)}
	c.wg.Go(func() { started.ended <- n.Run(ctx) })
	c.nodes = append(c.nodes, started)
	return nil
}

// awaitReady waits until every node answers that it is ready.
func (c *cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	for _, n := range c.nodes {
		for !ready(ctx, n.settings.Listen.Callers) {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "entry %s not ready", n.settings.NodeID)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func ready(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// callers returns the callers' addresses of all nodes.
func (c *cluster) callers() []string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.settings.Listen.Callers)
	}
	return addresses
}

// close stops all nodes gracefully and then the stand-ins.
func (c *cluster) close() {
	for _, n := range c.nodes {
		n.stop()
	}
	c.wg.Wait()
	c.site.Close()
}
