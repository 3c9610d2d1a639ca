// Package scheduler decides which task runs on which VM.
//
// It is pure code: a World is the state, Cycle reads it and the time given
// and returns a Plan. It does no I/O, reads no clock and draws its random
// numbers from an injected source. A plan is only a proposal; it is checked
// again, against the ledger, where the journal applies it.
//
// A cycle takes the pending jobs in order and passes each task through named
// stages: filter, score, reserve. What a cycle reserved stays reserved in the
// World until the caller reports the start as applied (Occupy) or as rejected
// (Release).
package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// VM is what the scheduler knows of a worker VM.
type VM struct {
	ID          api.VMID
	DataCentre  api.DataCentre
	Rack        string
	Capacity    api.Resources
	Schedulable bool // false: leaving, unreachable or waiting for a takeover
	Quarantined bool // accepts only probes
}

// Job is a job with tasks to place.
type Job struct {
	Spec      api.JobSpec
	Submitted time.Time // local time at which this scheduler learned of it
	Pending   []uint32  // indexes of tasks to place, in order
	// Estimate is the resources to plan each task with: the declared ones,
	// or those learned from reports.
	Estimate api.Resources
	// RunTime is the run time to expect of a task, as learned; zero: the
	// declared one.
	RunTime time.Duration
	// Avoid holds VMs on which the tasks of this job failed.
	Avoid map[api.VMID]bool
}

// RunningTask is a task that occupies a VM.
type RunningTask struct {
	Task           api.TaskID
	VM             api.VMID
	Team           string
	Class          api.Class
	Priority       int
	Resources      api.Resources
	Checkpointable bool
	Started        time.Time
	ExpectedEnd    time.Time // zero: not known
}

// Start proposes to run a task on a VM.
type Start struct {
	Task      api.TaskID
	VM        api.VMID
	Resources api.Resources
	Gang      bool // all starts of the job must be applied together or not at all
}

// Preemption proposes to checkpoint and stop a running task in favour of a job.
type Preemption struct {
	Task      api.TaskID
	VM        api.VMID
	Preemptor api.JobID
}

// WaitingJob says why a job's tasks were not placed in a cycle.
type WaitingJob struct {
	Job    api.JobID
	Reason api.Reason
	Detail string // what is missing, for operators
}

// Plan is the outcome of one cycle.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Waiting     []WaitingJob // jobs that wait, with the first reason found
	Infeasible  []WaitingJob // jobs that no VM of the cell could ever hold
}
