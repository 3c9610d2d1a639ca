package ownership

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// readState calls read with the current table and evidence. It reads the time of
// the log's confirmation first, so that the table is at least as recent.
func (c *Controller) readState(read func(*Table, *Evidence)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	evidence := *c.evidence
	evidence.ConfirmedAt = c.cfg.Follower.ConfirmedAt()
	c.cfg.Machine.View(func(t *Table) { read(t, &evidence) })
}

// decide returns this process's authority over s at now.
func (c *Controller) decide(s Shard, now time.Time) (a Authority) {
	c.readState(func(t *Table, e *Evidence) { a = c.cfg.Timing.Decide(t, e, s, now) })
	return a
}

// Authority returns the epoch of s and what this process may do with it at now.
func (c *Controller) Authority(s Shard, now time.Time) (api.Epoch, Access) {
	a := c.decide(s, now)
	return a.Epoch, a.Access
}

// SlotLimit returns how many of ep's slots this process may use at a time at now,
// including those already in use, and the epoch of the shard.
func (c *Controller) SlotLimit(ep api.Endpoint, now time.Time) (limit int, epoch api.Epoch) {
	s := ShardOf(ep.ID)
	c.readState(func(t *Table, e *Evidence) {
		a := c.cfg.Timing.Decide(t, e, s, now)
		limit, epoch = SlotLimit(t, e, s, a, ep.Slots), a.Epoch
	})
	return limit, epoch
}

// HolderOf returns the node that holds ep's shard according to the part of the
// log that this process has read. ok is false if no node holds it.
func (c *Controller) HolderOf(ep api.Endpoint) (node api.NodeID, ok bool) {
	return c.ShardHolder(ShardOf(ep.ID))
}

// ShardHolder returns the node that holds s, see HolderOf.
func (c *Controller) ShardHolder(s Shard) (node api.NodeID, ok bool) {
	h := c.cfg.Machine.Holder(s)
	return h.Process.Node, h.Status == StatusHeld
}

// CellAuthority reports whether this process may place tasks and renew leases at
// now, and the epoch of the placement shard. takeoverAt is when its claim was
// read back. The former holder may have renewed leases until that time if it
// released the shard, and otherwise until the end of its hold.
func (c *Controller) CellAuthority(now time.Time) (epoch api.Epoch, ok bool, takeoverAt time.Time) {
	a := c.decide(Cell, now)
	return a.Epoch, a.Access == AccessFull, a.ClaimedAt
}

// GrantRequest returns this process's request for grants.
func (c *Controller) GrantRequest() GrantRequest {
	req := GrantRequest{Process: c.cfg.Self}
	c.cfg.Machine.View(func(t *Table) { req.Version = t.Version })
	return req
}

// NeedsGrants reports whether the log's confirmation is so old at now that this
// process should ask every member of the roster for a grant.
func (c *Controller) NeedsGrants(now time.Time) bool {
	return now.Sub(c.cfg.Follower.ConfirmedAt()) >= c.cfg.Timing.HoldDuration/grantAgeDivisor
}

// grantAgeDivisor divides HoldDuration to get the age of the log's confirmation
// from which on grants are requested in addition.
const grantAgeDivisor = 2

// HandleGrantRequest reports whether this process gives a member a grant at now.
// The promise of a grant has been recorded when it returns true.
func (c *Controller) HandleGrantRequest(req GrantRequest, now time.Time) (granted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Machine.View(func(t *Table) { granted = CanGrant(t, c.evidence, req) })
	if granted {
		c.cfg.Timing.RecordPromise(c.evidence, req.Process.Node, now)
	}
	return granted
}

// RecordGrant records a grant from a member, received in an exchange that this
// process started at the given time.
func (c *Controller) RecordGrant(from Identity, started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.evidence.Grants[from.Node]
	if former.From == from && !started.After(former.RequestedAt) {
		return
	}
	c.evidence.Grants[from.Node] = Grant{From: from, RequestedAt: started}
}
