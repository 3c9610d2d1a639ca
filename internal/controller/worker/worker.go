// Package worker is the controller that synchronizes worker VMs with the log. One
// exchange with a VM renews its lease, sends starts and stops and returns the
// status of its tasks.
//
// The controller is level-triggered: each exchange compares the tasks of the VM in
// the log with those that the VM reports. A lost message therefore loses no change,
// and a new holder of the cell starts from the same two states.
package worker

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/lease"
	"github.com/skylarklock/skylarklock/internal/platform"
)

// Directory returns the VMs with their addresses.
type Directory interface {
	VMs() []api.VM
}

// Observer learns from reports, to estimate resource use and run time and to detect
// VMs on which tasks fail. Its methods are called concurrently and must return
// quickly.
type Observer interface {
	// ObserveReport is called for each attempt in each report.
	ObserveReport(vm api.VMID, r platform.TaskReport)
	// ObserveEnd is called once for each attempt whose end was journaled.
	ObserveEnd(vm api.VMID, task api.TaskID, attempt uint32, ending cell.AttemptStatus)
	// TakeThrottles returns the attempts on vm to limit to their declared use.
	TakeThrottles(vm api.VMID) []platform.TaskStop
}

// Config holds the controller's settings.
type Config struct {
	Lease         lease.Params
	Interval      time.Duration // between exchanges with a VM without changes
	MinInterval   time.Duration // between exchanges with a VM with changes
	RetryInterval time.Duration // after an exchange without an answer, until the lease has expired
	TickInterval  time.Duration // between checks for VMs that are due
	Timeout       time.Duration // of an exchange with a VM that answered the previous one
	Concurrency   int           // maximum number of such exchanges in progress
	FlushInterval time.Duration // maximum delay of a report before it is journaled
	MaxBatch      int           // maximum number of reports in one entry
	MaxBackoff    time.Duration // maximum interval between exchanges with a VM whose lease has expired

	ProbeTimeout     time.Duration // of an exchange with a VM that did not answer the previous one
	ProbeConcurrency int           // maximum number of such exchanges in progress
	RefreshInterval  time.Duration // between two reads of the directory
}

// DefaultConfig returns the production settings.
func DefaultConfig(p lease.Params) Config {
	return Config{
		Lease:         p,
		Interval:      p.Lease / 4,
		MinInterval:   50 * time.Millisecond,
		RetryInterval: p.Lease / 12,
		TickInterval:  20 * time.Millisecond,
		Timeout:       p.Lease / 4,
		Concurrency:   128,
		FlushInterval: 20 * time.Millisecond,
		MaxBatch:      2000,
		MaxBackoff:    p.Lease,

		ProbeTimeout:     p.Lease / 20,
		ProbeConcurrency: 256,
		RefreshInterval:  500 * time.Millisecond,
	}
}

// tenure is a period during which this entry VM holds the cell shard.
type tenure struct {
	epoch    api.Epoch
	takeover time.Time
}

// Controller exchanges with the VMs. Its methods are safe for concurrent use.
type Controller struct {
	cfg       Config
	machine   *cell.StateMachine
	workers   platform.Worker
	directory Directory
	auth      controller.Authority
	observer  Observer
	counters  cell.Counters
	log       logrus.FieldLogger
	clock     func() time.Time
	batcher   *batcher
	slots     chan struct{} // limits concurrent exchanges
	probes    chan struct{} // limits concurrent exchanges with VMs that may not answer

	mu          sync.RWMutex
	tenure      tenure
	vms         map[api.VMID]*vm
	refreshedAt time.Time // zero if a refresh is due
}

// counterGroup is the counter group of this package.
const counterGroup = "worker_sync"

// New returns a controller that is subscribed to machine.
func New(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, workers platform.Worker, directory Directory, auth controller.Authority, observer Observer, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, machine: machine, workers: workers, directory: directory, auth: auth, observer: observer,
		counters: counters, log: log, clock: clock,
		slots:  make(chan struct{}, cfg.Concurrency),
		probes: make(chan struct{}, cfg.ProbeConcurrency),
		vms:    make(map[api.VMID]*vm),
	}
	c.batcher = newBatcher(cfg, machine, proposer, auth, counters, clock)
	machine.Subscribe(c.handleEvents)
	return c
}

