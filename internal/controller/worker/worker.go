// Package worker is the controller that keeps worker VMs in step with the
// log: one exchange per VM renews the lease, passes on starts and stops and
// brings back what the VM runs.
//
// It is level-triggered. Each exchange compares what the log says the VM
// holds with what the VM reports; no change is lost with a message, and a
// new holder of the cell begins from the same two states.
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

// Directory gives the addresses of the VMs.
type Directory interface {
	VMs() []api.VM
}

// Observer learns from reports: estimates of use and time, and VMs that fail
// what they start. Its methods are called concurrently and must return soon.
type Observer interface {
	// ObserveReport tells of each attempt in each report.
	ObserveReport(vm api.VMID, r platform.TaskReport)
	// ObserveEnd tells once of each attempt whose end was journaled.
	ObserveEnd(vm api.VMID, task api.TaskID, ending cell.AttemptStatus)
	// TakeThrottles returns the attempts on vm to be held to their declared use.
	TakeThrottles(vm api.VMID) []platform.TaskStop
}

// Config holds the controller's settings.
type Config struct {
	Lease         lease.Params
	Interval      time.Duration // between exchanges with a VM that has no changes
	MinInterval   time.Duration // between exchanges with a VM that has changes
	RetryInterval time.Duration // after an exchange without an answer, while the lease may hold
	TickInterval  time.Duration // between two looks for VMs that are due
	Timeout       time.Duration // of an exchange with a VM that answered the last
	Concurrency   int           // such exchanges under way at once
	FlushInterval time.Duration // longest wait of a report for its entry
	MaxBatch      int           // reports in one entry
	MaxBackoff    time.Duration // longest pause between exchanges with a VM whose lease has lapsed

	ProbeTimeout     time.Duration // of an exchange with any other VM
	ProbeConcurrency int           // such exchanges under way at once
	RefreshInterval  time.Duration // between two looks at the directory
}

// DefaultConfig returns the settings used in production.
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

// tenure is one time of holding the cell shard.
type tenure struct {
	epoch    api.Epoch
	takeover time.Time
}

// Controller syncs the VMs. Its methods are safe for concurrent use.
type Controller struct {
	cfg      Config
	machine  *cell.StateMachine
	workers  platform.Worker
	dir      Directory
	auth     controller.Authority
	observer Observer
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time
	journal  *batcher
	slots    chan struct{} // bounds the exchanges under way
	probes   chan struct{} // bounds those with VMs that may not answer

	mu          sync.RWMutex
	tenure      tenure
	vms         map[api.VMID]*vm
	refreshedAt time.Time // zero: the VMs have changed
}

// counterGroup is the group of this package's counters.
const counterGroup = "worker_sync"

// New returns a controller. It subscribes to machine.
func New(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, workers platform.Worker, dir Directory, auth controller.Authority, observer Observer, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, machine: machine, workers: workers, dir: dir, auth: auth, observer: observer,
		counters: counters, log: log, clock: clock,
		slots:  make(chan struct{}, cfg.Concurrency),
		probes: make(chan struct{}, cfg.ProbeConcurrency),
		vms:    make(map[api.VMID]*vm),
	}
	c.journal = newBatcher(cfg, machine, proposer, auth, counters, clock)
	machine.Subscribe(c.applied)
	return c
}

// applied marks the VMs that have something to be told. After a restore the
// tenure begins anew: what was applied in between is not known.
func (c *Controller) applied(events []cell.Event) {
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
			c.observer.ObserveEnd(e.VM, e.Task, endingOf(e))
		}
	}
}

// Run syncs the VMs until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.journal.run(ctx) })
	return controller.RunPeriodically(ctx, c.cfg.TickInterval, nil, func(ctx context.Context) { c.step(ctx, &running) })
}

// step starts the exchanges that are due.
func (c *Controller) step(ctx context.Context, running *sync.WaitGroup) {
	now := c.clock()
	epoch, ok, takeover := c.auth.Cell(now)
	if !ok {
		return
	}
	c.enter(tenure{epoch: epoch, takeover: takeover})
	c.refresh(now)
	for _, d := range c.due(now) {
		if d.lapsing {
			c.lapse(d.vm, now, c.machine.TasksOnVM(d.vm.id))
		}
		c.launch(ctx, running, d, now)
	}
}

// launch starts an exchange if there is room for it. VMs that may not answer
// have room of their own, so that they can't keep the others from their
// leases.
func (c *Controller) launch(ctx context.Context, running *sync.WaitGroup, d dueVM, now time.Time) {
	room, timeout := c.slots, c.cfg.Timeout
	if d.probe {
		room, timeout = c.probes, c.cfg.ProbeTimeout
	}
	select {
	case room <- struct{}{}:
	default:
		c.counters.Inc(counterGroup, "no_room")
		return
	}
	d.vm.begin(now)
	running.Go(func() {
		defer func() { <-room }()
		c.exchange(ctx, d.vm, timeout)
	})
}

// enter begins a tenure: whatever the log says the VMs hold may have been
// told to them by an earlier holder.
func (c *Controller) enter(t tenure) {
	c.mu.RLock()
	same := c.tenure == t
	c.mu.RUnlock()
	if same {
		return
	}
	vms := 0
	// No entry is applied meanwhile, so that no start falls between.
	c.machine.View(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tenure = t
		c.refreshedAt = time.Time{}
		c.vms = make(map[api.VMID]*vm)
		for _, view := range c.machine.VMs() {
			v := newVM(api.VM{ID: view.ID}, t, c.cfg)
			for _, held := range c.machine.TasksOnVM(view.ID) {
				v.tracker.Inherit(lease.Attempt{Task: held.Task, Attempt: held.Attempt})
			}
			c.vms[view.ID] = v
		}
		vms = len(c.vms)
	})
	c.log.WithFields(logrus.Fields{"epoch": t.epoch, "vms": vms}).Info("worker_tenure_began")
}

// refresh takes over addresses, adds VMs and drops those that the log has
// forgotten.
func (c *Controller) refresh(now time.Time) {
	c.mu.Lock()
	fresh := now.Sub(c.refreshedAt) < c.cfg.RefreshInterval
	if !fresh {
		c.refreshedAt = now
	}
	c.mu.Unlock()
	if fresh {
		return
	}
	listed := make(map[api.VMID]api.VM)
	for _, vm := range c.dir.VMs() {
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

// due returns the VMs to sync now, those waiting longest first.
func (c *Controller) due(now time.Time) []dueVM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var due []dueVM
	for _, v := range c.vms {
		if d, ok := v.due(now); ok {
			due = append(due, d)
		}
	}
	sort.Slice(due, func(i, j int) bool { return due[i].before(due[j]) })
	return due
}

// Status is how a VM stands with this controller.
type Status struct {
	IsResponsive bool // reported in this tenure, not longer than half a lease ago
	Leaving      bool // says so in its reports
	// LeaseExpiresAt is when every lease given to it has certainly lapsed.
	LeaseExpiresAt time.Time
}

// Status returns how a VM stands; false when it is not known here.
func (c *Controller) Status(id api.VMID) (Status, bool) {
	c.mu.RLock()
	v := c.vms[id]
	c.mu.RUnlock()
	if v == nil {
		return Status{}, false
	}
	return v.status(c.clock()), true
}
