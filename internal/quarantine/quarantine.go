// Package quarantine distinguishes VMs on which all tasks fail from tasks that
// fail on all VMs.
//
// A VM is quarantined when its failure rate is much higher than that of the
// rest of the fleet and more than one job failed on it. At most a share of the
// fleet is quarantined at once, the VMs with the highest failure rate first. A
// VM is released after consecutive successful probes. A task that failed on
// several healthy VMs is reported as a FailingTask, and its failures are removed
// from the counts of those VMs.
//
// The package does no I/O and reads no clock: time is passed in. A Tracker is
// not safe for concurrent use.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// maxFailedJobs bounds the failed jobs recorded for one VM.
const maxFailedJobs = 4

// Change reports that a VM enters or leaves quarantine.
type Change struct {
	VM          api.VMID
	Quarantined bool
	Detail      string // for operators
}

// FailingTask is a task that must be stopped because it has failed on several healthy
// VMs and would presumably fail on any other.
type FailingTask struct {
	Task   api.TaskID
	Reason api.Reason // always ReasonFailsEverywhere
	Detail string
}

// vmRecord holds the task outcomes of one VM.
type vmRecord struct {
	outcomes     outcomes
	failedJobs   []api.JobID // jobs that failed there most recently, without duplicates
	quarantined  bool
	probesPassed int // consecutive successful probes
}

// Tracker records task outcomes and decides which VMs to quarantine.
type Tracker struct {
	cfg           Config
	vms           map[api.VMID]*vmRecord
	fleetOutcomes outcomes
	quarantined   int
	suspects      map[api.VMID]bool // VMs with a failure since the last Decide, or waiting for a place in quarantine
	released      []Change
	taskFailures  map[api.TaskID][]api.VMID // VMs on which each task failed, without duplicates
	failureOrder  []api.TaskID              // keys of taskFailures, oldest first
}

// New returns a Tracker. Zero fields of cfg take their defaults.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:          cfg.WithDefaults(),
		vms:          make(map[api.VMID]*vmRecord),
		suspects:     make(map[api.VMID]bool),
		taskFailures: make(map[api.TaskID][]api.VMID),
	}
}

// Configure replaces the configuration and keeps the recorded outcomes. If the
// new share is smaller, VMs already quarantined stay so until their probes succeed.
func (t *Tracker) Configure(cfg Config) {
	t.cfg = cfg.WithDefaults()
}

// RecordSuccess records a task that succeeded on a VM. On a quarantined VM it
// counts as a successful probe.
func (t *Tracker) RecordSuccess(vm api.VMID, task api.TaskID, now time.Time) {
	t.dropTaskFailures(task)
	v := t.addOutcome(vm, false, now)
	if !v.quarantined {
		return
	}
	v.probesPassed++
	if v.probesPassed < t.cfg.RequiredProbes {
		return
	}
	t.quarantined--
	t.vms[vm] = &vmRecord{outcomes: outcomes{updatedAt: now}}
	t.released = append(t.released, Change{VM: vm, Detail: fmt.Sprintf("%d probes ended well", v.probesPassed)})
}

// RecordFailure records a task that failed on a VM by itself, not because it was
// stopped or the VM was lost. It returns a FailingTask and true if the task has
// now failed on enough healthy VMs.
func (t *Tracker) RecordFailure(vm api.VMID, task api.TaskID, now time.Time) (FailingTask, bool) {
	v := t.addOutcome(vm, true, now)
	v.probesPassed = 0
	v.addFailedJob(task.Job)
	t.suspects[vm] = true
	t.addTaskFailure(task, vm)
	return t.detectFailingTask(task)
}

// ForgetTask removes the recorded failures of a task that will not run again.
func (t *Tracker) ForgetTask(task api.TaskID) {
	t.dropTaskFailures(task)
}

// RemoveVM removes all records of a VM that left the fleet.
func (t *Tracker) RemoveVM(vm api.VMID) {
	if v := t.vms[vm]; v != nil && v.quarantined {
		t.quarantined--
	}
	delete(t.vms, vm)
	delete(t.suspects, vm)
}

