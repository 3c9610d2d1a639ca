// Package endpoints is the controller that sets the endpoints to which the
// router of this entry VM may send, and how many requests each may have in
// flight. These are the endpoints in the platform's list of which this entry VM
// holds slots.
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

// Directory returns the VMs with their endpoints.
type Directory interface {
	VMs() []api.VM
	Leaving(id api.VMID) bool
}

// Owner returns how many slots of an endpoint this entry VM may use at the given
// time, and at which epoch.
type Owner interface {
	SlotLimit(ep api.Endpoint, now time.Time) (limit int, epoch api.Epoch)
}

// Router accepts the endpoints that this entry VM may use.
type Router interface {
	SetEndpoints(now time.Time, held []router.HeldEndpoint)
}

// Connections closes the connections to all endpoints that are not held.
type Connections interface {
	Retain(held []api.EndpointID)
}

// RefreshInterval is the time between two steps. LimitValidity is how long the
// limits of one step are valid; it is longer to tolerate a few late steps.
const (
	RefreshInterval = 50 * time.Millisecond
	LimitValidity   = 4 * RefreshInterval
)

// Controller refreshes the endpoints of the router.
type Controller struct {
	directory   Directory
	owner       Owner
	router      Router
	connections Connections
	now         func() time.Time

	stepMu sync.Mutex // serializes steps, so that an older step never overwrites a newer one

	mu      sync.RWMutex
	byShard map[ownership.Shard][]api.EndpointID // of the latest step
}

// New returns a controller.
func New(directory Directory, owner Owner, r Router, connections Connections, now func() time.Time) *Controller {
	return &Controller{directory: directory, owner: owner, router: r, connections: connections, now: now}
}

// Run refreshes the endpoints until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, RefreshInterval, nil, func(context.Context) { c.Step() })
}

// Step refreshes the endpoints once. After it returns, the router sends nothing
// new to endpoints that this entry VM had stopped holding before the call.
func (c *Controller) Step() {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	now := c.now()
	var held []router.HeldEndpoint
	var ids []api.EndpointID
	byShard := make(map[ownership.Shard][]api.EndpointID)
	for _, vm := range c.directory.VMs() {
		for _, ep := range vm.Endpoints {
			ep.Leaving = ep.Leaving || c.directory.Leaving(vm.ID)
			shard := ownership.ShardOf(ep.ID)
			byShard[shard] = append(byShard[shard], ep.ID)
			usable, ok := c.usableEndpoint(ep, now)
			if !ok {
				continue
			}
			held = append(held, usable)
			ids = append(ids, ep.ID)
		}
	}
	c.mu.Lock()
	c.byShard = byShard
	c.mu.Unlock()
	c.router.SetEndpoints(now, held)
	c.connections.Retain(ids)
}

// ShardEndpoints returns the endpoints of a shard as listed in the latest step.
// The result must not be changed.
func (c *Controller) ShardEndpoints(shard ownership.Shard) []api.EndpointID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byShard[shard]
}

// usableEndpoint returns how this entry VM may use an endpoint until the limits of
// this step expire. The limit is the lower of those at both ends of that time, and
// the epoch must be the same at both, since a hold may expire or a takeover wait may
// end in between.
func (c *Controller) usableEndpoint(ep api.Endpoint, now time.Time) (router.HeldEndpoint, bool) {
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
