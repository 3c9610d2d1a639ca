// Package quarantine tells workers that fail everything from tasks that fail
// everywhere.
//
// A VM is quarantined when its failure rate stands out against that of the
// rest of the fleet and more than one job failed on it; at most a share of
// the fleet is quarantined at once, the worst first. It is released when
// probes end well. A task is blamed when it failed on several VMs that are
// healthy; those failures are then no longer held against the VMs.
//
// It is pure code: time is passed in. A Tracker is not safe for concurrent
// use.
package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// jobsKept bounds the failed jobs remembered of one VM.
const jobsKept = 4

// Change is a VM that enters or leaves quarantine.
type Change struct {
	VM          api.VMID
	Quarantined bool
	Detail      string // for operators
}

// FailingTask is a task that is to be stopped because it fails everywhere.
type FailingTask struct {
	Task   api.TaskID
	Reason api.Reason // ReasonFailsAnywhere
	Detail string
}

// vmRecord is what is held against one VM.
type vmRecord struct {
	rate        rate
	jobs        []api.JobID // that failed there lately, each once
	quarantined bool
	probesWell  int // in a row
}

// Tracker follows the outcomes of tasks.
type Tracker struct {
	cfg         Config
	vms         map[api.VMID]*vmRecord
	fleet       rate
	quarantined int
	suspects    map[api.VMID]bool // failed since the last Decide
	released    []Change
	failures    map[api.TaskID][]api.VMID // on which VMs, each once
	order       []api.TaskID              // of failures, oldest first; may hold forgotten ones
}

// New returns a Tracker. Zero fields of cfg take their defaults.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg:      cfg.WithDefaults(),
		vms:      make(map[api.VMID]*vmRecord),
		suspects: make(map[api.VMID]bool),
		failures: make(map[api.TaskID][]api.VMID),
	}
}

// Configure replaces the configuration; what was recorded stays. VMs beyond a
// smaller share stay in quarantine until their probes end well.
func (t *Tracker) Configure(cfg Config) {
	t.cfg = cfg.WithDefaults()
}

// RecordSuccess records a task that ended well on a VM. On a quarantined VM it
// counts as a probe.
func (t *Tracker) RecordSuccess(vm api.VMID, task api.TaskID, now time.Time) {
	delete(t.failures, task)
	v := t.record(vm, false, now)
	if !v.quarantined {
		return
	}
	v.probesWell++
	if v.probesWell < t.cfg.RequiredProbes {
		return
	}
	t.quarantined--
	t.vms[vm] = &vmRecord{rate: rate{at: now}}
	t.released = append(t.released, Change{VM: vm, Detail: fmt.Sprintf("%d probes ended well", v.probesWell)})
}

// RecordFailure records a task that failed on a VM by itself, not by a stop or the
// loss of the VM. It returns the blame when the task has now failed on
// enough healthy VMs.
func (t *Tracker) RecordFailure(vm api.VMID, task api.TaskID, now time.Time) (FailingTask, bool) {
	v := t.record(vm, true, now)
	v.probesWell = 0
	v.remember(task.Job)
	t.suspects[vm] = true
	t.rememberFailure(task, vm)
	return t.blame(task)
}

// ForgetTask drops what is remembered of a task that ended for good.
func (t *Tracker) ForgetTask(task api.TaskID) {
	delete(t.failures, task)
}

// RemoveVM forgets a VM that left the fleet.
func (t *Tracker) RemoveVM(vm api.VMID) {
	if v := t.vms[vm]; v != nil && v.quarantined {
		t.quarantined--
	}
	delete(t.vms, vm)
	delete(t.suspects, vm)
}

// Decide returns the VMs that enter or leave quarantine, of a fleet of
// fleetSize VMs. It reads only those on which something failed since the
// last call, and keeps in view those that the share left no place for.
func (t *Tracker) Decide(fleetSize int, now time.Time) []Change {
	changes := t.released
	t.released = nil
	t.fleet.fade(now, t.cfg.HalfLife)
	limit := t.limit(fleetSize)
	for _, s := range t.standouts(now) {
		if t.quarantined >= limit {
			break
		}
		v := t.vms[s.vm]
		v.quarantined = true
		v.probesWell = 0
		t.quarantined++
		delete(t.suspects, s.vm)
		changes = append(changes, Change{VM: s.vm, Quarantined: true, Detail: s.detail})
	}
	return changes
}

// Quarantined reports whether a VM is in quarantine.
func (t *Tracker) Quarantined(vm api.VMID) bool {
	v := t.vms[vm]
	return v != nil && v.quarantined
}

// limit is the most VMs in quarantine: a share of the fleet, but one at
// least, so that small fleets are protected too.
func (t *Tracker) limit(fleetSize int) int {
	return max(1, int(t.cfg.Policy.QuarantineShare*float64(fleetSize)))
}

// standout is a VM whose failures stand out.
type standout struct {
	vm     api.VMID
	rate   float64
	detail string
}

// standouts returns the VMs to quarantine, the worst first, and drops the
// other suspects.
func (t *Tracker) standouts(now time.Time) []standout {
	var found []standout
	for vm := range t.suspects {
		v := t.vms[vm]
		if v == nil || v.quarantined || !t.standsOut(v, now) {
			delete(t.suspects, vm)
			continue
		}
		found = append(found, standout{vm: vm, rate: v.rate.of(), detail: fmt.Sprintf(
			"%.0f%% of the last tasks failed there, %.0f%% elsewhere",
			percent*v.rate.of(), percent*t.elsewhere(v))})
	}
	slices.SortFunc(found, func(a, b standout) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.vm, b.vm))
	})
	return found
}

const percent = 100

func (t *Tracker) standsOut(v *vmRecord, now time.Time) bool {
	v.rate.fade(now, t.cfg.HalfLife)
	return v.rate.failed > float64(t.cfg.Policy.QuarantineFailures)-1 &&
		len(v.jobs) >= t.cfg.MinFailedJobs &&
		v.rate.of() >= t.cfg.MinFailureRate &&
		v.rate.of() >= t.cfg.RateFactor*t.elsewhere(v)
}

// elsewhere is the failure rate of the fleet without v.
func (t *Tracker) elsewhere(v *vmRecord) float64 {
	rest := rate{failed: max(t.fleet.failed-v.rate.failed, 0), ended: t.fleet.ended - v.rate.ended}
	return rest.of()
}

// record adds an outcome to the VM and, unless it is in quarantine, to the
// fleet.
func (t *Tracker) record(vm api.VMID, failed bool, now time.Time) *vmRecord {
	v := t.vms[vm]
	if v == nil {
		v = &vmRecord{rate: rate{at: now}}
		t.vms[vm] = v
	}
	v.rate.fade(now, t.cfg.HalfLife)
	v.rate.add(failed)
	if !v.quarantined {
		t.fleet.fade(now, t.cfg.HalfLife)
		t.fleet.add(failed)
	}
	return v
}

func (v *vmRecord) remember(job api.JobID) {
	if slices.Contains(v.jobs, job) {
		return
	}
	if len(v.jobs) == jobsKept {
		v.jobs = slices.Delete(v.jobs, 0, 1)
	}
	v.jobs = append(v.jobs, job)
}
