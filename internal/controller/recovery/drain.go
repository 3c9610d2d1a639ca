package recovery

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
)

// Move is what is done next with a task that must leave its VM.
type Move uint8

// Moves.
const (
	MoveNone    Move = iota // wait, or let it run to its end
	MoveReplace             // start a replacement
	MoveStop                // save and stop, cutting nothing off
)

// Drain decides the next move of a task on a leaving VM. Services are
// replaced before they are stopped. Batch and gang tasks are checkpointed;
// those that can't be run on until they end or the VM is gone.
func Drain(spec api.JobSpec, task cell.Held, replacement api.TaskState, replaced bool) Move {
	if task.State == api.TaskStopping {
		return MoveNone
	}
	switch spec.Class {
	case api.ClassService, api.ClassInteractive:
		return drainService(replacement, replaced)
	}
	if spec.Checkpointable && task.State == api.TaskRunning {
		return MoveStop
	}
	return MoveNone
}

func drainService(replacement api.TaskState, replaced bool) Move {
	switch {
	case !replaced:
		return MoveReplace
	case replacement == api.TaskRunning:
		return MoveStop
	}
	return MoveNone
}

// Regroup tells whether the held tasks of a gang must be stopped, since
// another part of it fell out and a gang runs whole or not at all.
func Regroup(job cell.JobView) bool {
	if job.Spec.Class != api.ClassGang || job.Cancelled || job.Ended {
		return false
	}
	held := job.Counts[api.TaskStarting] + job.Counts[api.TaskRunning]
	return held > 0 && job.Counts[api.TaskPending] > 0
}
