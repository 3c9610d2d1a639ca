package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/fleet"
	"github.com/skylarklock/skylarklock/internal/logging"
	"github.com/skylarklock/skylarklock/internal/plan"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// countingAdviser counts its calls and grants nothing, after a delay.
type countingAdviser struct {
	latency time.Duration
	calls   atomic.Int32
}

func (a *countingAdviser) Advise(_ context.Context, _ work.StepKey, _ []string) ([]platform.Grant, time.Duration, error) {
	a.calls.Add(1)
	time.Sleep(a.latency)
	return nil, time.Second, nil
}

// newWaitingCell returns a cell with an executor and jobs that wait for advice.
func newWaitingCell(jobs int) *plan.Cell {
	now := time.Now()
	cell := plan.NewCell(plan.DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Nop(), now.Add(-time.Minute))
	cell.Configure(&queue.Configuration{Queues: []queue.Queue{{
		Name: "q", Service: "svc", MaxAttempts: 1, Stretch: 2, TargetLatency: time.Second,
		Advice: &queue.Advice{DecisionTime: 10 * time.Millisecond, TimePerVM: time.Millisecond, TicketValidity: 2 * time.Second},
	}}})
	cell.UpdateExecutors(map[string]*fleet.Executor{"e": {
		Ref: platform.ExecutorRef{ID: "e", Address: "10.0.0.1:1"}, Service: "svc",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
	}}, now)
	h, _ := cell.NextHold("e", plan.HoldTerms{})
	cell.HandleReport(h, platform.ExecutorReport{Clock: 1}, now, now)
	for i := range jobs {
		job := &work.Job{
			ID: work.ID{byte(i)}, Queue: "q", Service: "svc",
			Steps: []work.Step{{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 1000}, Estimate: time.Second}},
		}
		cell.AddJob(job, nil, now.UnixMilli(), now)
	}
	cell.Plan(now)
	return cell
}

// While a cycle waits for a slow store, machines whose calls have been answered get the next ones.
func TestAdviceIsRequestedWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adviser := &countingAdviser{latency: 11 * time.Millisecond}
		r := New(Config{Peers: assist.NewPeers("a", adviser, nil), Logger: logging.Nop()})
		r.cell = newWaitingCell(20)
		ctx, stop := context.WithCancel(context.Background())
		r.spawn(func() { r.runAdviceLoop(ctx) })
		r.mu.Lock()
		r.requestAdvice(ctx, time.Now()) // like a cycle, which then waits for its append
		r.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		stop()
		r.goroutines.Wait()
		if n := adviser.calls.Load(); n != 20 {
			t.Errorf("%d advice calls for 20 waiting jobs, want 20", n)
		}
	})
}

// repeatingExecutor reports the same end until the end is acknowledged.
type repeatingExecutor struct {
	platform.Executors
	mu           sync.Mutex
	acknowledged []uint64 // acknowledged end number of each hold
}

func (e *repeatingExecutor) Hold(_ context.Context, _ platform.ExecutorRef, order platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	e.acknowledged = append(e.acknowledged, order.Acknowledged)
	e.mu.Unlock()
	report := platform.ExecutorReport{Clock: platform.ExecutorClock(time.Now().UnixMilli())}
	if order.Acknowledged > 0 {
		time.Sleep(order.MaxWait)
		return report, nil
	}
	report.Ended = []platform.EndedRun{{Number: 1, Reason: platform.EndDone}}
	return report, nil
}

func (e *repeatingExecutor) holds() (n int, latest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.acknowledged), e.acknowledged[len(e.acknowledged)-1]
}

// An end cannot become durable while the store is down, so it is not acknowledged. The lease of the
// other runs on the executor must still be renewed.
func TestLeasesAreRenewedWhileEndsAreNotDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := &repeatingExecutor{}
		r := New(Config{Executors: executor, CanRenewLeases: func() bool { return true }, Logger: logging.Nop()})
		r.cell = newWaitingCell(0)
		ctx, stop := context.WithCancel(context.Background())
		r.spawn(func() { r.runHoldLoop(ctx, "e") })
		time.Sleep(5500 * time.Millisecond)
		if n, latest := executor.holds(); n < 5 || n > 8 || latest != 0 {
			t.Errorf("%d holds in 5.5 s, the latest acknowledged ends up to %d", n, latest)
		}
		r.mu.Lock()
		close(r.cycleDone) // the store has recovered
		r.cycleDone = make(chan struct{})
		r.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		if _, latest := executor.holds(); latest != 1 {
			t.Errorf("after the recovery of the store the latest hold acknowledged ends up to %d, want 1", latest)
		}
		stop()
		r.goroutines.Wait()
	})
}

