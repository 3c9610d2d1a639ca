package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// reportProgress has an executor report the progress of a run every 0.3 s, and returns
// whether the run was stopped.
func (env *testEnv) reportProgress(run platform.Run, id string, percents ...int) bool {
	for _, percent := range percents {
		env.advance(minPaceSpan)
		env.report(id, []platform.RunningTask{{Run: run, ProgressPercent: percent}}, nil)
	}
	return len(env.cell.TakeStops(env.now)) > 0
}

// Executors drop to a sixth of their pace or stall for seconds in the middle of runs of one
// second. Runs that would end too late there to be useful are stopped and start elsewhere.
func TestRunsMoveFromSlowExecutors(t *testing.T) {
	for _, c := range []struct {
		name     string
		step     work.Step
		percents []int // reported every 0.3 s
		moves    bool
	}{
		{"usual pace", work.Step{}, []int{10, 20, 30, 40, 50}, false},
		{"half the usual pace", work.Step{}, []int{10, 20, 30, 35, 40}, false},
		{"a tenth of the usual pace", work.Step{}, []int{10, 20, 30, 31, 32}, true},
		{"stalled", work.Step{}, []int{10, 20, 30, 30, 30}, true},
		{"nearly done", work.Step{}, []int{30, 60, 90, 92, 93}, false},
		{"usual pace unknown", work.Step{}, []int{1, 2, 3, 4}, false},
		{"constant percentage from the start", work.Step{}, []int{50, 50, 50, 50, 50, 50}, false},
		{"member of a gang", work.Step{Gang: true}, []int{10, 20, 30, 30, 30}, false},
		{"long-running", work.Step{LongRunning: true}, []int{10, 20, 30, 30, 30}, false},
	} {
		env := newTestEnv(t, 2)
		step := c.step
		step.TaskCount, step.TaskResources, step.Estimate = 1, cpus(20), 3*time.Second
		env.submitJob(1, testQueue, step)
		orders := env.runCycle()
		env.confirmStarts(orders)
		start := orders[0].Start
		if got := env.reportProgress(start.Run, start.To.ID, c.percents...); got != c.moves {
			t.Errorf("%s: stopped = %t", c.name, got)
		}
	}
}

// A task is moved only once. Otherwise it might never end if all executors are slow.
func TestRunsMoveOnce(t *testing.T) {
	env := newTestEnv(t, 2)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: 3 * time.Second})
	slow := []int{10, 20, 30, 30, 30}
	for n := 1; n <= 2; n++ {
		orders := env.runCycle()
		env.confirmStarts(orders)
		if len(orders) != 1 {
			t.Fatalf("run %d: %d starts", n, len(orders))
		}
		start := orders[0].Start
		if moved := env.reportProgress(start.Run, start.To.ID, slow...); moved != (n == 1) {
			t.Fatalf("run %d: stopped = %t", n, moved)
		}
		if n == 1 {
			env.report(start.To.ID, nil, ended(1, start.Run, platform.EndStopped))
			for id := range env.cell.vms {
				env.report(id, nil, nil)
			}
		}
	}
}
