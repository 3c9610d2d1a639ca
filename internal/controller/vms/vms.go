// Package vms is the controller of the directory of worker VMs: it follows
// the platform's lagging list and passes on what the ledger must know.
//
// A list that can't be read, or that shrinks too much at once, changes
// nothing: what still answers keeps its work.
package vms

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/directory"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Config holds the controller's settings.
type Config struct {
	DataCentre   api.DataCentre
	PollInterval time.Duration // between two reads of the list
	Timeout      time.Duration // of a read and of a proposal
	Directory    directory.Config
}

// goneAfter is how long a VM is absent from a list that is believed until it
// is dropped; the list lags.
const goneAfter = 30 * time.Second

// departedFor is how long a dropped VM is remembered as absent.
const departedFor = time.Hour

// DefaultConfig returns the settings used in production.
func DefaultConfig(dc api.DataCentre) Config {
	return Config{
		DataCentre:   dc,
		PollInterval: time.Second,
		Timeout:      3 * time.Second,
		Directory:    directory.Config{GracePeriod: goneAfter},
	}
}

// Contacts tells which VMs answered lately; it may be nil.
type Contacts func() []directory.Contact

// Controller follows the list. Its methods are safe for concurrent use.
type Controller struct {
	cfg      Config
	list     platform.VMList
	contacts Contacts
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time

	mu       sync.RWMutex
	view     directory.View
	departed map[api.VMID]time.Time // dropped from the view, absent since
}

// New returns a controller that has not read the list yet.
func New(cfg Config, list platform.VMList, contacts Contacts, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	if contacts == nil {
		contacts = func() []directory.Contact { return nil }
	}
	return &Controller{
		cfg: cfg, list: list, contacts: contacts, machine: machine, proposer: proposer, auth: auth,
		counters: counters, log: log, clock: clock, departed: make(map[api.VMID]time.Time),
	}
}

// Run follows the list until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, c.cfg.PollInterval, nil, c.Step)
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
	journaled := c.journaled()
	c.take(now, vms, journaled)
	epoch, ok, _ := c.auth.Cell(now)
	if !ok {
		return
	}
	seen, gone := c.changes(journaled)
	if len(seen)+len(gone) == 0 {
		return
	}
	if err := c.proposer.Propose(ctx, cell.VMUpdateEntry(epoch, seen, gone)); err != nil {
		c.counters.Inc("vm_list", "not_journaled")
		return
	}
	c.log.WithFields(logrus.Fields{"seen": len(seen), "gone": len(gone), "epoch": epoch}).Info("vms_changed")
}

// journaled returns the VMs that the log holds.
func (c *Controller) journaled() map[api.VMID]cell.VMView {
	journaled := make(map[api.VMID]cell.VMView)
	for _, v := range c.machine.VMs() {
		journaled[v.ID] = v
	}
	return journaled
}

// take merges a fresh list into what is believed.
func (c *Controller) take(now time.Time, vms []api.VM, journaled map[api.VMID]cell.VMView) {
	contacts := c.contacts()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := adopt(c.view.ApplyContacts(contacts), journaled, now)
	next, events := directory.Merge(c.cfg.Directory, known, vms, true, now)
	for _, e := range events {
		c.note(e, known)
	}
	maps.DeleteFunc(c.departed, func(_ api.VMID, since time.Time) bool { return now.Sub(since) > departedFor })
	c.view = next
}

// note counts an event and remembers what was dropped. c.mu is held.
func (c *Controller) note(e directory.Event, known directory.View) {
	c.counters.Inc("vm_list", api.Reason(e.Type))
	switch e.Type {
	case directory.EventDropped:
		c.departed[e.VM] = known.Entries[e.VM].MissingSince
	case directory.EventAdded:
		delete(c.departed, e.VM)
	}
}

// adopt adds what an earlier holder journaled and this process has not seen:
// it counts as missing from now on, and is given the time to show.
func adopt(view directory.View, journaled map[api.VMID]cell.VMView, now time.Time) directory.View {
	for id, v := range journaled {
		if _, known := view.Entries[id]; known || v.Removed {
			continue
		}
		if view.Entries == nil {
			view.Entries = make(map[api.VMID]directory.Entry)
		}
		vm := api.VM{ID: id, Rack: v.Rack, Capacity: v.Capacity}
		view.Entries[id] = directory.Entry{VM: vm, MissingSince: now}
	}
	return view
}

// changes compares what is believed with what the log holds.
func (c *Controller) changes(journaled map[api.VMID]cell.VMView) (seen []cell.ObservedVM, gone []api.VMID) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, id := range slices.Sorted(maps.Keys(c.view.Entries)) {
		entry := c.view.Entries[id]
		if !entry.IsMissing() && isWorker(entry.VM) && differs(entry.VM, journaled[id]) {
			seen = append(seen, cell.ObservedVM{ID: id, Rack: entry.VM.Rack, Capacity: entry.VM.Capacity})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(journaled)) {
		if _, believed := c.view.Entries[id]; !believed && !journaled[id].Removed {
			gone = append(gone, id)
		}
	}
	return seen, gone
}

// isWorker tells a worker VM from an entry VM, which runs no tasks.
func isWorker(vm api.VM) bool { return !vm.Capacity.IsZero() }

func differs(vm api.VM, v cell.VMView) bool {
	return v.ID == "" || v.Removed || v.Rack != vm.Rack || v.Capacity != vm.Capacity
}

// VMs returns the VMs as believed: those listed, and those missing from the
// list that are not given up.
func (c *Controller) VMs() []api.VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	vms := make([]api.VM, 0, len(c.view.Entries))
	for _, entry := range c.view.Entries {
		vms = append(vms, entry.VM)
	}
	return vms
}

// Leaving reports whether the list says that a VM is leaving.
func (c *Controller) Leaving(id api.VMID) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view.Entries[id].VM.State == api.VMLeaving
}

// MissingDurations returns for how long the list, while it could be read, has lacked
// each VM that it once held.
func (c *Controller) MissingDurations(now time.Time) map[api.VMID]time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	absent := make(map[api.VMID]time.Duration)
	for id, since := range c.departed {
		absent[id] = now.Sub(since)
	}
	for id, entry := range c.view.Entries {
		if entry.IsMissing() {
			absent[id] = now.Sub(entry.MissingSince)
		}
	}
	return absent
}
