// Package learning evaluates the reports of workers: the actual resource use of
// tasks, VMs on which most tasks fail and tasks that fail on every VM. It connects
// the packages estimate and quarantine, which have no side effects, to the placement
// and worker controllers.
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

// decisionInterval is the time between two decisions.
const decisionInterval = time.Second

// maxAvoidedVMs is the maximum number of VMs to avoid remembered for one job.
const maxAvoidedVMs = 64

// Controller learns from reports and proposes the resulting stops. It implements
// worker.Observer, placement.Advisor and fleet.Quarantine.
type Controller struct {
	policy   func() api.PolicySpec // returns the policy in force
	machine  *cell.StateMachine
	proposer journal.Proposer
	auth     controller.Authority
	counters cell.Counters
	now      func() time.Time

	mu         sync.Mutex
	estimates  *estimate.Estimator
	failures   *quarantine.Tracker
	started    map[attemptKey]time.Time
	throttles  map[api.VMID][]platform.TaskStop
	stops      []cell.Stop
	avoidedVMs map[api.JobID]map[api.VMID]bool
}

// attemptKey identifies one attempt of a task. Reports of an attempt may come late, when the task's next
// one is already running elsewhere.
type attemptKey struct {
	task    api.TaskID
	attempt uint32
}

// counterGroup is the counter group of this package.
const counterGroup = "learning"

// New returns a controller without any learned state. It is subscribed to machine.
func New(policy func() api.PolicySpec, machine *cell.StateMachine, proposer journal.Proposer, auth controller.Authority, counters cell.Counters, now func() time.Time) *Controller {
	c := &Controller{
		policy:     policy,
		machine:    machine,
		proposer:   proposer,
		auth:       auth,
		counters:   counters,
		now:        now,
		estimates:  estimate.New(estimate.Config{Policy: policy()}),
		failures:   quarantine.New(quarantine.Config{Policy: policy()}),
		started:    make(map[attemptKey]time.Time),
		throttles:  make(map[api.VMID][]platform.TaskStop),
		avoidedVMs: make(map[api.JobID]map[api.VMID]bool),
	}
	machine.Subscribe(c.handleEvents)
	return c
}

// handleEvents forgets the VMs to avoid of jobs that have ended.
func (c *Controller) handleEvents(events []cell.Event) {
	for _, e := range events {
		if e.Kind == cell.EventJobEnded {
			c.mu.Lock()
			delete(c.avoidedVMs, e.Task.Job)
			c.mu.Unlock()
		}
	}
}

// Run decides on quarantine and proposes stops until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	return controller.RunPeriodically(ctx, decisionInterval, nil, c.Step)
}

// Step decides on quarantine and proposes the pending stops once.
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
		c.counters.Inc(counterGroup, "stop_not_applied") // a later report requests the stop again
	}
}

// ObserveReport learns from one attempt in a report of a worker.
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
	key := attemptKey{task: r.Task, attempt: r.Attempt}
	if _, ok := c.started[key]; !ok {
		c.started[key] = now.Add(-r.RunFor)
	}
	decision := c.estimates.Observe(job.Spec, estimate.Report{
		Task: r.Task, Usage: r.Usage, MeasuredAt: now, StartedAt: c.started[key],
	})
	c.applyDecision(vm, r, decision)
}

// applyDecision queues the throttle or stop of a decision. c.mu must be held.
func (c *Controller) applyDecision(vm api.VMID, r platform.TaskReport, decision estimate.Decision) {
	switch decision.Action {
	case estimate.ActionThrottle:
		c.counters.Inc(counterGroup, decision.Reason)
		stop := platform.TaskStop{Task: r.Task, Attempt: r.Attempt, Mode: platform.StopThrottle}
		c.throttles[vm] = append(c.throttles[vm], stop)
	case estimate.ActionCheckpoint, estimate.ActionStop:
		c.counters.Inc(counterGroup, decision.Reason)
		c.stops = append(c.stops, cell.Stop{
			Task: r.Task, Attempt: r.Attempt, Reason: decision.Reason,
			Checkpoint: decision.Action == estimate.ActionCheckpoint,
		})
	}
}

// ObserveEnd learns from the end of an attempt. It is called once after the end was journaled.
func (c *Controller) ObserveEnd(vm api.VMID, task api.TaskID, attempt uint32, status cell.AttemptStatus) {
	job, ok := c.machine.Job(task.Job)
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := attemptKey{task: task, attempt: attempt}
	started, known := c.started[key]
	delete(c.started, key)
	switch status {
	case cell.AttemptSucceeded:
		c.failures.RecordSuccess(vm, task, now)
		c.failures.ForgetTask(task)
		if ok && known {
			c.estimates.RecordRun(job.Spec, task, now.Sub(started))
		}
	case cell.AttemptFailed:
		c.recordFailure(vm, task, now)
		if ok && !job.Ended {
			c.addAvoidedVM(vm, task.Job)
		}
	default:
		c.estimates.ForgetTask(task)
	}
}

// recordFailure records that a task failed by itself on vm. c.mu must be held.
func (c *Controller) recordFailure(vm api.VMID, task api.TaskID, now time.Time) {
	c.estimates.ForgetTask(task)
	if _, isFailing := c.failures.RecordFailure(vm, task, now); isFailing {
		c.counters.Inc(counterGroup, api.ReasonFailsEverywhere)
	}
}

// addAvoidedVM records that a task of a job failed on vm. c.mu must be held.
func (c *Controller) addAvoidedVM(vm api.VMID, job api.JobID) {
	if c.avoidedVMs[job] == nil {
		c.avoidedVMs[job] = make(map[api.VMID]bool)
	}
	if len(c.avoidedVMs[job]) < maxAvoidedVMs {
		c.avoidedVMs[job][vm] = true
	}
}

// TakeThrottles returns the attempts on vm to limit to their declared use and forgets
// them. A task that continues to exceed its use is reported again.
func (c *Controller) TakeThrottles(vm api.VMID) []platform.TaskStop {
	c.mu.Lock()
	defer c.mu.Unlock()
	stops := c.throttles[vm]
	delete(c.throttles, vm)
	return stops
}

// Estimate returns the resources and run time with which to plan each task of a job.
// A run time of zero is unknown.
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
	return maps.Clone(c.avoidedVMs[job])
}

// Quarantined reports whether a VM accepts only probes.
func (c *Controller) Quarantined(id api.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures.Quarantined(id)
}
