package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Workspaces of the tests.
var (
	cappedWorkspace = work.NewWorkspaceID("capped")
	otherWorkspace  = work.NewWorkspaceID("other")
)

// setWorkspaces puts a configuration in force in which one workspace has a cap, in processors, and
// both have a weight. A cap of 0 removes the capped workspace.
func (env *testEnv) setWorkspaces(capCPUs int64, weight float64) {
	env.configure = func() *queue.Configuration {
		c := testQueueConfig()
		if capCPUs > 0 {
			c.Workspaces.Add(queue.Workspace{ID: cappedWorkspace, Name: "capped", Weight: weight, Cap: api.Resources{MilliCPU: 1000 * capCPUs}}, nil)
		}
		c.Workspaces.Add(queue.Workspace{ID: otherWorkspace, Name: "other", Weight: weight}, nil)
		return c
	}
	env.cell.Configure(env.configure())
}

// submitIn submits a job of a workspace with one step.
func (env *testEnv) submitIn(w work.WorkspaceID, n byte, s work.Step) *work.Job {
	j := &work.Job{ID: work.ID{n}, Queue: testQueue, Service: testService, Workspace: w, AcceptedMs: env.now.UnixMilli(), Steps: []work.Step{s}}
	env.submit(j)
	return j
}

// countStarts runs a cycle, confirms its starts and returns their number.
func (env *testEnv) countStarts() int {
	orders := env.runCycle()
	env.confirmStarts(orders)
	return len(orders)
}

func TestCapBoundsStarts(t *testing.T) {
	env := newTestEnv(t, 4)
	env.setWorkspaces(16, 0)
	env.submitIn(cappedWorkspace, 1, work.Step{TaskCount: 9, TaskResources: cpus(4), Estimate: time.Minute})
	env.submitIn(cappedWorkspace, 2, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Minute, Gang: true})
	env.submitIn(otherWorkspace, 3, work.Step{TaskCount: 20, TaskResources: cpus(4), Estimate: time.Minute})
	if n := env.countStarts(); n != 4+20 {
		t.Errorf("%d starts, want 4 under the cap and 20 of the other workspace", n)
	}
	if n := env.countStarts(); n != 0 {
		t.Errorf("%d more starts at the cap", n)
	}
	env.setWorkspaces(24, 0)
	if n := env.countStarts(); n != 2 {
		t.Errorf("%d starts after the cap was raised by two tasks", n)
	}
	env.setWorkspaces(8, 0)
	if n := env.countStarts(); n != 0 {
		t.Errorf("%d starts under a cap that was lowered far below the usage", n)
	}
	env.setWorkspaces(0, 0)
	if n := env.countStarts(); n != 0 {
		t.Errorf("%d starts of a workspace that was removed above its last cap", n)
	}
}

// Starts that were planned before the cap was lowered are dropped before they are sent, a gang whole.
func TestLoweredCapDropsPlannedStarts(t *testing.T) {
	for loweredTo, want := range map[int64]struct{ gang, single int }{32: {4, 4}, 20: {4, 1}, 12: {0, 0}} {
		gang, single := confirmUnderLoweredCap(t, loweredTo)
		if gang != want.gang || single != want.single {
			t.Errorf("cap of %d processors: %d members of a gang and %d other tasks are sent, want %d and %d", loweredTo, gang, single, want.gang, want.single)
		}
	}
}

// confirmUnderLoweredCap plans a gang and a step of four tasks of four processors each, lowers the cap,
// and returns how many starts of each are confirmed.
func confirmUnderLoweredCap(t *testing.T, loweredTo int64) (gang, single int) {
	t.Helper()
	env := newTestEnv(t, 4)
	env.setWorkspaces(40, 0)
	env.submitIn(cappedWorkspace, 1, work.Step{TaskCount: 4, TaskResources: cpus(4), Estimate: time.Second})
	env.submitIn(cappedWorkspace, 2, work.Step{TaskCount: 4, TaskResources: cpus(4), Estimate: time.Minute, Gang: true})
	planned := env.cell.Plan(env.now)
	if len(planned) != 8 {
		t.Fatalf("%d starts planned", len(planned))
	}
	env.saveRecords()
	env.setWorkspaces(loweredTo, 0)
	for _, o := range env.cell.Confirm(planned, env.now) {
		if o.Start.Run.Task.Job == (work.ID{2}) {
			gang++
		} else {
			single++
		}
	}
	env.checkAllocations()
	return gang, single
}

