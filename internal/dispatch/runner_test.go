package dispatch

import (
	"context"
	"fmt"
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
	cell.Configure(&queue.Table{Queues: []queue.Queue{{
		Name: "q", Service: "svc", Attempts: 1, Stretch: 2, TargetLatency: time.Second,
		Advice: &queue.Advice{Decision: 10 * time.Millisecond, PerVM: time.Millisecond, Valid: 2 * time.Second},
	}}})
	cell.Executors(map[string]*fleet.Executor{"e": {
		Ref: platform.ExecutorRef{ID: "e", Address: "10.0.0.1:1"}, Service: "svc",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 64000},
	}}, now)
	cell.Report("e", platform.ExecutorReport{Clock: 1}, now, now)
	for i := range jobs {
		job := &work.Job{
			ID: work.ID{byte(i)}, Queue: "q", Service: "svc",
			Steps: []work.Step{{Tasks: 1, Need: api.Resources{MilliCPU: 1000}, Estimate: time.Second}},
		}
		cell.AddJob(job, nil, now.UnixMilli(), now)
	}
	cell.Plan(now)
	return cell
}

// While a cycle waits for a slow store, machines whose calls were answered get
// the next ones.
func TestAdviceIsAskedWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adviser := &countingAdviser{takes: 11 * time.Millisecond}
		r := New(Config{Helpers: assist.NewHelpers("a", adviser, nil), Events: logging.Silent()})
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

// A short call is under way while others are, up to a bound on their time.
func TestShortCallsQueueUpToABound(t *testing.T) {
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
			round := assist.NewHelpers("a", &countingAdviser{}, nil).Round(time.Now())
			n := 0
			for round.Free(c.cost) && round.Take(c.cost) {
				n++
			}
			if n != c.want || len(round.Slots()) != n {
				t.Errorf("%d calls under way, %d slots, want %d", n, len(round.Slots()), c.want)
			}
		})
	}
}