// Short calls run concurrently on a machine up to a bound on their total expected time.
func TestConcurrentShortCallsAreBounded(t *testing.T) {
	for _, c := range []struct {
		cost time.Duration
		want int
	}{
		{15 * time.Millisecond, 4},
		{50 * time.Millisecond, 2},
		{150 * time.Millisecond, 2},
		{time.Second, 1},
	} {
		t.Run(fmt.Sprint(c.cost), func(t *testing.T) {
			round := assist.NewPeers("a", &countingAdviser{}, nil).Round(time.Now())
			n := 0
			call := queue.CallTime{Fixed: c.cost, Total: c.cost}
			for round.Free(call) && round.Take(call) {
				n++
			}
			if n != c.want || len(round.Slots()) != n {
				t.Errorf("%d calls in flight, %d slots, want %d", n, len(round.Slots()), c.want)
			}
		})
	}
}

// A leader whose first append is in flight accepts submissions for as long as one that has made appends
// before.
func TestSubmissionsAreAcceptedDuringFirstAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Logger: logging.Nop()})
		now := time.Now()
		r.markAppendPending(now)
		if r.storeUnavailable(now.Add(minAppendWaitLimit / 2)) {
			t.Error("submissions are refused although the first append has only just been sent")
		}
		if !r.storeUnavailable(now.Add(2 * minAppendWaitLimit)) {
			t.Error("submissions are accepted although the append has gone unanswered for too long")
		}
	})
}

// addressedExecutor answers at one address only and counts the calls at each address.
type addressedExecutor struct {
	platform.Executors
	address    string
	mu         sync.Mutex
	callCounts map[string]int
}

func (e *addressedExecutor) Hold(_ context.Context, to platform.ExecutorRef, order platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	e.callCounts[to.Address]++
	address := e.address
	e.mu.Unlock()
	if to.Address != address {
		return platform.ExecutorReport{}, platform.ErrNotReached
	}
	time.Sleep(order.MaxWait)
	return platform.ExecutorReport{Clock: platform.ExecutorClock(time.Now().UnixMilli())}, nil
}

// stopAnswering makes the executor unreachable at all addresses.
func (e *addressedExecutor) stopAnswering() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = ""
}

func (e *addressedExecutor) callsAt(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callCounts[address]
}

// An executor is called at the address of its newest record until it answers there. It is no longer
// called once it is unregistered, runs nothing and does not respond.
func TestHoldsFollowRegisteredAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wrong, right = "10.0.0.1:1", "10.0.0.2:1"
		e := &addressedExecutor{address: right, callCounts: make(map[string]int)}
		r := New(Config{Executors: e, CanRenewLeases: func() bool { return true }, Logger: logging.Nop()})
		cell := plan.NewCell(plan.DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Nop(), time.Now())
		cell.Configure(&queue.Configuration{Services: map[string]queue.Service{"svc": {Name: "svc"}}})
		r.cell = cell
		ctx, stop := context.WithCancel(t.Context())
		list := func(address string) {
			r.mu.Lock()
			defer r.mu.Unlock()
			listed := make(map[string]*fleet.Executor)
			if address != "" {
				listed["e"] = &fleet.Executor{Ref: platform.ExecutorRef{ID: "e", Address: address}, Service: "svc"}
			}
			cell.UpdateExecutors(listed, time.Now())
			r.startHoldLoops(ctx)
		}
		list(wrong)
		time.Sleep(5 * time.Second)
		list(right)
		time.Sleep(5 * time.Second)
		before := e.callsAt(wrong)
		if before == 0 || e.callsAt(right) == 0 {
			t.Errorf("calls by address: %v, want some at both", e.callCounts)
		}
		list(wrong) // the executor still answers at the right address
		time.Sleep(5 * time.Second)
		if n := e.callsAt(wrong) - before; n > 0 {
			t.Errorf("%d calls at an address where the executor does not answer", n)
		}
		list("")
		calls := e.callsAt(right)
		time.Sleep(5 * time.Second)
		if e.callsAt(right) == calls {
			t.Error("an unregistered executor that answers is no longer called, although delayed orders may still reach it")
		}
		e.stopAnswering()
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		cell.DropExpired(time.Now())
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		calls = e.callsAt(right)
		time.Sleep(5 * time.Second)
		if n := e.callsAt(right) - calls; n > 0 || len(r.holdLoops) > 0 {
			t.Errorf("%d calls, %d hold loops for an unregistered, unresponsive executor", n, len(r.holdLoops))
		}
		stop()
		r.goroutines.Wait()
	})
}