// Decide returns the VMs that enter or leave quarantine in a fleet of fleetSize
// VMs. It examines only the VMs with a failure since the last call and those that
// were outliers then but exceeded the allowed share.
func (t *Tracker) Decide(fleetSize int, now time.Time) []Change {
	changes := t.released
	t.released = nil
	t.fleetOutcomes.decay(now, t.cfg.HalfLife)
	limit := t.maxQuarantined(fleetSize)
	for _, o := range t.outliers(now) {
		if t.quarantined >= limit {
			break
		}
		v := t.vms[o.vm]
		v.quarantined = true
		v.probesPassed = 0
		t.quarantined++
		delete(t.suspects, o.vm)
		changes = append(changes, Change{VM: o.vm, Quarantined: true, Detail: o.detail})
	}
	return changes
}

// Quarantined reports whether a VM is in quarantine.
func (t *Tracker) Quarantined(vm api.VMID) bool {
	v := t.vms[vm]
	return v != nil && v.quarantined
}

// maxQuarantined returns the maximum number of quarantined VMs: a share of the
// fleet, but at least one, so that small fleets are protected too.
func (t *Tracker) maxQuarantined(fleetSize int) int {
	return max(1, int(t.cfg.Policy.QuarantineShare*float64(fleetSize)))
}

// outlier is a VM whose failure rate is much higher than that of the fleet.
type outlier struct {
	vm          api.VMID
	failureRate float64
	detail      string
}

// outliers returns the VMs to quarantine, those with the highest failure rate
// first, and removes all other VMs from the suspects.
func (t *Tracker) outliers(now time.Time) []outlier {
	var found []outlier
	for vm := range t.suspects {
		v := t.vms[vm]
		if v == nil || v.quarantined || !t.isOutlier(v, now) {
			delete(t.suspects, vm)
			continue
		}
		found = append(found, outlier{vm: vm, failureRate: v.outcomes.failureRate(), detail: fmt.Sprintf(
			"%.0f%% of the last tasks failed there, %.0f%% elsewhere",
			percent*v.outcomes.failureRate(), percent*t.failureRateElsewhere(v))})
	}
	slices.SortFunc(found, func(a, b outlier) int {
		return cmp.Or(cmp.Compare(b.failureRate, a.failureRate), cmp.Compare(a.vm, b.vm))
	})
	return found
}

const percent = 100

func (t *Tracker) isOutlier(v *vmRecord, now time.Time) bool {
	v.outcomes.decay(now, t.cfg.HalfLife)
	return v.outcomes.failed > float64(t.cfg.Policy.QuarantineFailures)-1 &&
		len(v.failedJobs) >= t.cfg.MinFailedJobs &&
		v.outcomes.failureRate() >= t.cfg.MinFailureRate &&
		v.outcomes.failureRate() >= t.cfg.RateFactor*t.failureRateElsewhere(v)
}

// failureRateElsewhere returns the failure rate of the fleet without v.
func (t *Tracker) failureRateElsewhere(v *vmRecord) float64 {
	rest := outcomes{failed: max(t.fleetOutcomes.failed-v.outcomes.failed, 0), ended: t.fleetOutcomes.ended - v.outcomes.ended}
	return rest.failureRate()
}

// addOutcome adds an outcome to the counts of the VM and, unless the VM is
// quarantined, to those of the fleet.
func (t *Tracker) addOutcome(vm api.VMID, failed bool, now time.Time) *vmRecord {
	v := t.vms[vm]
	if v == nil {
		v = &vmRecord{outcomes: outcomes{updatedAt: now}}
		t.vms[vm] = v
	}
	v.outcomes.decay(now, t.cfg.HalfLife)
	v.outcomes.add(failed)
	if !v.quarantined {
		t.fleetOutcomes.decay(now, t.cfg.HalfLife)
		t.fleetOutcomes.add(failed)
	}
	return v
}

func (v *vmRecord) addFailedJob(job api.JobID) {
	if slices.Contains(v.failedJobs, job) {
		return
	}
	if len(v.failedJobs) == maxFailedJobs {
		v.failedJobs = slices.Delete(v.failedJobs, 0, 1)
	}
	v.failedJobs = append(v.failedJobs, job)
}
