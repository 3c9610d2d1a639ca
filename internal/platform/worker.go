package platform

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// WorkerTime is a reading of one worker's own monotonic clock, since that
// worker's start. Readings of two workers or two incarnations don't compare.
type WorkerTime time.Duration

// TaskStart asks a worker to run one attempt of a task.
type TaskStart struct {
	Task      api.TaskID
	Attempt   uint32
	Resources api.Resources
	RunTime   time.Duration
	Restore   bool // from the task's last checkpoint
	Payload   string
}

// StopMode says how a running task is curbed.
type StopMode uint8

// Ways to curb a task, mildest first.
const (
	StopThrottle   StopMode = iota + 1 // keep running, at declared use
	StopCheckpoint                     // save and stop
	StopKill                           // stop now
)

// TaskStop asks a worker to curb one attempt of a task.
type TaskStop struct {
	Task    api.TaskID
	Attempt uint32
	Mode    StopMode
}

// WorkerSync is one exchange with a worker: the lease over all its tasks is
// renewed and changes are passed on, in one message per VM.
//
// LeaseExpiry is a point on the worker's own clock, worked out from the last
// report that the sender received. A renewal that is late or doubled can
// therefore never lengthen the lease.
type WorkerSync struct {
	Epoch       api.Epoch  // of the sender's placement shard; a worker refuses lower ones than it has seen
	Incarnation uint64     // of the worker, from its last report; zero when unknown
	LeaseExpiry WorkerTime // zero: don't renew
	Starts      []TaskStart
	Stops       []TaskStop
}

// RunState is a worker's own word on an attempt.
type RunState uint8

// States of an attempt at a worker.
const (
	RunRunning      RunState = iota + 1
	RunSucceeded             // ended well
	RunFailed                // ended badly, by itself
	RunCheckpointed          // stopped after a checkpoint
	RunKilled                // stopped, by request or by a lapsed lease
)

// TaskReport is a worker's report of one attempt.
type TaskReport struct {
	Task    api.TaskID
	Attempt uint32
	State   RunState
	Usage   api.Resources // lags
	RunFor  time.Duration
}

// WorkerReport is a worker's answer: everything that it holds. An attempt
// that is missing from a report is not running there and, if it was not
// among the Starts of the same exchange, will not run there again.
type WorkerReport struct {
	VM          api.VMID
	Incarnation uint64 // changes when the worker restarts; nothing survives that
	Clock       WorkerTime
	LeaseExpiry WorkerTime
	Tasks       []TaskReport
	Leaving     bool
}

// Errors of a worker exchange. ErrWorkerUncertain means that the exchange
// may have taken effect.
var (
	ErrWorkerUnreachable = errors.New("worker not reached")
	ErrWorkerUncertain   = errors.New("worker answer lost")
	ErrWorkerFenced      = errors.New("worker has seen a higher epoch")
)

// Worker reaches the agents of worker VMs.
type Worker interface {
	// Sync does one exchange with vm. It never repeats the message itself.
	Sync(ctx context.Context, vm api.VM, msg WorkerSync) (WorkerReport, error)
}
