package platform

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ExecutorClock is a reading of an executor's monotonic clock, in milliseconds.
// Readings of different executors are not comparable.
type ExecutorClock int64

// Add returns the reading d later on the same clock.
func (c ExecutorClock) Add(d time.Duration) ExecutorClock {
	return c + ExecutorClock(d.Milliseconds())
}

// Sub returns the time from an earlier reading of the same clock to this one.
func (c ExecutorClock) Sub(earlier ExecutorClock) time.Duration {
	return time.Duration(c-earlier) * time.Millisecond
}

// ExecutorRef identifies one incarnation of an executor and its address.
type ExecutorRef struct {
	ID          string // later incarnations may have the same one
	StartTimeMs int64  // start of the incarnation by the executor's clock, in Unix milliseconds; 0: not reported
	Address     string // IP:port
}

// Incarnation returns the identity of the incarnation.
func (r ExecutorRef) Incarnation() work.ExecutorIncarnation {
	return work.ExecutorIncarnation{ID: r.ID, StartTimeMs: r.StartTimeMs}
}

// maxIncarnationsPerEpoch is the number of incarnations of one executor for which a leader has
// distinct fencing tokens.
const maxIncarnationsPerEpoch = 1 << 20

// FencingToken returns the token for a leader's calls to an executor. It increases with the
// leader's epoch and, within an epoch, with each new incarnation of the executor that the
// leader learns of. Once an executor has seen the token of an incarnation, calls that were
// meant for an earlier one have no effect.
func FencingToken(epoch api.Epoch, incarnation uint64) uint64 {
	return uint64(epoch)*maxIncarnationsPerEpoch + min(incarnation, maxIncarnationsPerEpoch-1)
}

// Run identifies one run of a task.
type Run struct {
	Task   work.TaskKey
	Number uint32 // increases with each start of the task, from 1
}

// StartOrder is an order to start a run of a task.
type StartOrder struct {
	Run           Run
	Specification string
	Checkpoint    string        // to resume from; empty: start from the beginning
	LeaseExpiry   ExecutorClock // the executor refuses the order from then on
	FencingToken  uint64
	Ticket        string // permission of the advice service; empty: none
}

// HoldOrder renews the lease of all runs on an executor and asks for a report of
// its running tasks and ended runs.
type HoldOrder struct {
	LeaseExpiry     ExecutorClock // 0: the lease is not renewed
	FencingToken    uint64
	Acknowledged    uint64        // the executor may forget the ends up to this number
	MaxWait         time.Duration // for which the executor may delay its answer until a run ends
	ReuseConnection bool          // send only on an open connection on which the executor has answered before
}

// EndReason is the reason for the end of a run.
type EndReason uint8

// Reasons for the end of a run.
const (
	EndUnknown EndReason = iota // reported with a name that this version doesn't know; handled like EndStopped
	EndDone
	EndFailed         // because of an error of the task or of the executor
	EndStopped        // by a stop order
	EndLeaseExpired   // the executor's lease expired
	EndGangBroken     // another member of the gang ended
	EndGangIncomplete // the other members of the gang were not started in time
)

// String returns the name of the reason in logs.
func (r EndReason) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[r]
}

// RunningTask is an executor's report of one running task.
type RunningTask struct {
	Run             Run
	Checkpoint      string // newest saved one
	ProgressPercent int    // share of the work done; of a long-running task: 100 while it is working
	Load            int    // approximate: used processors (thousandths), or tail response time (ms) of a task that serves users
}

// EndedRun is the end of a run. An executor reports it until it is acknowledged.
type EndedRun struct {
	Number     uint64 // increases within one incarnation of the executor, from 1
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// ExecutorReport is an executor's answer to a HoldOrder.
type ExecutorReport struct {
	StartTimeMs  int64 // of the reporting incarnation, in Unix milliseconds; 0: not reported
	StartTimeErr error // why StartTimeMs can't be read; nil if it can, or is not expected
	Clock        ExecutorClock
	Running      []RunningTask
	Ended        []EndedRun
}

// Refusal is the reason why an executor refused an order.
type Refusal string

// Reasons of refusal.
const (
	RefusedFenced           Refusal = "fenced"     // the executor has seen a higher fencing token
	RefusedOldRun           Refusal = "old_run"    // this run or a later one of the task has ended or was stopped
	RefusedLeaseExpired     Refusal = "late"       // the lease of the order has expired
	RefusedNoCapacity       Refusal = "no_room"    // the executor enforces its capacity
	RefusedTicket           Refusal = "ticket"     // missing, expired or for another step
	RefusedInvalidOrder     Refusal = "bad_order"  // the executor can't read the order
	RefusedUnhealthy        Refusal = "unhealthy"  // the executor is unhealthy and has done nothing
	RefusedOtherIncarnation Refusal = "other_life" // another incarnation answers at the address
)

// RefusedError reports that an executor refused an order, which had no effect.
type RefusedError struct {
	Reason Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return "executor refused: " + string(e.Reason) }

// ErrNotReached means that the call certainly did not reach the executor.
var ErrNotReached = errors.New("executor not reached")

// ErrNoAnswer means that the order may have been executed or may still be.
var ErrNoAnswer = errors.New("executor gave no answer")

// ErrNotConnected means that there is no open connection on which the executor has answered,
// and the call must not open one. The call did not reach the executor.
var ErrNotConnected = errors.New("no connection to the executor")

// Executors sends orders to executors. Calls fail with *RefusedError, ErrNotReached or
// ErrNoAnswer, and those that must not open a connection also with ErrNotConnected.
type Executors interface {
	Start(ctx context.Context, to ExecutorRef, order StartOrder) (ExecutorClock, error)
	Stop(ctx context.Context, to ExecutorRef, run Run, token uint64) (ExecutorClock, error)
	Hold(ctx context.Context, to ExecutorRef, order HoldOrder) (ExecutorReport, error)
}

// Grant is the advice service's permission to run a step on an executor.
type Grant struct {
	Executor string
	Ticket   string
}

// Adviser asks the advice service on which executors a step may run.
type Adviser interface {
	// Advise returns grants for some of the executors and the validity of their tickets.
	Advise(ctx context.Context, step work.StepKey, executors []string) ([]Grant, time.Duration, error)
}
