package recovery

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// DrainAction is what is done next with a task that must leave its VM.
type DrainAction uint8

// Moves.
const (
	ActionNone    DrainAction = iota // wait, or let it run to its end
	ActionReplace                    // start a replacement
	ActionStop                       // save and stop, cutting nothing off
)

// NextDrainAction decides the next move of a task on a leaving VM. Services are
// replaced before they are stopped. Batch and gang tasks are checkpointed;
// those that can't be run on until they end or the VM is gone.
func NextDrainAction(spec api.JobSpec, task cell.AllocatedTask, replacement api.TaskState, replaced bool) DrainAction {
	if task.State == api.TaskStopping {
		return ActionNone
	}
	switch spec.Class {
	case api.ClassService, api.ClassInteractive:
		return drainService(replacement, replaced)
	}
	if spec.Checkpointable && task.State == api.TaskRunning {
		return ActionStop
	}
	return ActionNone
}

func drainService(replacement api.TaskState, replaced bool) DrainAction {
	switch {
	case !replaced:
		return ActionReplace
	case replacement == api.TaskRunning:
		return ActionStop
	}
	return ActionNone
}

// IsGangBroken tells whether the held tasks of a gang must be stopped, since
// another part of it fell out and a gang runs whole or not at all.
func IsGangBroken(job cell.JobView) bool {
	if job.Spec.Class != api.ClassGang || job.Cancelled || job.Ended {
		return false
	}
	held := job.Counts[api.TaskStarting] + job.Counts[api.TaskRunning]
	return held > 0 && job.Counts[api.TaskPending] > 0
}
