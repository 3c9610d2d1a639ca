// Package vms is the controller that keeps the directory of worker VMs. It
// polls the platform's VM list, which lags behind, and journals added, changed
// and removed VMs for the ledger.
//
// A list that can't be read, or that shrinks too much at once, changes nothing,
// so that VMs that still answer keep their tasks.
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
	PollInterval time.Duration // time between two reads of the list
	Timeout      time.Duration // limit for reading the list and proposing the changes
	Directory    directory.Config
}

// removalGracePeriod is how long a VM is missing from trusted lists before it is
// removed. It covers the lag of the list.
const removalGracePeriod = 30 * time.Second

// removedRetention is how long a removed VM is remembered as missing.
const removedRetention = time.Hour

// DefaultConfig returns the production settings.
func DefaultConfig(dc api.DataCentre) Config {
	return Config{
		DataCentre:   dc,
		PollInterval: time.Second,
		Timeout:      3 * time.Second,
		Directory:    directory.Config{GracePeriod: removalGracePeriod},
	}
}

// Contacts returns which VMs have answered recently. It may be nil.
type Contacts func() []directory.Contact

// Controller tracks the VM list. Its methods are safe for concurrent use.
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

	mu           sync.RWMutex
	view         directory.View
	removedSince map[api.VMID]time.Time // VMs removed from the view, with the time since when they were missing
}

// New returns a controller that has not read the list yet.
func New(cfg Config, list platform.VMList, contacts Contacts, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	if contacts == nil {
		contacts = func() []directory.Contact { return nil }
	}
	return &Controller{
		cfg: cfg, list: list, contacts: contacts, machine: machine, proposer: proposer, auth: auth,
		counters: counters, log: log, clock: clock, removedSince: make(map[api.VMID]time.Time),
	}
}

// Run reads the list periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, c.cfg.PollInterval, nil, c.Step)
}

// Step reads the list once and proposes the changes.
func (c *Controller) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	vms, err := c.list.List(ctx, c.cfg.DataCentre)
	if err != nil {
		c.counters.Inc("vm_list", "unreachable")
		return
	}
	now := c.clock()
	journaledVMs := c.journaledVMs()
	c.mergeList(now, vms, journaledVMs)
	epoch, ok, _ := c.auth.Cell(now)
	if !ok {
		return
	}
	observed, removed := c.changes(journaledVMs)
	if len(observed)+len(removed) == 0 {
		return
	}
	if err := c.proposer.Propose(ctx, cell.VMUpdateEntry(epoch, observed, removed)); err != nil {
		c.counters.Inc("vm_list", "not_journaled")
		return
	}
	c.log.WithFields(logrus.Fields{"seen": len(observed), "gone": len(removed), "epoch": epoch}).Info("vms_changed")
}

// journaledVMs returns the VMs in the state machine of the log.
func (c *Controller) journaledVMs() map[api.VMID]cell.VMView {
	journaledVMs := make(map[api.VMID]cell.VMView)
	for _, v := range c.machine.VMs() {
		journaledVMs[v.ID] = v
	}
	return journaledVMs
}

// mergeList merges a newly read list into the view.
func (c *Controller) mergeList(now time.Time, vms []api.VM, journaled map[api.VMID]cell.VMView) {
	contacts := c.contacts()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := addJournaled(c.view.ApplyContacts(contacts), journaled, now)
	next, events := directory.Merge(c.cfg.Directory, known, vms, true, now)
	for _, e := range events {
		c.recordEvent(e, known)
	}
	maps.DeleteFunc(c.removedSince, func(_ api.VMID, since time.Time) bool { return now.Sub(since) > removedRetention })
	c.view = next
}

// recordEvent counts an event and remembers removed VMs. c.mu must be held.
func (c *Controller) recordEvent(e directory.Event, known directory.View) {
	c.counters.Inc("vm_list", api.Reason(e.Type))
	switch e.Type {
	case directory.EventDropped:
		c.removedSince[e.VM] = known.Entries[e.VM].MissingSince
	case directory.EventAdded:
		delete(c.removedSince, e.VM)
	}
}

// addJournaled adds VMs that an earlier holder journaled and this process has not
// seen in a list. They count as missing from now on and get the full grace period
// to appear.
func addJournaled(view directory.View, journaled map[api.VMID]cell.VMView, now time.Time) directory.View {
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

// changes compares the view with the VMs in the log.
func (c *Controller) changes(journaled map[api.VMID]cell.VMView) (observed []cell.ObservedVM, removed []api.VMID) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, id := range slices.Sorted(maps.Keys(c.view.Entries)) {
		entry := c.view.Entries[id]
		if !entry.IsMissing() && isWorker(entry.VM) && isChanged(entry.VM, journaled[id]) {
			observed = append(observed, cell.ObservedVM{ID: id, Rack: entry.VM.Rack, Capacity: entry.VM.Capacity})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(journaled)) {
		if _, known := c.view.Entries[id]; !known && !journaled[id].Removed {
			removed = append(removed, id)
		}
	}
	return observed, removed
}

// isWorker tells worker VMs from entry VMs, which have no capacity for tasks.
func isWorker(vm api.VM) bool { return !vm.Capacity.IsZero() }

func isChanged(vm api.VM, v cell.VMView) bool {
	return v.ID == "" || v.Removed || v.Rack != vm.Rack || v.Capacity != vm.Capacity
}

// VMs returns the listed VMs and those missing from the list that are not removed
// yet.
func (c *Controller) VMs() []api.VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	vms := make([]api.VM, 0, len(c.view.Entries))
	for _, entry := range c.view.Entries {
		vms = append(vms, entry.VM)
	}
	return vms
}

// Leaving reports whether the list marks a VM as leaving.
func (c *Controller) Leaving(id api.VMID) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.view.Entries[id].VM.State == api.VMLeaving
}

// MissingDurations returns for how long each formerly listed VM has been missing
// from the lists that could be read.
func (c *Controller) MissingDurations(now time.Time) map[api.VMID]time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	missing := make(map[api.VMID]time.Duration)
	for id, since := range c.removedSince {
		missing[id] = now.Sub(since)
	}
	for id, entry := range c.view.Entries {
		if entry.IsMissing() {
			missing[id] = now.Sub(entry.MissingSince)
		}
	}
	return missing
}
