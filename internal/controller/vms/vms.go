// Package vms is the controller of the directory of worker VMs: it follows
// the platform's lagging list and passes on what the ledger must know.
//
// A list that can't be read, or that shrinks too much at once, changes
// nothing: what still answers keeps its work.
package vms

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Authority tells whether this entry VM may act for the cell.
type Authority interface {
	Cell(now time.Time) (epoch api.Epoch, ok bool, takeoverAt time.Time)
}

// Config holds the controller's settings.
type Config struct {
	DataCentre  api.DataCentre
	Poll        time.Duration // between two reads of the list
	Timeout     time.Duration // of a read and of a proposal
	GoneAfter   time.Duration // absence from the list until a VM is dropped
	ShrinkShare float64       // with more than this share of the VMs absent, the list is in doubt
	DoubtFor    time.Duration // absence until a VM is dropped even by a list in doubt
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(dc api.DataCentre) Config {
	return Config{
		DataCentre:  dc,
		Poll:        time.Second,
		Timeout:     3 * time.Second,
		GoneAfter:   30 * time.Second,
		ShrinkShare: 0.2,
		DoubtFor:    10 * time.Minute,
	}
}

// listed is one VM and since when the list lacks it.
type listed struct {
	vm          api.VM
	absentSince time.Time // zero while listed
}

// Controller follows the list. Its methods are safe for concurrent use.
type Controller struct {
	cfg      Config
	list     platform.VMList
	machine  *cell.Machine
	proposer journal.Proposer
	auth     Authority
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time

	mu    sync.RWMutex
	known map[api.VMID]*listed
}

// New returns a controller that has not read the list yet.
func New(cfg Config, list platform.VMList, machine *cell.Machine, proposer journal.Proposer, auth Authority, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	return &Controller{
		cfg: cfg, list: list, machine: machine, proposer: proposer, auth: auth,
		counters: counters, log: log, clock: clock, known: make(map[api.VMID]*listed),
	}
}

// Run follows the list until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Poll)
	defer ticker.Stop()
	for {
		c.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Step reads the list once and proposes what changed.
func (c *Controller) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	vms, err := c.list.List(ctx, c.cfg.DataCentre)
	if err != nil {
		c.counters.Inc("vm_list", "unreachable")
		return
	}
	now := c.clock()
	c.take(now, vms)
	epoch, ok, _ := c.auth.Cell(now)
	if !ok {
		return
	}
	seen, gone := c.changes(now)
	if len(seen)+len(gone) == 0 {
		return
	}
	if err := c.proposer.Propose(ctx, cell.VMsEntry(epoch, seen, gone)); err != nil {
		c.counters.Inc("vm_list", "not_journaled")
		return
	}
	c.log.WithFields(logrus.Fields{"seen": len(seen), "gone": len(gone), "epoch": epoch}).Info("vms_changed")
}

// take puts a fresh list in place of the last one.
func (c *Controller) take(now time.Time, vms []api.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := make(map[api.VMID]bool, len(vms))
	for _, vm := range vms {
		present[vm.ID] = true
		c.known[vm.ID] = &listed{vm: vm}
	}
	for id, l := range c.known {
		if !present[id] && l.absentSince.IsZero() {
			l.absentSince = now
		}
	}
}

// changes compares the list with what the log holds.
func (c *Controller) changes(now time.Time) (seen []cell.SeenVM, gone []api.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	journaled := make(map[api.VMID]cell.VMView)
	for _, v := range c.machine.VMs() {
		journaled[v.ID] = v
	}
	for id, l := range c.known {
		if l.absentSince.IsZero() && isWorker(l.vm) && differs(l.vm, journaled[id]) {
			seen = append(seen, cell.SeenVM{ID: id, Rack: l.vm.Rack, Capacity: l.vm.Capacity})
		}
	}
	sort.Slice(seen, func(i, j int) bool { return seen[i].ID < seen[j].ID })
	gone = c.dropped(now, journaled)
	sort.Slice(gone, func(i, j int) bool { return gone[i] < gone[j] })
	return seen, gone
}

// isWorker tells a worker VM from an entry VM, which runs no tasks.
func isWorker(vm api.VM) bool { return !vm.Capacity.IsZero() }

func differs(vm api.VM, v cell.VMView) bool {
	return v.ID == "" || v.Gone || v.Rack != vm.Rack || v.Capacity != vm.Capacity
}

// dropped lists VMs that are absent for long enough, which is longer while so
// many are that the list itself is in doubt.
func (c *Controller) dropped(now time.Time, journaled map[api.VMID]cell.VMView) []api.VMID {
	wait := c.cfg.GoneAfter
	if absent := c.absent(now, journaled); absent > 1 && float64(absent) > c.cfg.ShrinkShare*float64(len(journaled)) {
		c.counters.Inc("vm_list", "shrunk")
		wait = c.cfg.DoubtFor
	}
	var gone []api.VMID
	for id, l := range c.known {
		if l.absentSince.IsZero() || now.Sub(l.absentSince) < wait {
			continue
		}
		v, isJournaled := journaled[id]
		switch {
		case !isJournaled && now.Sub(l.absentSince) >= c.cfg.DoubtFor:
			delete(c.known, id)
		case isJournaled && !v.Gone:
			gone = append(gone, id)
		}
	}
	return gone
}

// absent counts the journaled VMs that the list lacks. One journaled by an
// earlier holder is given the time to show from now on.
func (c *Controller) absent(now time.Time, journaled map[api.VMID]cell.VMView) int {
	n := 0
	for id, v := range journaled {
		l := c.known[id]
		if l == nil {
			l = &listed{vm: api.VM{ID: id, Rack: v.Rack, Capacity: v.Capacity}, absentSince: now}
			c.known[id] = l
		}
		if !l.absentSince.IsZero() {
			n++
		}
	}
	return n
}

// VMs returns the VMs as last listed, with those that have since been absent
// from the list and are not yet forgotten.
func (c *Controller) VMs() []api.VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	vms := make([]api.VM, 0, len(c.known))
	for _, l := range c.known {
		vms = append(vms, l.vm)
	}
	return vms
}

// Leaving reports whether the list says that a VM is leaving.
func (c *Controller) Leaving(id api.VMID) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	l := c.known[id]
	return l != nil && l.vm.State == api.VMLeaving
}

// Absent returns for how long the list, while it could be read, has lacked
// each VM that it once held.
func (c *Controller) Absent(now time.Time) map[api.VMID]time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	absent := make(map[api.VMID]time.Duration)
	for id, l := range c.known {
		if !l.absentSince.IsZero() {
			absent[id] = now.Sub(l.absentSince)
		}
	}
	return absent
}
