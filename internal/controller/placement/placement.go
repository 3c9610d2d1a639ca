// Package placement is the controller that turns pending tasks into starts. It
// updates the scheduler's state from the events of the state machine, runs
// scheduling cycles and proposes the planned starts and preemptions.
//
// One goroutine owns the scheduler's state. It learns the outcome of a start from
// the events of the state machine, in log order, never from the answer to an append.
package placement

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/scheduler"
)

// SchedulerState is the state of the scheduler that this controller updates.
type SchedulerState interface {
	PutVM(scheduler.VM)
	RemoveVM(api.VMID)
	PutJob(scheduler.Job)
	RemoveJob(api.JobID)
	// Occupy records that a start was applied.
	Occupy(scheduler.RunningTask)
	// Vacate records that a task no longer holds its VM.
	Vacate(api.TaskID)
	// Release records that a planned start was rejected or abandoned.
	Release(api.TaskID)
	// Cycle plans at most maxStarts starts and reserves their capacity.
	Cycle(now time.Time, maxStarts int) scheduler.Plan
}

// VMSource provides the VMs for the scheduler.
type VMSource interface {
	VMs() []scheduler.VM
}

// Advisor provides what was learned about jobs.
type Advisor interface {
	// Estimate returns the resources and run time with which to plan each task of
	// a job. A run time of zero is unknown.
	Estimate(spec api.JobSpec) (api.Resources, time.Duration)
	// VMsToAvoid returns the VMs on which tasks of a job failed.
	VMsToAvoid(job api.JobID) map[api.VMID]bool
}

// Config holds the controller's settings.
type Config struct {
	DataCentre        api.DataCentre
	MaxStarts         int           // maximum number of starts in one cycle
	MaxBatch          int           // maximum number of starts in one entry
	MaxInFlight       int           // maximum number of entries of starts in progress
	CycleInterval     time.Duration // between two cycles while the state changes
	IdleCycleInterval time.Duration // between two cycles while nothing changes
	VMRefreshInterval time.Duration // between two reads of the VMs
}

// DefaultConfig returns the production settings.
func DefaultConfig(dc api.DataCentre) Config {
	return Config{
		DataCentre:        dc,
		MaxStarts:         2000,
		MaxBatch:          500,
		MaxInFlight:       4,
		CycleInterval:     20 * time.Millisecond,
		IdleCycleInterval: 200 * time.Millisecond,
		VMRefreshInterval: 250 * time.Millisecond,
	}
}

// counterGroup is the counter group of this package.
const counterGroup = "placement"

// Controller places tasks while this entry VM holds the cell shard.
type Controller struct {
	cfg      Config
	newState func() SchedulerState
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	vmSource VMSource
	advisor  Advisor
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time

	mu              sync.Mutex
	queuedEvents    []cell.Event // applied to the state machine, but not yet to the scheduler
	rejectedStarts  []cell.Start // starts that will not be applied: their entry was rejected or not written
	queueOverflowed bool         // events were dropped, so the scheduler's state must be rebuilt
	acceptsEvents   bool         // true during a tenure

	feed  *stateFeed // nil outside a tenure
	slots chan struct{}
}

// maxQueuedEvents is the maximum number of events waiting for the loop.
const maxQueuedEvents = 500_000

// New returns a controller that is subscribed to machine. newState returns an empty
// scheduler state for each tenure.
func New(cfg Config, newState func() SchedulerState, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, vmSource VMSource, advisor Advisor, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, newState: newState, machine: machine, proposer: proposer, auth: auth, vmSource: vmSource,
		advisor: advisor, counters: counters, log: log, clock: clock,
		slots: make(chan struct{}, cfg.MaxInFlight),
	}
	machine.Subscribe(c.queueEvents)
	return c
}

// queueEvents queues events for the loop.
func (c *Controller) queueEvents(events []cell.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptsEvents {
		return
	}
	if len(c.queuedEvents)+len(events) > maxQueuedEvents {
		c.queuedEvents = nil
		c.queueOverflowed = true
		return
	}
	c.queuedEvents = append(c.queuedEvents, events...)
}

