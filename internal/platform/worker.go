package platform

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
)

// WorkerTime is a reading of a worker's monotonic clock, which starts with the
// worker. Readings of different workers or incarnations are not comparable.
type WorkerTime time.Duration

// TaskStart is an order to run one attempt of a task.
type TaskStart struct {
	Task      api.TaskID
	Attempt   uint32
	Resources api.Resources
	RunTime   time.Duration
	Restore   bool // start from the task's last checkpoint
	Payload   string
}

// StopMode is the way in which a running task is restrained or stopped.
type StopMode uint8

// Values of StopMode, in increasing order of severity.
const (
	StopThrottle   StopMode = iota + 1 // keep running, limited to the declared resources
	StopCheckpoint                     // save a checkpoint and stop
	StopKill                           // stop immediately
)

// TaskStop is an order to throttle or stop one attempt of a task.
type TaskStop struct {
	Task    api.TaskID
	Attempt uint32
	Mode    StopMode
}

// WorkerSync is the message of one exchange with a worker. A single message for each
// VM renews the lease on all its tasks and carries the start and stop orders.
//
// LeaseExpiry is a reading of the worker's clock, computed from the last report that
// the sender received. A delayed or duplicated renewal can therefore never extend
// the lease.
type WorkerSync struct {
	Epoch       api.Epoch  // of the sender's placement shard; the worker refuses epochs lower than it has seen
	Incarnation uint64     // of the worker, from its last report; zero if unknown
	LeaseExpiry WorkerTime // zero: the lease is not renewed
	Starts      []TaskStart
	Stops       []TaskStop
}

// RunState is the state of an attempt as reported by a worker.
type RunState uint8

// Values of RunState.
const (
	RunRunning      RunState = iota + 1
	RunSucceeded             // ended successfully
	RunFailed                // ended with an error of its own
	RunCheckpointed          // stopped after a checkpoint
	RunKilled                // stopped by an order or by an expired lease
)

// TaskReport is a worker's report of one attempt.
type TaskReport struct {
	Task    api.TaskID
	Attempt uint32
	State   RunState
	Usage   api.Resources // delayed measurement
	RunFor  time.Duration
}

// WorkerReport is a worker's answer, which lists all its attempts. An attempt that
// is missing from a report is not running on the worker. Unless it was among the
// Starts of the same exchange, it will not run there again.
type WorkerReport struct {
	VM          api.VMID
	Incarnation uint64 // changes when the worker restarts, which ends all its attempts
	Clock       WorkerTime
	LeaseExpiry WorkerTime
	Tasks       []TaskReport
	Leaving     bool
}

// Errors of an exchange with a worker. ErrWorkerUncertain means that the exchange
// may have taken effect.
var (
	ErrWorkerUnreachable = errors.New("worker not reached")
	ErrWorkerUncertain   = errors.New("worker answer lost")
	ErrWorkerFenced      = errors.New("worker has seen a higher epoch")
)

// Worker communicates with the agents of worker VMs.
type Worker interface {
	// Sync does one exchange with vm. It never retries.
	Sync(ctx context.Context, vm api.VM, msg WorkerSync) (WorkerReport, error)
}
