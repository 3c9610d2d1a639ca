// Package endpoints is the controller that tells the router which endpoints
// this entry VM may send to now, and how many requests each may have in
// flight: what the platform's list names, as far as this entry VM holds it.
package endpoints

import (
	"context"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/ownership"
	"github.com/skylarklock/skylarklock/internal/router"
)

// Directory gives the VMs with their endpoints.
type Directory interface {
	VMs() []api.VM
	Leaving(id api.VMID) bool
}

// Owner tells how many of an endpoint's slots this entry VM may use at a
// time, and at which epoch.
type Owner interface {
	SlotLimit(ep api.Endpoint, now time.Time) (limit int, epoch api.Epoch)
}

// Router takes the endpoints held.
type Router interface {
	SetEndpoints(now time.Time, held []router.HeldEndpoint)
}

// Connections are closed to endpoints that are no longer held.
type Connections interface {
	Retain(held []api.EndpointID)
}

// Refresh is the time between two rounds. Validity is how long the limits of
// one round hold; it covers a few rounds that come late.
const (
	RefreshInterval = 50 * time.Millisecond
	LimitValidity   = 4 * RefreshInterval
)

// Controller refreshes the router's endpoints.
type Controller struct {
	dir    Directory
	owner  Owner
	router Router
	conns  Connections
	now    func() time.Time

	round sync.Mutex // one round at a time, so that an older one never ends last

	mu      sync.RWMutex
	byShard map[ownership.Shard][]api.EndpointID // of the last round
}

// New returns a controller.
func New(dir Directory, owner Owner, r Router, conns Connections, now func() time.Time) *Controller {
	return &Controller{dir: dir, owner: owner, router: r, conns: conns, now: now}
}

// Run refreshes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, RefreshInterval, nil, func(context.Context) { c.Step() })
}

// Step refreshes once. What ownership stopped before the call gets nothing new
// when it returns.
func (c *Controller) Step() {
	c.round.Lock()
	defer c.round.Unlock()
	now := c.now()
	var held []router.HeldEndpoint
	var ids []api.EndpointID
	byShard := make(map[ownership.Shard][]api.EndpointID)
	for _, vm := range c.dir.VMs() {
		for _, ep := range vm.Endpoints {
			ep.Leaving = ep.Leaving || c.dir.Leaving(vm.ID)
			shard := ownership.ShardOf(ep.ID)
			byShard[shard] = append(byShard[shard], ep.ID)
			h, ok := c.hold(ep, now)
			if !ok {
				continue
			}
			held = append(held, h)
			ids = append(ids, ep.ID)
		}
	}
	c.mu.Lock()
	c.byShard = byShard
	c.mu.Unlock()
	c.router.SetEndpoints(now, held)
	c.conns.Retain(ids)
}

// ShardEndpoints returns the endpoints of a shard, as listed in the last round. The result
// is not to be changed.
func (c *Controller) ShardEndpoints(shard ownership.Shard) []api.EndpointID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byShard[shard]
}

// hold returns what this entry VM may do with an endpoint until the validity
// of this round is over. A limit counts only if it stands at both ends of
// that time, since a hold may run out or a takeover wait end in between.
func (c *Controller) hold(ep api.Endpoint, now time.Time) (router.HeldEndpoint, bool) {
	limit, epoch := c.owner.SlotLimit(ep, now)
	later, laterEpoch := c.owner.SlotLimit(ep, now.Add(LimitValidity))
	if epoch != laterEpoch {
		return router.HeldEndpoint{}, false
	}
	limit = min(limit, later)
	if epoch == 0 || limit <= 0 {
		return router.HeldEndpoint{}, false
	}
	return router.HeldEndpoint{Endpoint: ep, SlotLimit: limit, Epoch: epoch, SlotLimitExpiry: now.Add(LimitValidity)}, true
}
