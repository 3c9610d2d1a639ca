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

// countingAdviser grants nothing, after a while.
type countingAdviser struct {
	takes time.Duration
	calls atomic.Int32
}

func (a *countingAdviser) Advise(_ context.Context, _ work.StepKey, _ []string) ([]platform.Grant, time.Duration, error) {
	a.calls.Add(1)
	time.Sleep(a.takes)
	return nil, time.Second, nil
}

// waitingCell returns a cell with an executor and jobs that wait for advice.
func waitingCell(jobs int) *plan.Cell {
	now := time.Now()
	cell := plan.NewCell(plan.DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Silent(), now.Add(-time.Minute))
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

// While a cycle waits for a slow store, machines whose calls were answered get
// the next ones.
func TestAdviceIsRequestedWhileStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adviser := &countingAdviser{takes: 11 * time.Millisecond}
		r := New(Config{Peers: assist.NewPeers("a", adviser, nil), Logger: logging.Silent()})
		r.cell = waitingCell(20)
		ctx, stop := context.WithCancel(context.Background())
		r.spawn(func() { r.keepAsking(ctx) })
		r.mu.Lock()
		r.askAdvice(ctx, time.Now()) // by a cycle, which then waits for its append
		r.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		stop()
		r.tasks.Wait()
		if n := adviser.calls.Load(); n != 20 {
			t.Errorf("%d calls for the advice that 20 jobs wait for", n)
		}
	})
}

// endingExecutor lists the same end until it is told that it was seen.
type endingExecutor struct {
	platform.Executors
	mu   sync.Mutex
	seen []uint64 // of each hold
}

func (e *endingExecutor) Hold(_ context.Context, _ platform.ExecutorRef, order platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	e.seen = append(e.seen, order.Acknowledged)
	e.mu.Unlock()
	report := platform.ExecutorReport{Clock: platform.ExecutorClock(time.Now().UnixMilli())}
	if order.Acknowledged > 0 {
		time.Sleep(order.MaxWait)
		return report, nil
	}
	report.Ended = []platform.EndedRun{{Number: 1, Reason: platform.EndDone}}
	return report, nil
}

func (e *endingExecutor) holds() (n int, newest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.seen), e.seen[len(e.seen)-1]
}

// While the store is down an end can't be made durable, so it isn't told as
// seen; the lease of what else runs there is renewed all the same.
func TestLeasesAreRenewedWhileEndsAreNotDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		executor := &endingExecutor{}
		r := New(Config{Executors: executor, CanRenewLeases: func() bool { return true }, Logger: logging.Silent()})
		r.cell = waitingCell(0)
		ctx, stop := context.WithCancel(context.Background())
		r.spawn(func() { r.holdExecutor(ctx, "e") })
		time.Sleep(5500 * time.Millisecond)
		if n, newest := executor.holds(); n < 5 || n > 8 || newest != 0 {
			t.Errorf("%d holds in 5.5 s, the newest saw ends up to %d", n, newest)
		}
		r.mu.Lock()
		close(r.cycle) // the store is back
		r.cycle = make(chan struct{})
		r.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		if _, newest := executor.holds(); newest != 1 {
			t.Errorf("after the store is back the newest hold saw ends up to %d", newest)
		}
		stop()
		r.tasks.Wait()
	})
}

// A short call is under way while others are, up to a bound on their time.
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
				t.Errorf("%d calls under way, %d slots, want %d", n, len(round.Slots()), c.want)
			}
		})
	}
}

// A leader whose first append is under way takes submissions as long as one
// that has made appends before.
func TestSubmissionsAreAcceptedDuringFirstAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Logger: logging.Silent()})
		now := time.Now()
		r.setStuck(now)
		if r.takesNothing(now.Add(stuckAfter / 2)) {
			t.Error("submissions are refused while the first append has only just been sent")
		}
		if !r.takesNothing(now.Add(2 * stuckAfter)) {
			t.Error("submissions are taken though the store has given no answer for long")
		}
	})
}

// placedExecutor answers at one address only and notes where it was called.
type placedExecutor struct {
	platform.Executors
	address string
	mu      sync.Mutex
	called  map[string]int
}

func (e *placedExecutor) Hold(_ context.Context, to platform.ExecutorRef, order platform.HoldOrder) (platform.ExecutorReport, error) {
	e.mu.Lock()
	e.called[to.Address]++
	address := e.address
	e.mu.Unlock()
	if to.Address != address {
		return platform.ExecutorReport{}, platform.ErrNotReached
	}
	time.Sleep(order.MaxWait)
	return platform.ExecutorReport{Clock: platform.ExecutorClock(time.Now().UnixMilli())}, nil
}

// leave has it answer nowhere any more.
func (e *placedExecutor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = ""
}

func (e *placedExecutor) at(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.called[address]
}

// An executor is called where its newest record says until it answers there, and
// no more once it isn't registered, nothing runs there and it is silent.
func TestHoldsFollowRegisteredAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wrong, right = "10.0.0.1:1", "10.0.0.2:1"
		e := &placedExecutor{address: right, called: make(map[string]int)}
		r := New(Config{Executors: e, CanRenewLeases: func() bool { return true }, Logger: logging.Silent()})
		cell := plan.NewCell(plan.DefaultConfig(), func(work.ID) *work.Job { return nil }, logging.Silent(), time.Now())
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
			r.keepHolds(ctx)
		}
		list(wrong)
		time.Sleep(5 * time.Second)
		list(right)
		time.Sleep(5 * time.Second)
		before := e.at(wrong)
		if before == 0 || e.at(right) == 0 {
			t.Errorf("calls: %v", e.called)
		}
		list(wrong) // it answers elsewhere
		time.Sleep(5 * time.Second)
		if n := e.at(wrong) - before; n > 0 {
			t.Errorf("%d calls at an address where it doesn't answer", n)
		}
		list("")
		calls := e.at(right)
		time.Sleep(5 * time.Second)
		if e.at(right) == calls {
			t.Error("an executor that answers isn't called any more, though orders may come late there")
		}
		e.leave()
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		cell.DropExpired(time.Now())
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		calls = e.at(right)
		time.Sleep(5 * time.Second)
		if n := e.at(right) - calls; n > 0 || len(r.holds) > 0 {
			t.Errorf("%d calls, %d holds of an executor that isn't registered and is silent", n, len(r.holds))
		}
		stop()
		r.tasks.Wait()
	})
}
