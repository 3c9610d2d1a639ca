package recovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// LeavingVMs tells which VMs leave.
type LeavingVMs interface {
	Leaving(id api.VMID) bool
}

// Config holds the controller's settings.
type Config struct {
	Interval time.Duration // between two looks at the VMs and gangs
}

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{Interval: 250 * time.Millisecond}
}

// counterGroup is the group of this package's counters.
const counterGroup = "recovery"

// Controller moves work off leaving VMs, keeps gangs whole and reports what
// was lost together.
type Controller struct {
	cfg      Config
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	leavers  LeavingVMs
	counters cell.Counters
	log      logrus.FieldLogger
	clock    func() time.Time

	mu    sync.Mutex
	gangs map[api.JobID]bool // jobs of which a task fell out; nil: look at all
	lost  map[api.VMID]int   // attempts lost on each VM since the last round
}

// New returns a controller. It subscribes to machine.
func New(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, leavers LeavingVMs, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, machine: machine, proposer: proposer, auth: auth, leavers: leavers,
		counters: counters, log: log, clock: clock,
		lost: make(map[api.VMID]int),
	}
	machine.Subscribe(c.applied)
	return c
}

func (c *Controller) applied(events []cell.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		switch e.Kind {
		case cell.EventTaskFreed:
			c.freed(e)
		case cell.EventRestored:
			clear(c.lost)
			c.gangs = nil
		}
	}
}

func (c *Controller) freed(e cell.Event) {
	if e.State == api.TaskPending && c.gangs != nil {
		c.gangs[e.Task.Job] = true // whether it is a gang is looked up in the round
	}
	switch e.Reason {
	case api.ReasonLeaseExpired, api.ReasonWorkerLost, api.ReasonWorkerRestart:
		c.lost[e.VM]++
	}
}

// Run recovers until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, c.cfg.Interval, nil, c.Step)
}

// Step does one round.
func (c *Controller) Step(ctx context.Context) {
	c.tell(c.takeLost())
	epoch, ok, _ := c.auth.Cell(c.clock())
	if !ok {
		c.forgetGangs()
		return
	}
	stops := c.regroup(c.candidates())
	more, replace := c.drain()
	c.proposeStops(ctx, epoch, append(stops, more...))
	c.proposeReplacements(ctx, epoch, replace)
}

func (c *Controller) takeLost() map[api.VMID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := c.lost
	c.lost = make(map[api.VMID]int)
	return lost
}

// forgetGangs keeps an entry VM that does not act from collecting names.
func (c *Controller) forgetGangs() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangs = nil
}

// candidates lists the jobs to look at: all of them at first.
func (c *Controller) candidates() []api.JobID {
	c.mu.Lock()
	all := c.gangs == nil
	if all {
		c.gangs = make(map[api.JobID]bool)
	}
	c.mu.Unlock()
	var jobs []api.JobID
	if all {
		jobs = c.machine.Jobs()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range jobs {
		c.gangs[id] = true
	}
	list := make([]api.JobID, 0, len(c.gangs))
	for id := range c.gangs {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// settled drops a job from the gangs to look at.
func (c *Controller) settled(id api.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.gangs, id)
}

// regroup stops the rest of each gang of which a part fell out.
func (c *Controller) regroup(candidates []api.JobID) []cell.Stop {
	var stops []cell.Stop
	for _, id := range candidates {
		job, ok := c.machine.Job(id)
		if !ok || !IsGangBroken(job) {
			c.settled(id)
			continue
		}
		for _, h := range c.machine.AllocatedTasks(id) {
			if h.State != api.TaskStopping {
				stops = append(stops, stopOf(h, job.Spec.Checkpointable, api.ReasonGangWaiting))
			}
		}
	}
	return stops
}

func stopOf(h cell.AllocatedTask, checkpoint bool, reason api.Reason) cell.Stop {
	return cell.Stop{Task: h.Task, Attempt: h.Attempt, Checkpoint: checkpoint, Reason: reason}
}

// drain decides the next moves on all leaving VMs.
func (c *Controller) drain() ([]cell.Stop, map[api.JobID][]cell.AllocatedTask) {
	var stops []cell.Stop
	replace := make(map[api.JobID][]cell.AllocatedTask)
	for _, vm := range c.machine.VMs() {
		if !c.leavers.Leaving(vm.ID) {
			continue
		}
		for _, h := range c.machine.TasksOnVM(vm.ID) {
			job, ok := c.machine.Job(h.Task.Job)
			if !ok {
				continue
			}
			switch c.next(job, h) {
			case ActionReplace:
				replace[h.Task.Job] = append(replace[h.Task.Job], h)
			case ActionStop:
				stops = append(stops, stopOf(h, true, api.ReasonDrained))
			}
		}
	}
	return stops, replace
}

func (c *Controller) next(job cell.JobView, h cell.AllocatedTask) DrainAction {
	if !h.HasReplacement {
		return NextDrainAction(job.Spec, h, api.TaskPending, false)
	}
	replacement, ok := c.machine.Replacement(h.Task)
	return NextDrainAction(job.Spec, h, replacement.State, ok)
}

func (c *Controller) proposeStops(ctx context.Context, epoch api.Epoch, stops []cell.Stop) {
	if len(stops) == 0 {
		return
	}
	if err := c.proposer.Propose(ctx, c.machine.StopEntry(epoch, stops)); err != nil {
		c.counters.Inc(counterGroup, "stops_rejected")
	}
}

func (c *Controller) proposeReplacements(ctx context.Context, epoch api.Epoch, replace map[api.JobID][]cell.AllocatedTask) {
	for id, tasks := range replace {
		entry, ok := c.machine.ReplaceEntry(epoch, id, tasks)
		if !ok {
			continue
		}
		if err := c.proposer.Propose(ctx, entry); err != nil {
			c.counters.Inc(counterGroup, "replacements_rejected")
		}
	}
}

// tell logs what was lost since the last round, whole racks by name.
func (c *Controller) tell(lost map[api.VMID]int) {
	if len(lost) == 0 {
		return
	}
	outage := SummarizeOutage(c.machine.VMs(), lost)
	c.log.WithFields(logrus.Fields{
		"vms":         outage.VMs,
		"attempts":    outage.Attempts,
		"racks":       outage.Racks,
		"data_centre": outage.WholeDataCentre,
	}).Warn("work_lost")
}
