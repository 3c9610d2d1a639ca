// Package learning gathers what workers report and passes on what is to be
// done about it: what tasks really use, which VMs fail everything, which
// tasks fail everywhere. It connects the pure packages estimate and
// quarantine to the controllers of placement and workers.
package learning

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/controller"
	"github.com/skylarklock/skylarklock/internal/estimate"
	"github.com/skylarklock/skylarklock/internal/journal"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/quarantine"
)

// decideEvery is the time between two decisions.
const decideEvery = time.Second

// maxAvoid bounds the VMs remembered for one job.
const maxAvoid = 64

// Controller learns from reports and proposes the stops that follow. It
// implements the Observer of the worker controller, the Advisor of placement
// and the Quarantine of the fleet's view.
type Controller struct {
	policy   func() api.PolicySpec // in force
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	counters cell.Counters
	now      func() time.Time

	mu        sync.Mutex
	estimates *estimate.Estimator
	failures  *quarantine.Tracker
	started   map[api.TaskID]time.Time
	throttles map[api.VMID][]platform.TaskStop
	stops     []cell.Stop
	avoid     map[api.JobID]map[api.VMID]bool
}

// counterGroup is the group of this package's counters.
const counterGroup = "learning"

// New returns a controller that has learned nothing yet. It subscribes to
// machine.
func New(policy func() api.PolicySpec, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, now func() time.Time) *Controller {
	c := &Controller{
		policy:    policy,
		machine:   machine,
		proposer:  proposer,
		auth:      auth,
		counters:  counters,
		now:       now,
		estimates: estimate.New(estimate.Config{Policy: policy()}),
		failures:  quarantine.New(quarantine.Config{Policy: policy()}),
		started:   make(map[api.TaskID]time.Time),
		throttles: make(map[api.VMID][]platform.TaskStop),
		avoid:     make(map[api.JobID]map[api.VMID]bool),
	}
	machine.Subscribe(c.applied)
	return c
}

// applied forgets what was held against the VMs for a job that has ended.
func (c *Controller) applied(events []cell.Event) {
	for _, e := range events {
		if e.Kind == cell.EventJobEnded {
			c.mu.Lock()
			delete(c.avoid, e.Task.Job)
			c.mu.Unlock()
		}
	}
}

// Run proposes stops and decides on quarantine until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, decideEvery, nil, c.Step)
}

// Step decides once.
func (c *Controller) Step(ctx context.Context) {
	now := c.now()
	fleet := len(c.machine.VMs())
	policy := c.policy()
	c.mu.Lock()
	c.estimates.Configure(estimate.Config{Policy: policy})
	c.failures.Configure(quarantine.Config{Policy: policy})
	for _, change := range c.failures.Decide(fleet, now) {
		if change.Quarantined {
			c.counters.Inc(counterGroup, api.ReasonQuarantine)
		}
	}
	stops := c.stops
	c.stops = nil
	c.mu.Unlock()
	epoch, ok, _ := c.auth.Cell(now)
	if len(stops) == 0 || !ok {
		return
	}
	if err := c.proposer.Propose(ctx, c.machine.StopEntry(epoch, stops)); err != nil {
		c.counters.Inc(counterGroup, "stop_not_applied") // a later report asks again
	}
}

// ObserveReport tells of one attempt in a worker's report.
func (c *Controller) ObserveReport(vm api.VMID, r platform.TaskReport) {
	if r.State != platform.RunRunning {
		return
	}
	job, ok := c.machine.Job(r.Task.Job)
	if !ok {
		return
	}
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.started[r.Task]; !ok {
		c.started[r.Task] = now.Add(-r.RunFor)
	}
	verdict := c.estimates.Observe(job.Spec, estimate.Report{
		Task: r.Task, Usage: r.Usage, MeasuredAt: now, StartedAt: c.started[r.Task],
	})
	c.act(vm, r, verdict)
}

// act notes what a verdict asks for. c.mu is held.
func (c *Controller) act(vm api.VMID, r platform.TaskReport, v estimate.Decision) {
	switch v.Action {
	case estimate.ActionThrottle:
		c.counters.Inc(counterGroup, v.Reason)
		stop := platform.TaskStop{Task: r.Task, Attempt: r.Attempt, Mode: platform.StopThrottle}
		c.throttles[vm] = append(c.throttles[vm], stop)
	case estimate.ActionCheckpoint, estimate.ActionStop:
		c.counters.Inc(counterGroup, v.Reason)
		c.stops = append(c.stops, cell.Stop{
			Task: r.Task, Attempt: r.Attempt, Reason: v.Reason,
			Checkpoint: v.Action == estimate.ActionCheckpoint,
		})
	}
}

// ObserveEnd tells once of each attempt whose end was journaled.
func (c *Controller) ObserveEnd(vm api.VMID, task api.TaskID, ending cell.AttemptStatus) {
	job, ok := c.machine.Job(task.Job)
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	started, known := c.started[task]
	delete(c.started, task)
	switch ending {
	case cell.AttemptSucceeded:
		c.failures.RecordSuccess(vm, task, now)
		c.failures.ForgetTask(task)
		if ok && known {
			c.estimates.RecordRun(job.Spec, task, now.Sub(started))
		}
	case cell.AttemptFailed:
		c.failed(vm, task, now)
		if ok && !job.Ended {
			c.avoidVM(vm, task.Job)
		}
	default:
		c.estimates.ForgetTask(task)
	}
}

// failed notes that a task failed by itself on vm. c.mu is held.
func (c *Controller) failed(vm api.VMID, task api.TaskID, now time.Time) {
	c.estimates.ForgetTask(task)
	if _, blamed := c.failures.RecordFailure(vm, task, now); blamed {
		c.counters.Inc(counterGroup, api.ReasonFailsEverywhere)
	}
}

// avoidVM notes that a task of a job failed on vm. c.mu is held.
func (c *Controller) avoidVM(vm api.VMID, job api.JobID) {
	if c.avoid[job] == nil {
		c.avoid[job] = make(map[api.VMID]bool)
	}
	if len(c.avoid[job]) < maxAvoid {
		c.avoid[job][vm] = true
	}
}

// TakeThrottles returns the attempts on vm to be held to their declared use, and
// forgets them: a task that goes on overusing is reported again.
func (c *Controller) TakeThrottles(vm api.VMID) []platform.TaskStop {
	c.mu.Lock()
	defer c.mu.Unlock()
	stops := c.throttles[vm]
	delete(c.throttles, vm)
	return stops
}

// Estimate returns the resources and the run time to plan each task of a job
// with; a run time of zero is not known.
func (c *Controller) Estimate(spec api.JobSpec) (api.Resources, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.estimates.Estimate(spec)
	return e.Resources, e.RunTime
}

// VMsToAvoid returns the VMs on which tasks of a job failed.
func (c *Controller) VMsToAvoid(job api.JobID) map[api.VMID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.avoid[job])
}

// Quarantined reports whether a VM takes only probes.
func (c *Controller) Quarantined(id api.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures.Quarantined(id)
}
