package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// advance plays reports of one run, each 0.3 s, and returns whether it was stopped.
func (w *world) advance(run platform.Run, id string, percents ...int) bool {
	for _, p := range percents {
		w.pass(minPaceSpan)
		w.report(id, []platform.RunningTask{{Run: run, ProgressPercent: p}}, nil)
	}
	return len(w.cell.TakeStops(w.now)) > 0
}

// Executors fall to a sixth of their pace or stand still for seconds, in the middle of
// runs of a second. Those of which nothing would be left of use go on elsewhere.
func TestRunsMoveFromSlowExecutors(t *testing.T) {
	for _, c := range []struct {
		name     string
		step     work.Step
		percents []int // each 0.3 s
		moves    bool
	}{
		{"at its usual pace", work.Step{}, []int{10, 20, 30, 40, 50}, false},
		{"at half of it", work.Step{}, []int{10, 20, 30, 35, 40}, false},
		{"at a tenth of it", work.Step{}, []int{10, 20, 30, 31, 32}, true},
		{"stands still", work.Step{}, []int{10, 20, 30, 30, 30}, true},
		{"nearly done", work.Step{}, []int{30, 60, 90, 92, 93}, false},
		{"nothing is known of its usual pace", work.Step{}, []int{1, 2, 3, 4}, false},
		{"a figure that says nothing", work.Step{}, []int{50, 50, 50, 50, 50, 50}, false},
		{"a member of a gang", work.Step{Gang: true}, []int{10, 20, 30, 30, 30}, false},
		{"it lasts", work.Step{LongRunning: true}, []int{10, 20, 30, 30, 30}, false},
	} {
		w := newWorld(t, 2)
		step := c.step
		step.TaskCount, step.TaskResources, step.Estimate = 1, cpus(20), 3*time.Second
		w.job(1, testQueue, step)
		orders := w.cycle()
		w.startAll(orders)
		start := orders[0].Start
		if got := w.advance(start.Run, start.To.ID, c.percents...); got != c.moves {
			t.Errorf("%s: stopped is %t", c.name, got)
		}
	}
}

// A run that was moved goes on where it is, however that does: it would never end.
func TestRunsMoveOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: 3 * time.Second})
	slow := []int{10, 20, 30, 30, 30}
	for n := 1; n <= 2; n++ {
		orders := w.cycle()
		w.startAll(orders)
		if len(orders) != 1 {
			t.Fatalf("run %d: %d starts", n, len(orders))
		}
		start := orders[0].Start
		if moved := w.advance(start.Run, start.To.ID, slow...); moved != (n == 1) {
			t.Fatalf("run %d: stopped is %t", n, moved)
		}
		if n == 1 {
			w.report(start.To.ID, nil, ended(1, start.Run, platform.EndStopped))
			for id := range w.cell.vms {
				w.report(id, nil, nil)
			}
		}
	}
}
