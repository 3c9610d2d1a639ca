package platform

import (
	"context"
	"errors"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// ExecutorClock is a reading of an executor's own steady clock, in
// milliseconds. Readings of different executors can't be compared.
type ExecutorClock int64

// Add returns the reading d later on the same clock.
func (c ExecutorClock) Add(d time.Duration) ExecutorClock {
	return c + ExecutorClock(d.Milliseconds())
}

// Sub returns the time from an earlier reading of the same clock to this one.
func (c ExecutorClock) Sub(earlier ExecutorClock) time.Duration {
	return time.Duration(c-earlier) * time.Millisecond
}

// ExecutorRef names one life of an executor and where to reach it.
type ExecutorRef struct {
	ID          string // a later life may have it again
	StartTimeMs int64  // when the life began, by its own clock: Unix milliseconds; 0: not told
	Address     string // IP:port
}

// Incarnation returns the name of the life.
func (r ExecutorRef) Incarnation() work.ExecutorIncarnation {
	return work.ExecutorIncarnation{ID: r.ID, StartTimeMs: r.StartTimeMs}
}

// livesOfEpoch is how many lives of one executor a leader's fencing tokens tell apart.
const livesOfEpoch = 1 << 20

// FencingToken returns the token of a leader's calls to an executor. It rises with the
// leader's epoch, and within that with each further life of the executor that the leader
// gets to know: a call that was meant for a former life has no effect from then on.
func FencingToken(epoch api.Epoch, life uint64) uint64 {
	return uint64(epoch)*livesOfEpoch + min(life, livesOfEpoch-1)
}

// Run is one start of a task.
type Run struct {
	Task   work.TaskKey
	Number uint32 // from 1, rises with each start of the task
}

// StartOrder asks an executor to start a task.
type StartOrder struct {
	Run           Run
	Specification string
	Checkpoint    string        // to resume from; empty: from the beginning
	LeaseExpiry   ExecutorClock // the order is void from then on
	FencingToken  uint64        // fencing token
	Ticket        string        // permission of the advice service; empty: none
}

// HoldOrder renews the lease of everything on an executor and asks what runs
// there.
type HoldOrder struct {
	LeaseExpiry     ExecutorClock // 0: the lease stays as it is
	FencingToken    uint64        // fencing token
	Acknowledged    uint64        // ends up to this number may be forgotten
	MaxWait         time.Duration // how long the answer may wait for an end
	ReuseConnection bool          // only by a connection on which the executor has answered before
}

// EndReason says how a run ended.
type EndReason uint8

// The ways in which a run ends.
const (
	EndUnknown        EndReason = iota // a word that this version doesn't know; counts as stopped
	EndDone                            //
	EndFailed                          // through its own fault or the executor's
	EndStopped                         // by an order
	EndLeaseExpired                    // its lease expired
	EndGangBroken                      // another member of its gang ended
	EndGangIncomplete                  // the rest of its gang didn't come in time
)

// String returns the way's name in logs.
func (h EndReason) String() string {
	return [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}[h]
}

// RunningTask is one task at work on an executor.
type RunningTask struct {
	Run             Run
	Checkpoint      string // newest that it has saved
	ProgressPercent int    // of its work that is done; of a task that lasts: 100 while it is at work
	Load            int    // rough: processors used (thousandths), or for a task with users their tail response time (ms)
}

// EndedRun is one end that an executor lists until it is told that it was seen.
type EndedRun struct {
	Number     uint64 // rises within one life of the executor, from 1
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// ExecutorReport is an executor's answer to a hold.
type ExecutorReport struct {
	StartTimeMs  int64 // of the life that reports: Unix milliseconds; 0: not told
	StartTimeErr error // why it can't be read which life reports; nil: it can, or isn't told
	Clock        ExecutorClock
	Running      []RunningTask
	Ended        []EndedRun
}

// Refusal is the reason why an executor refused a start.
type Refusal string

// Reasons of refusal.
const (
	RefusedFenced           Refusal = "fenced"     // it has seen a higher token
	RefusedOldRun           Refusal = "old_run"    // this run, or a later one, has ended or been stopped there
	RefusedLeaseExpired     Refusal = "late"       // the order's lease is over
	RefusedNoCapacity       Refusal = "no_room"    // it guards its capacity
	RefusedTicket           Refusal = "ticket"     // missing, lapsed or for another step
	RefusedInvalidOrder     Refusal = "bad_order"  // it can't read the order
	RefusedUnhealthy        Refusal = "unhealthy"  // it did nothing and isn't well
	RefusedOtherIncarnation Refusal = "other_life" // another life of the executor answers at the address
)

// RefusedError is an executor's refusal; the order had no effect.
type RefusedError struct {
	Reason Refusal
}

// Error implements error.
func (e *RefusedError) Error() string { return "executor refused: " + string(e.Reason) }

// ErrNotReached: the call certainly did not reach the executor.
var ErrNotReached = errors.New("executor not reached")

// ErrNoAnswer: the order may have been carried out, or may be later.
var ErrNoAnswer = errors.New("executor gave no answer")

// ErrNotConnected: no connection is open on which the executor has answered, and the call
// was to open none. It did not reach the executor.
var ErrNotConnected = errors.New("no connection to the executor")

// Executors sends orders to executors. Calls fail with *RefusedError, ErrNotReached,
// ErrNoAnswer, or, where they open no connection, with ErrNotConnected.
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

// Adviser asks which of some executors a step may run on.
type Adviser interface {
	// Advise returns the grants and how long their tickets are valid.
	Advise(ctx context.Context, step work.StepKey, executors []string) ([]Grant, time.Duration, error)
}
