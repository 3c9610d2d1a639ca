package quarantine

import (
	"fmt"
	"slices"

	"github.com/skylarklock/skylarklock/api"
)

// addTaskFailure records that task failed on vm. It drops the tasks whose first
// failure is oldest when more than MaxTrackedTasks are tracked.
func (t *Tracker) addTaskFailure(task api.TaskID, vm api.VMID) {
	vms, known := t.taskFailures[task]
	if !slices.Contains(vms, vm) {
		t.taskFailures[task] = append(vms, vm)
	}
	if known {
		return
	}
	t.failureOrder = append(t.failureOrder, task)
	for len(t.failureOrder) > t.cfg.MaxTrackedTasks {
		delete(t.taskFailures, t.failureOrder[0])
		t.failureOrder = t.failureOrder[1:]
	}
}

// dropTaskFailures removes the recorded failures of a task. Its place in the order goes too: otherwise
// a task that fails again would be listed twice, and dropped before older ones.
func (t *Tracker) dropTaskFailures(task api.TaskID) {
	if _, known := t.taskFailures[task]; !known {
		return
	}
	delete(t.taskFailures, task)
	t.failureOrder = slices.DeleteFunc(t.failureOrder, func(other api.TaskID) bool { return other == task })
}

// detectFailingTask returns a FailingTask once the task has failed on enough
// healthy VMs, and then removes its failures from the counts of those VMs.
func (t *Tracker) detectFailingTask(task api.TaskID) (FailingTask, bool) {
	healthy := t.healthyAmong(t.taskFailures[task])
	if len(healthy) < t.cfg.MinDistinctVMs {
		return FailingTask{}, false
	}
	for _, vm := range healthy {
		t.vms[vm].outcomes.removeFailure()
		t.fleetOutcomes.removeFailure()
	}
	t.dropTaskFailures(task)
	return FailingTask{
		Task:   task,
		Reason: api.ReasonFailsEverywhere,
		Detail: fmt.Sprintf("failed on %d VMs that are healthy: %v", len(healthy), healthy),
	}, true
}

// healthyAmong returns the given VMs without those that left the fleet, are
// quarantined, or fail most of their tasks and are likely to be quarantined.
func (t *Tracker) healthyAmong(vms []api.VMID) []api.VMID {
	var healthy []api.VMID
	for _, vm := range vms {
		v := t.vms[vm]
		if v == nil || v.quarantined || t.failsMostTasks(v) {
			continue
		}
		healthy = append(healthy, vm)
	}
	return healthy
}

// failsMostTasks reports whether several jobs failed on v at a high rate. A
// failure on such a VM is no evidence against the task.
func (t *Tracker) failsMostTasks(v *vmRecord) bool {
	return len(v.failedJobs) >= t.cfg.MinFailedJobs && v.outcomes.failureRate() >= t.cfg.MinFailureRate
}