// What may be running counts: an order without an answer, runs of a former leader, stops under way and
// runs of ended jobs, until each is certainly over.
func TestUncertainRunsCountUnderCap(t *testing.T) {
	step := work.Step{TaskCount: 2, TaskResources: cpus(8), Estimate: time.Minute}
	t.Run("order without an answer", func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.setWorkspaces(16, 0)
		env.submitIn(cappedWorkspace, 1, step)
		for _, o := range env.runCycle() {
			env.cell.HandleStartAnswer(o.Start, platform.ErrUncertain, env.now)
		}
		env.submitIn(cappedWorkspace, 2, step)
		if n := env.countStarts(); n != 0 {
			t.Errorf("%d starts beside unanswered ones", n)
		}
	})
	t.Run("former leader", func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.setWorkspaces(16, 0)
		env.submitIn(cappedWorkspace, 1, step)
		env.countStarts()
		env.takeOver()
		env.submitIn(cappedWorkspace, 2, step)
		if n := env.countStarts(); n != 0 {
			t.Errorf("%d starts beside those of a former leader", n)
		}
	})
	t.Run("cancelled job", func(t *testing.T) {
		env := newTestEnv(t, 4)
		env.setWorkspaces(16, 0)
		j := env.submitIn(cappedWorkspace, 1, step)
		orders := env.runCycle()
		env.confirmStarts(orders)
		env.cell.Cancel(j.ID)
		env.submitIn(cappedWorkspace, 2, step)
		if n := env.countStarts(); n != 0 {
			t.Errorf("%d starts beside runs that are being stopped", n)
		}
		for i, o := range orders {
			env.report(o.Start.To.ID, nil, ended(uint64(i+1), o.Start.Run, platform.EndStopped))
		}
		if n := env.countStarts(); n != 2 {
			t.Errorf("%d starts after the runs were stopped, want 2", n)
		}
	})
}

// A step that its cap keeps back costs the others nothing: it holds no reservation, makes no advice
// calls and doesn't count as work ahead of them.
func TestStepAtCapCostsOthersNothing(t *testing.T) {
	env := newTestEnv(t, 2)
	env.setWorkspaces(8, 0)
	env.submitIn(cappedWorkspace, 1, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Hour})
	env.countStarts()
	held := env.submitIn(cappedWorkspace, 2, work.Step{TaskCount: 2, TaskResources: cpus(4), Estimate: time.Minute, Gang: true})
	advised := &work.Job{ID: work.ID{3}, Queue: testAdvisedQueue, Service: testService, Workspace: cappedWorkspace, AcceptedMs: env.now.UnixMilli(),
		Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute}}}
	env.submit(advised)
	if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) != 0 {
		t.Errorf("%d advice calls for a step that its cap keeps back", len(calls))
	}
	other := env.submitIn(otherWorkspace, 4, work.Step{TaskCount: 14, TaskResources: cpus(4), Estimate: time.Minute})
	backlog := env.cell.Backlog(env.now)
	if got := backlog.Shared().ProcessingTime(); got != time.Duration(14*4)*time.Minute/64 {
		t.Errorf("the shared backlog takes %v", got)
	}
	if got := backlog.UnderCap(held, api.Resources{MilliCPU: 8000}).ProcessingTime(); got != 3*4*time.Minute/8 {
		t.Errorf("the backlog under the cap takes %v", got)
	}
	if got := backlog.UnderCap(other, api.Resources{}).ProcessingTime(); got != 0 {
		t.Errorf("the backlog of a workspace without a cap takes %v", got)
	}
	if n := env.countStarts(); n != 14 {
		t.Errorf("%d of 14 tasks of the other workspace started", n)
	}
}

