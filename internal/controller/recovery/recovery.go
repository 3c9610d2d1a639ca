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

// LeavingVMs reports which VMs are leaving.
type LeavingVMs interface {
	Leaving(id api.VMID) bool
}

// Config holds the controller's settings.
type Config struct {
	Interval time.Duration // between two rounds
}

// DefaultConfig returns the production settings.
func DefaultConfig() Config {
	return Config{Interval: 250 * time.Millisecond}
}

// counterGroup is the counter group of this package.
const counterGroup = "recovery"

// Controller drains leaving VMs, stops the remaining tasks of broken gangs and logs
// attempts that were lost together.
type Controller struct {
	cfg        Config
	machine    *cell.StateMachine
	proposer   journal.Proposer
	auth       controller.Authority
	leavingVMs LeavingVMs
	counters   cell.Counters
	log        logrus.FieldLogger
	clock      func() time.Time

	mu             sync.Mutex
	gangCandidates map[api.JobID]bool // jobs that may be broken gangs; nil if all jobs must be checked
	lostAttempts   map[api.VMID]int   // attempts lost on each VM since the previous round
}

// New returns a controller that is subscribed to machine.
func New(cfg Config, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, leavingVMs LeavingVMs, counters cell.Counters, log logrus.FieldLogger, clock func() time.Time) *Controller {
	c := &Controller{
		cfg: cfg, machine: machine, proposer: proposer, auth: auth, leavingVMs: leavingVMs,
		counters: counters, log: log, clock: clock,
		lostAttempts: make(map[api.VMID]int),
	}
	machine.Subscribe(c.handleEvents)
	return c
}

func (c *Controller) handleEvents(events []cell.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range events {
		switch e.Kind {
		case cell.EventTaskFreed:
			c.recordFreed(e)
		case cell.EventRestored:
			clear(c.lostAttempts)
			c.gangCandidates = nil
		}
	}
}

func (c *Controller) recordFreed(e cell.Event) {
	if e.State == api.TaskPending && c.gangCandidates != nil {
		c.gangCandidates[e.Task.Job] = true // the next round checks whether the job is a gang
	}
	switch e.Reason {
	case api.ReasonLeaseExpired, api.ReasonWorkerLost, api.ReasonWorkerRestart:
		c.lostAttempts[e.VM]++
	}
}

// Run performs recovery rounds until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, c.cfg.Interval, nil, c.Step)
}

// Step performs one recovery round.
func (c *Controller) Step(ctx context.Context) {
	c.logLosses(c.takeLostAttempts())
	epoch, ok, _ := c.auth.Cell(c.clock())
	if !ok {
		c.resetGangCandidates()
		return
	}
	stops := c.stopBrokenGangs(c.candidates())
	drainStops, replacements := c.drainLeavingVMs()
	c.proposeStops(ctx, epoch, append(stops, drainStops...))
	c.proposeReplacements(ctx, epoch, replacements)
}

func (c *Controller) takeLostAttempts() map[api.VMID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	lostAttempts := c.lostAttempts
	c.lostAttempts = make(map[api.VMID]int)
	return lostAttempts
}

// resetGangCandidates drops the candidates, so that they don't accumulate on an entry VM
// that does not act for the cell.
func (c *Controller) resetGangCandidates() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gangCandidates = nil
}

// candidates returns the jobs that may be broken gangs. After a reset these are all
// jobs.
func (c *Controller) candidates() []api.JobID {
	c.mu.Lock()
	all := c.gangCandidates == nil
	if all {
		c.gangCandidates = make(map[api.JobID]bool)
	}
	c.mu.Unlock()
	var jobs []api.JobID
	if all {
		jobs = c.machine.Jobs()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range jobs {
		c.gangCandidates[id] = true
	}
	list := make([]api.JobID, 0, len(c.gangCandidates))
	for id := range c.gangCandidates {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// removeGangCandidate removes a job from the candidates.
func (c *Controller) removeGangCandidate(id api.JobID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.gangCandidates, id)
}

// stopBrokenGangs returns the stops of the remaining tasks of broken gangs.
func (c *Controller) stopBrokenGangs(candidates []api.JobID) []cell.Stop {
	var stops []cell.Stop
	for _, id := range candidates {
		job, ok := c.machine.Job(id)
		if !ok || !IsGangBroken(job) {
			c.removeGangCandidate(id)
			continue
		}
		for _, task := range c.machine.AllocatedTasks(id) {
			if task.State != api.TaskStopping {
				stops = append(stops, stopOf(task, job.Spec.Checkpointable, api.ReasonGangWaiting))
			}
		}
	}
	return stops
}

func stopOf(task cell.AllocatedTask, checkpoint bool, reason api.Reason) cell.Stop {
	return cell.Stop{Task: task.Task, Attempt: task.Attempt, Checkpoint: checkpoint, Reason: reason}
}

// drainLeavingVMs returns the stops and the tasks to replace on all leaving VMs.
func (c *Controller) drainLeavingVMs() ([]cell.Stop, map[api.JobID][]cell.AllocatedTask) {
	var stops []cell.Stop
	replacements := make(map[api.JobID][]cell.AllocatedTask)
	for _, vm := range c.machine.VMs() {
		if !c.leavingVMs.Leaving(vm.ID) {
			continue
		}
		for _, task := range c.machine.TasksOnVM(vm.ID) {
			job, ok := c.machine.Job(task.Task.Job)
			if !ok {
				continue
			}
			switch c.nextAction(job, task) {
			case ActionReplace:
				replacements[task.Task.Job] = append(replacements[task.Task.Job], task)
			case ActionStop:
				stops = append(stops, stopOf(task, true, api.ReasonDrained))
			}
		}
	}
	return stops, replacements
}

func (c *Controller) nextAction(job cell.JobView, task cell.AllocatedTask) DrainAction {
	if !task.HasReplacement {
		return NextDrainAction(job.Spec, task, api.TaskPending, false)
	}
	replacement, ok := c.machine.Replacement(task.Task)
	return NextDrainAction(job.Spec, task, replacement.State, ok)
}

func (c *Controller) proposeStops(ctx context.Context, epoch api.Epoch, stops []cell.Stop) {
	if len(stops) == 0 {
		return
	}
	if err := c.proposer.Propose(ctx, c.machine.StopEntry(epoch, stops)); err != nil {
		c.counters.Inc(counterGroup, "stops_rejected")
	}
}

func (c *Controller) proposeReplacements(ctx context.Context, epoch api.Epoch, replacements map[api.JobID][]cell.AllocatedTask) {
	for id, tasks := range replacements {
		entry, ok := c.machine.ReplaceEntry(epoch, id, tasks)
		if !ok {
			continue
		}
		if err := c.proposer.Propose(ctx, entry); err != nil {
			c.counters.Inc(counterGroup, "replacements_rejected")
		}
	}
}

// logLosses logs the attempts lost since the previous round, with the names of racks
// that were lost as a whole.
func (c *Controller) logLosses(lost map[api.VMID]int) {
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