// Run places tasks until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return controller.RunPeriodically(ctx, c.cfg.CycleInterval, nil, func(ctx context.Context) { c.step(ctx, &running) })
}

// step checks the authority, applies queued events, refreshes the VMs and runs a
// scheduling cycle if needed.
func (c *Controller) step(ctx context.Context, running *sync.WaitGroup) {
	now := c.clock()
	epoch, ok, takeover := c.auth.Cell(now)
	if !ok {
		c.endTenure()
		return
	}
	if c.feed == nil || c.feed.epoch != epoch || !c.feed.takeover.Equal(takeover) || c.hasOverflowed() {
		c.startTenure(epoch, takeover, now)
	}
	events, rejected := c.drainQueue()
	c.feed.releaseStarts(rejected)
	for _, e := range events {
		if e.Kind == cell.EventRestored {
			c.startTenure(epoch, takeover, now)
			break
		}
		c.feed.applyEvent(e, now)
	}
	changed := c.feed.refreshVMs(now)
	changed = c.feed.putDirtyJobs() || changed || len(events)+len(rejected) > 0
	if !changed && now.Sub(c.feed.cycledAt) < c.cfg.IdleCycleInterval {
		return
	}
	if len(c.slots) == cap(c.slots) {
		c.counters.Inc(counterGroup, "journal_busy")
		return
	}
	c.plan(ctx, running, now)
}

// endTenure drops the state of the tenure.
func (c *Controller) endTenure() {
	if c.feed == nil {
		return
	}
	c.feed = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptsEvents = false
	c.queuedEvents = nil
	c.rejectedStarts = nil
}

// startTenure builds the scheduler's state from the state machine while no entry is
// applied.
func (c *Controller) startTenure(epoch api.Epoch, takeover, now time.Time) {
	c.machine.View(func() {
		c.mu.Lock()
		c.acceptsEvents = true
		c.queueOverflowed = false
		c.queuedEvents = nil
		c.rejectedStarts = nil
		c.mu.Unlock()
		c.feed = newStateFeed(c, epoch, takeover, now)
	})
	c.log.WithFields(logrus.Fields{"epoch": epoch, "jobs": len(c.feed.jobs)}).Info("placement_tenure_began")
}

func (c *Controller) hasOverflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queueOverflowed
}

func (c *Controller) drainQueue() ([]cell.Event, []cell.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events, rejected := c.queuedEvents, c.rejectedStarts
	c.queuedEvents, c.rejectedStarts = nil, nil
	return events, rejected
}

// plan runs one scheduling cycle and proposes its starts and preemptions.
func (c *Controller) plan(ctx context.Context, running *sync.WaitGroup, now time.Time) {
	c.feed.cycledAt = now
	plan := c.feed.state.Cycle(now, c.cfg.MaxStarts)
	c.feed.updateWaitReasons(plan)
	for _, batch := range c.feed.starts(plan.Starts, c.cfg.MaxBatch) {
		c.propose(ctx, running, c.feed.epoch, batch)
	}
	if stops := c.feed.preemptionStops(plan.Preemptions); len(stops) > 0 {
		entry := c.machine.StopEntry(c.feed.epoch, stops)
		running.Go(func() {
			if err := c.proposer.Propose(ctx, entry); err != nil {
				c.counters.Inc(counterGroup, "preempt_rejected")
			}
		})
	}
}

// propose journals one entry of starts in the background.
func (c *Controller) propose(ctx context.Context, running *sync.WaitGroup, epoch api.Epoch, starts []cell.Start) {
	entry, skipped := c.machine.StartEntry(epoch, starts)
	c.rejectStarts(skipped)
	if len(skipped) == len(starts) {
		return
	}
	running.Go(func() {
		select {
		case c.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-c.slots }()
		err := c.proposer.Propose(ctx, entry)
		if isEntryRejected(err) {
			c.counters.Inc(counterGroup, "entry_refused")
			c.rejectStarts(starts)
		}
	})
}

// rejectStarts passes starts that will not be applied to the loop.
func (c *Controller) rejectStarts(starts []cell.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.acceptsEvents {
		c.rejectedStarts = append(c.rejectedStarts, starts...)
	}
}
