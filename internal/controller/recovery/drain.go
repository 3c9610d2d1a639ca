package recovery

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// DrainAction is the next action for a task on a leaving VM.
type DrainAction uint8

// Drain actions.
const (
	ActionNone    DrainAction = iota // wait, or let the task run to completion
	ActionReplace                    // start a replacement
	ActionStop                       // stop with a checkpoint, so that no work is cut off
)

// NextDrainAction returns the next action for a task on a leaving VM. Services and
// interactive tasks are stopped only after their replacement runs. Batch and gang
// tasks are stopped with a checkpoint; those that can't save one run until they end or
// the VM is gone.
func NextDrainAction(spec api.JobSpec, task cell.AllocatedTask, replacementState api.TaskState, hasReplacement bool) DrainAction {
	if task.State == api.TaskStopping {
		return ActionNone
	}
	switch spec.Class {
	case api.ClassService, api.ClassInteractive:
		return nextServiceAction(replacementState, hasReplacement)
	}
	if spec.Checkpointable && task.State == api.TaskRunning {
		return ActionStop
	}
	return ActionNone
}

func nextServiceAction(replacementState api.TaskState, hasReplacement bool) DrainAction {
	switch {
	case !hasReplacement:
		return ActionReplace
	case replacementState == api.TaskRunning:
		return ActionStop
	}
	return ActionNone
}

// IsGangBroken reports whether the started tasks of a gang must be stopped because
// another task of it is pending again. A gang runs as a whole or not at all.
func IsGangBroken(job cell.JobView) bool {
	if job.Spec.Class != api.ClassGang || job.Cancelled || job.Ended {
		return false
	}
	started := job.Counts[api.TaskStarting] + job.Counts[api.TaskRunning]
	return started > 0 && job.Counts[api.TaskPending] > 0
}