// handleEvents marks the VMs for which there are new orders. After a restore it
// restarts the tenure, because the entries applied in between are unknown.
func (c *Controller) handleEvents(events []cell.Event) {
	if events[0].Kind == cell.EventRestored {
		c.mu.Lock()
		c.tenure = tenure{}
		c.mu.Unlock()
		return
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, e := range events {
		switch e.Kind {
		case cell.EventTaskStarted, cell.EventTaskStopping:
			if v := c.vms[e.VM]; v != nil {
				v.changed.Store(true)
			}
		}
		if e.Kind == cell.EventTaskFreed {
			c.observer.ObserveEnd(e.VM, e.Task, e.Attempt, endedStatus(e))
		}
	}
}

// Run exchanges with the VMs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.batcher.run(ctx) })
	return controller.RunPeriodically(ctx, c.cfg.TickInterval, nil, func(ctx context.Context) { c.step(ctx, &running) })
}

// step starts the exchanges that are due.
func (c *Controller) step(ctx context.Context, running *sync.WaitGroup) {
	now := c.clock()
	epoch, ok, takeover := c.auth.Cell(now)
	if !ok {
		return
	}
	c.startTenure(tenure{epoch: epoch, takeover: takeover})
	c.refreshVMs(now)
	for _, d := range c.dueVMs(now) {
		if d.leaseExpired {
			c.expireLease(d.vm, now, c.machine.TasksOnVM(d.vm.id))
		}
		c.startExchange(ctx, running, d, now)
	}
}

// startExchange starts an exchange if the number in progress is below its limit. VMs
// that may not answer have a separate limit, so that they can't delay the lease
// renewals of the others.
func (c *Controller) startExchange(ctx context.Context, running *sync.WaitGroup, d dueVM, now time.Time) {
	slots, timeout := c.slots, c.cfg.Timeout
	if d.isProbe {
		slots, timeout = c.probes, c.cfg.ProbeTimeout
	}
	select {
	case slots <- struct{}{}:
	default:
		c.counters.Inc(counterGroup, "no_room")
		return
	}
	d.vm.beginExchange(now)
	running.Go(func() {
		defer func() { <-slots }()
		c.exchange(ctx, d.vm, timeout)
	})
}

// startTenure starts a tenure. All tasks that hold VMs in the log may have been sent
// to the VMs by an earlier holder.
func (c *Controller) startTenure(t tenure) {
	c.mu.RLock()
	same := c.tenure == t
	c.mu.RUnlock()
	if same {
		return
	}
	vms := 0
	// No entry is applied during View, so no start is missed.
	c.machine.View(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tenure = t
		c.refreshedAt = time.Time{}
		c.vms = make(map[api.VMID]*vm)
		for _, view := range c.machine.VMs() {
			v := newVM(api.VM{ID: view.ID}, t, c.cfg)
			for _, task := range c.machine.TasksOnVM(view.ID) {
				v.tracker.Inherit(lease.Attempt{Task: task.Task, Attempt: task.Attempt})
			}
			c.vms[view.ID] = v
		}
		vms = len(c.vms)
	})
	c.log.WithFields(logrus.Fields{"epoch": t.epoch, "vms": vms}).Info("worker_tenure_began")
}

// refreshVMs updates the addresses, adds new VMs and drops those that are no longer
// in the log.
func (c *Controller) refreshVMs(now time.Time) {
	c.mu.Lock()
	isFresh := now.Sub(c.refreshedAt) < c.cfg.RefreshInterval
	if !isFresh {
		c.refreshedAt = now
	}
	c.mu.Unlock()
	if isFresh {
		return
	}
	listed := make(map[api.VMID]api.VM)
	for _, vm := range c.directory.VMs() {
		listed[vm.ID] = vm
	}
	journaled := c.machine.VMs()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := make(map[api.VMID]bool, len(journaled))
	for _, view := range journaled {
		known[view.ID] = true
		v := c.vms[view.ID]
		if v == nil {
			v = newVM(api.VM{ID: view.ID}, c.tenure, c.cfg)
			c.vms[view.ID] = v
		}
		if vm, ok := listed[view.ID]; ok {
			v.setAddress(vm)
		}
	}
	for id := range c.vms {
		if !known[id] {
			delete(c.vms, id)
		}
	}
}

// dueVMs returns the VMs whose exchange is due, longest waiting first.
func (c *Controller) dueVMs(now time.Time) []dueVM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var due []dueVM
	for _, v := range c.vms {
		if d, ok := v.checkDue(now); ok {
			due = append(due, d)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].before(due[j]) })
	return due
}

// Status is the status of the exchanges with a VM.
type Status struct {
	IsResponsive bool // reported in this tenure, less than half a lease ago
	Leaving      bool // the VM reports that it is leaving
	// LeaseExpiresAt is when every lease granted to the VM has certainly expired.
	LeaseExpiresAt time.Time
}

// Status returns the status of a VM, or false if it is unknown.
func (c *Controller) Status(id api.VMID) (Status, bool) {
	c.mu.RLock()
	v := c.vms[id]
	c.mu.RUnlock()
	if v == nil {
		return Status{}, false
	}
	return v.status(c.clock()), true
}
