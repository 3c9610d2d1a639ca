package quarantine

import (
	"fmt"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// rememberFailure notes that task failed on vm, and forgets the oldest
// failures beyond the bound.
func (t *Tracker) rememberFailure(task api.TaskID, vm api.VMID) {
	vms, known := t.failures[task]
	if !slices.Contains(vms, vm) {
		t.failures[task] = append(vms, vm)
	}
	if known {
		return
	}
	t.order = append(t.order, task)
	for len(t.order) > t.cfg.MaxTrackedTasks {
		delete(t.failures, t.order[0])
		t.order = t.order[1:]
	}
}

// blame returns the verdict on a task once it has failed on enough healthy
// VMs, and then takes its failures off those VMs' records.
func (t *Tracker) blame(task api.TaskID) (FailingTask, bool) {
	healthy := t.healthyAmong(t.failures[task])
	if len(healthy) < t.cfg.MinDistinctVMs {
		return FailingTask{}, false
	}
	for _, vm := range healthy {
		t.vms[vm].rate.forgive()
		t.fleet.forgive()
	}
	delete(t.failures, task)
	return FailingTask{
		Task:   task,
		Reason: api.ReasonFailsAnywhere,
		Detail: fmt.Sprintf("failed on %d VMs that are healthy: %v", len(healthy), healthy),
	}, true
}

// healthyAmong returns the VMs of a list that are neither gone nor
// quarantined nor about to be for failing most of what they run.
func (t *Tracker) healthyAmong(vms []api.VMID) []api.VMID {
	var healthy []api.VMID
	for _, vm := range vms {
		v := t.vms[vm]
		if v == nil || v.quarantined || t.doubtful(v) {
			continue
		}
		healthy = append(healthy, vm)
	}
	return healthy
}

// doubtful reports whether several jobs failed on v and little ended well
// there, so that a failure says little about the task.
func (t *Tracker) doubtful(v *vmRecord) bool {
	return len(v.jobs) >= t.cfg.MinFailedJobs && v.rate.of() >= t.cfg.MinFailureRate
}
