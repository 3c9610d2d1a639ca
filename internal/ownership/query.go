package ownership

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// look calls read with the table and the evidence as of now. The log's
// confirmation is read first, so that the table is at least as new as it.
func (c *Controller) look(read func(*Table, *Evidence)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	evidence := *c.evidence
	evidence.ConfirmedAt = c.cfg.Follower.ConfirmedAt()
	c.cfg.Machine.View(func(t *Table) { read(t, &evidence) })
}

// decide returns the full decision on one shard.
func (c *Controller) decide(s Shard, now time.Time) (a Authority) {
	c.look(func(t *Table, e *Evidence) { a = c.cfg.Timing.Decide(t, e, s, now) })
	return a
}

// Authority says what this process may do with s at now, and at which epoch.
func (c *Controller) Authority(s Shard, now time.Time) (api.Epoch, Access) {
	a := c.decide(s, now)
	return a.Epoch, a.Access
}

// SlotLimit says how many of ep's slots this process may use at once at now,
// those already in use included, and at which epoch. Zero means none.
func (c *Controller) SlotLimit(ep api.Endpoint, now time.Time) (limit int, epoch api.Epoch) {
	s := ShardOf(ep.ID)
	c.look(func(t *Table, e *Evidence) {
		a := c.cfg.Timing.Decide(t, e, s, now)
		limit, epoch = SlotLimit(t, e, s, a, ep.Slots), a.Epoch
	})
	return limit, epoch
}

// HolderOf names the node that holds ep's shard, as far as this process has
// read the log. ok is false when nobody does.
func (c *Controller) HolderOf(ep api.Endpoint) (node api.NodeID, ok bool) {
	return c.ShardHolder(ShardOf(ep.ID))
}

// ShardHolder is HolderOf for a shard.
func (c *Controller) ShardHolder(s Shard) (node api.NodeID, ok bool) {
	h := c.cfg.Machine.Holder(s)
	return h.Process.Node, h.Status == StatusHeld
}

// CellAuthority says whether this process may place tasks and renew leases at
// now, and at which epoch. takeoverAt is when its claim was read back; the
// former holder may have renewed leases until then if it released the shard,
// and until the end of its hold if not.
func (c *Controller) CellAuthority(now time.Time) (epoch api.Epoch, ok bool, takeoverAt time.Time) {
	a := c.decide(Cell, now)
	return a.Epoch, a.Access == AccessFull, a.ClaimedAt
}

// GrantRequest returns what this process tells when it asks for grants.
func (c *Controller) GrantRequest() GrantRequest {
	ask := GrantRequest{Process: c.cfg.Self}
	c.cfg.Machine.View(func(t *Table) { ask.Version = t.Version })
	return ask
}

// NeedsGrants reports whether the log's confirmation at now is old enough
// that every member of the roster should be asked for a grant.
func (c *Controller) NeedsGrants(now time.Time) bool {
	return now.Sub(c.cfg.Follower.ConfirmedAt()) >= c.cfg.Timing.HoldDuration/grantAfter
}

// grantAfter divides the hold time into the age of a confirmation at which
// grants are asked for beside it.
const grantAfter = 2

// HandleGrantRequest answers a member that asks for a grant at now. When it says true
// the promise has been noted.
func (c *Controller) HandleGrantRequest(ask GrantRequest, now time.Time) (granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Machine.View(func(t *Table) { granted = CanGrant(t, c.evidence, ask) })
	if granted {
		c.cfg.Timing.RecordPromise(c.evidence, ask.Process.Node, now)
	}
	return granted
}

// RecordGrant notes a grant from a member, in an exchange that this process
// started at the given time.
func (c *Controller) RecordGrant(from Identity, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.evidence.Grants[from.Node]
	if former.From == from && !started.After(former.RequestedAt) {
		return
	}
	c.evidence.Grants[from.Node] = Grant{From: from, RequestedAt: started}
}
