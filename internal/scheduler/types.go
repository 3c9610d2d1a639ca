// Package scheduler decides which task runs on which VM.
//
// The package does no I/O, reads no clock and draws random numbers from an
// injected source: Cycle reads a State and the given time and returns a Plan.
// A plan is only a proposal; it is checked again, against the ledger, where the
// journal applies it.
//
// A cycle processes the pending jobs in order and passes each task through the
// stages filter, score and reserve. A reservation stays in the State until the
// caller reports the start as applied (Occupy) or rejected (Release).
package scheduler

import (
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// VM describes a worker VM.
type VM struct {
	ID          api.VMID
	DataCentre  api.DataCentre
	Rack        string
	Capacity    api.Resources
	Schedulable bool // false if leaving, unreachable or waiting for a takeover
	Quarantined bool // accepts only probe tasks
}

// Job is a job with tasks to place.
type Job struct {
	Spec      api.JobSpec
	Submitted time.Time // local time at which this scheduler received the job
	Pending   []uint32  // indexes of tasks to place, in order
	// Estimate holds the resources that each task is planned with, as learned
	// from reports or else as declared; zero means to use Spec.Resources.
	Estimate api.Resources
	// RunTime is the learned run time of a task; zero means to use the
	// declared one.
	RunTime time.Duration
	// Avoid is the set of VMs on which tasks of this job failed.
	Avoid map[api.VMID]bool
}

// RunningTask describes a task that occupies a VM.
type RunningTask struct {
	Task           api.TaskID
	VM             api.VMID
	Team           string
	Class          api.Class
	Priority       int
	Resources      api.Resources
	Checkpointable bool
	Started        time.Time
	ExpectedEnd    time.Time // zero if unknown
}

// Start proposes to run a task on a VM.
type Start struct {
	Task      api.TaskID
	VM        api.VMID
	Resources api.Resources
	Gang      bool // all starts of the job must be applied together or none
}

// Preemption proposes to checkpoint and stop a running task in favour of the job
// Preemptor.
type Preemption struct {
	Task      api.TaskID
	VM        api.VMID
	Preemptor api.JobID
}

// WaitingJob reports why tasks of a job were not placed.
type WaitingJob struct {
	Job    api.JobID
	Reason api.Reason
	Detail string // what is missing, shown to operators
}

// Plan is the outcome of one cycle.
type Plan struct {
	Starts      []Start
	Preemptions []Preemption
	Waiting     []WaitingJob // jobs with tasks that were not placed
	Infeasible  []WaitingJob // jobs that cannot run on the VMs of the cell or within their quota
}