// Advice is requested ahead of the time when a run under the cap ends, for as many steps as will fit.
func TestAdviceCallsForCapThatIsFreedSoon(t *testing.T) {
	env := newTestEnv(t, 2)
	env.setWorkspaces(8, 0)
	env.submitIn(cappedWorkspace, 1, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Second})
	env.countStarts()
	for n := byte(2); n < 6; n++ {
		env.submit(&work.Job{ID: work.ID{n}, Queue: testAdvisedQueue, Service: testService, Workspace: cappedWorkspace, AcceptedMs: env.now.UnixMilli(),
			Steps: []work.Step{{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute}}})
	}
	if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) != 0 {
		t.Errorf("%d advice calls long before the cap is freed", len(calls))
	}
	env.advance(900 * time.Millisecond)
	env.reportAll()
	if calls := env.cell.AdviceCalls(env.now, acceptingDispatcher{}); len(calls) != 2 {
		t.Errorf("%d advice calls right before the cap is freed for two tasks", len(calls))
	}
}

// An order that a later incarnation of its executor may carry out counts until it is settled.
func TestDeferredOrderCountsUnderCap(t *testing.T) {
	env := newTestEnv(t, 1)
	env.setWorkspaces(8, 0)
	j := env.submitIn(cappedWorkspace, 1, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	env.countStarts()
	v := env.cell.vms["e0"]
	for _, alloc := range v.allocations {
		alloc.task.incarnation.StartTimeMs = 1
		alloc.orderExpiry = env.now.Add(env.cell.cfg.MaxOrderDelay)
		env.cell.endRun(alloc, platform.EndStopped, "")
		env.cell.deferTask(alloc, false)
	}
	env.cell.Cancel(j.ID)
	env.submitIn(cappedWorkspace, 2, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	if n := env.countStarts(); n != 0 {
		t.Errorf("%d starts beside an order that may be carried out late", n)
	}
	env.advance(env.cell.cfg.MaxOrderDelay + time.Second)
	env.reportAll()
	if n := env.countStarts(); n != 1 {
		t.Errorf("%d starts once the order is settled", n)
	}
}

// What a workspace submits within its weight in jobs a second keeps its place; what is in excess comes after
// the work of others, and starts in what they leave.
func TestJobsInExcessComeLast(t *testing.T) {
	for _, c := range []struct {
		weight     float64
		jobs, want int // jobs that arrive at once, and those of them within the weight
	}{{3, 5, 3}, {0.5, 2, 1}, {0, 5, 5}} {
		env := newTestEnv(t, 1)
		env.setWorkspaces(1000, c.weight)
		within := 0
		for n := range c.jobs {
			env.submitIn(otherWorkspace, byte(n+1), work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: time.Minute})
			if !env.cell.jobs[work.ID{byte(n + 1)}].excess {
				within++
			}
		}
		if within != c.want {
			t.Errorf("weight %v: %d of %d jobs are within it, want %d", c.weight, within, c.jobs, c.want)
		}
	}
	env := newTestEnv(t, 1)
	env.setWorkspaces(1000, 2)
	for n := range byte(6) {
		env.submitIn(otherWorkspace, n+1, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	}
	env.submitIn(cappedWorkspace, 9, work.Step{TaskCount: 2, TaskResources: cpus(8), Estimate: time.Minute})
	started := make(map[byte]int)
	for _, o := range env.runCycle() {
		started[o.Start.Run.Task.Job[0]]++
	}
	if started[1] != 1 || started[2] != 1 || started[9] != 2 || len(started) != 3 {
		t.Errorf("the tasks started by job are %v, want those within the weights", started)
	}
}

// While capacity is short, a workspace that uses more than its share comes after the others.
func TestWorkspaceOverItsShareComesLast(t *testing.T) {
	env := newTestEnv(t, 1)
	env.setWorkspaces(1000, 50)
	env.submitIn(otherWorkspace, 1, work.Step{TaskCount: 3, TaskResources: cpus(8), Estimate: time.Minute})
	env.countStarts()
	env.submitIn(otherWorkspace, 2, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Minute})
	env.submitIn(cappedWorkspace, 3, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: 2 * time.Minute})
	orders := env.runCycle()
	if len(orders) != 1 || orders[0].Start.Run.Task.Job != (work.ID{3}) {
		t.Errorf("started %d, want the task of the workspace below its share", len(orders))
	}
}
