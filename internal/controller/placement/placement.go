// Package placement is the controller that turns pending tasks into starts:
// it feeds the scheduler's world from the machine's events, runs its cycles
// and proposes what they planned.
//
// One goroutine owns the world. What became of a start is learned from the
// machine's events, in log order, and never from the answer of an append.
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

// SchedulerState is the scheduler's state as this controller feeds it.
type SchedulerState interface {
	PutVM(scheduler.VM)
	RemoveVM(api.VMID)
	PutJob(scheduler.Job)
	RemoveJob(api.JobID)
	// Occupy tells that a start was applied.
	Occupy(scheduler.RunningTask)
	// Vacate tells that a task holds its VM no longer.
	Vacate(api.TaskID)
	// Release tells that a planned start was rejected or given up.
	Release(api.TaskID)
	// Cycle plans at most maxStarts starts and reserves them.
	Cycle(now time.Time, maxStarts int) scheduler.Plan
}

// VMSource gives the VMs as the scheduler should see them.
type VMSource interface {
	VMs() []scheduler.VM
}

// Advisor gives what was learned about jobs.
type Advisor interface {
	// Estimate returns the resources and the run time to plan each task of a
	// job with; a run time of zero is not known.
	Estimate(spec api.JobSpec) (api.Resources, time.Duration)
	// VMsToAvoid returns the VMs on which tasks of a job failed.
	VMsToAvoid(job api.JobID) map[api.VMID]bool
}

// Config holds the controller's settings.
type Config struct {
	DataCentre        api.DataCentre
	MaxStarts         int           // in one cycle
	MaxBatch          int           // starts in one entry
	MaxInFlight       int           // entries of starts under way at once
	CycleInterval     time.Duration // between two cycles while anything changes
	IdleCycleInterval time.Duration // between two cycles while nothing does
	VMRefreshInterval time.Duration // between two looks at the VMs
}

// DefaultConfig returns the settings used in production.
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

// counterGroup is the group of this package's counters.
const counterGroup = "placement"

// Controller places tasks while this entry VM holds the cell shard.
type Controller struct {
	cfg      Config
	newWorld func() SchedulerState
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	fleet    VMSource
	advisor  Advisor
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time

	mu       sync.Mutex
	queue    []cell.Event // applied, not yet fed
	refused  []cell.Start // of entries that were rejected whole or not written
	overflow bool         // events were dropped: build the world anew
	holding  bool         // events are wanted

	feed  *feed // nil outside a tenure
	slots chan struct{}
}

// maxQueue bounds the events waiting for the loop.
const maxQueue = 500_000

// New returns a controller. newWorld returns an empty world for each tenure.
// New subscribes to machine.
func New(cfg Config, newWorld func() SchedulerState, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, fleet VMSource, advisor Advisor, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, newWorld: newWorld, machine: machine, proposer: proposer, auth: auth, fleet: fleet,
		advisor: advisor, counters: counters, log: log, clock: clock,
		slots: make(chan struct{}, cfg.MaxInFlight),
	}
	machine.Subscribe(c.applied)
	return c
}

// applied queues events for the loop.
func (c *Controller) applied(events []cell.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holding {
		return
	}
	if len(c.queue)+len(events) > maxQueue {
		c.queue = nil
		c.overflow = true
		return
	}
	c.queue = append(c.queue, events...)
}

// Run places tasks until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	return controller.RunPeriodically(ctx, c.cfg.CycleInterval, nil, func(ctx context.Context) { c.step(ctx, &running) })
}

// step does one round: authority, events, VMs, a cycle, proposals.
func (c *Controller) step(ctx context.Context, running *sync.WaitGroup) {
	now := c.clock()
	epoch, ok, takeover := c.auth.Cell(now)
	if !ok {
		c.leave()
		return
	}
	if c.feed == nil || c.feed.epoch != epoch || !c.feed.takeover.Equal(takeover) || c.overflowed() {
		c.enter(epoch, takeover, now)
	}
	events, refused := c.drain()
	c.feed.refuse(refused)
	for _, e := range events {
		if e.Kind == cell.EventRestored {
			c.enter(epoch, takeover, now)
			break
		}
		c.feed.event(e, now)
	}
	changed := c.feed.refreshVMs(now)
	changed = c.feed.putDirtyJobs() || changed || len(events)+len(refused) > 0
	if !changed && now.Sub(c.feed.cycledAt) < c.cfg.IdleCycleInterval {
		return
	}
	if len(c.slots) == cap(c.slots) {
		c.counters.Inc(counterGroup, "journal_busy")
		return
	}
	c.plan(ctx, running, now)
}

// leave ends a tenure.
func (c *Controller) leave() {
	if c.feed == nil {
		return
	}
	c.feed = nil
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holding = false
	c.queue = nil
	c.refused = nil
}

// enter builds the world from the machine, with no entry applied meanwhile.
func (c *Controller) enter(epoch api.Epoch, takeover, now time.Time) {
	c.machine.View(func() {
		c.mu.Lock()
		c.holding = true
		c.overflow = false
		c.queue = nil
		c.refused = nil
		c.mu.Unlock()
		c.feed = newFeed(c, epoch, takeover, now)
	})
	c.log.WithFields(logrus.Fields{"epoch": epoch, "jobs": len(c.feed.jobs)}).Info("placement_tenure_began")
}

func (c *Controller) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflow
}

func (c *Controller) drain() ([]cell.Event, []cell.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	events, refused := c.queue, c.refused
	c.queue, c.refused = nil, nil
	return events, refused
}

// plan runs one cycle and proposes its outcome.
func (c *Controller) plan(ctx context.Context, running *sync.WaitGroup, now time.Time) {
	c.feed.cycledAt = now
	plan := c.feed.world.Cycle(now, c.cfg.MaxStarts)
	c.feed.noteWaits(plan)
	for _, batch := range c.feed.starts(plan.Starts, c.cfg.MaxBatch) {
		c.propose(ctx, running, c.feed.epoch, batch)
	}
	if stops := c.feed.preempts(plan.Preemptions); len(stops) > 0 {
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
	c.giveUp(skipped)
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
		if wholeRejected(err) {
			c.counters.Inc(counterGroup, "entry_refused")
			c.giveUp(starts)
		}
	})
}

// giveUp hands starts that won't be applied to the loop.
func (c *Controller) giveUp(starts []cell.Start) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holding {
		c.refused = append(c.refused, starts...)
	}
}
