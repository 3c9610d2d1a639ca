package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// An estimate says a second; the executor's reports say four.
func TestProgressPredictsRunEnd(t *testing.T) {
	w := newWorld(t, 1)
	w.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: time.Second})
	orders := w.cycle()
	w.startAll(orders)
	run := orders[0].Start.Run
	v := w.cell.vms["e0"]
	start := w.now
	report := func(after time.Duration, percent int) {
		w.pass(start.Add(after).Sub(w.now))
		w.report("e0", []platform.RunningTask{{Run: run, ProgressPercent: percent}}, nil)
	}
	for _, c := range []struct {
		after   time.Duration
		percent int
		want    time.Duration // from the start
	}{
		{10 * time.Millisecond, 0, time.Second}, // by the estimate
		{400 * time.Millisecond, 10, 4 * time.Second},
		{2 * time.Second, 50, 4 * time.Second},
		{2 * time.Second, 100, 4 * time.Second}, // about to end, or a task that lasts: says nothing
	} {
		report(c.after, c.percent)
		if got := v.allocations[run].expectedEndAt(w.now).Sub(start); got != c.want {
			t.Errorf("at %d%% after %v: the end is foretold for %v, want %v", c.percent, c.after, got, c.want)
		}
	}
	w.pass(3 * time.Second)
	if got := v.allocations[run].expectedEndAt(w.now).Sub(w.now); got != overdueEndDelay {
		t.Errorf("an end that should have come is foretold in %v", got)
	}
}

// What a run had done before it went on from a checkpoint tells nothing of its pace.
func TestProgressOfResumedRun(t *testing.T) {
	var p progress
	now := testStart
	p.add(60, 1000, now.Add(-time.Millisecond), true, now)
	if _, told := p.estimateEnd(); told {
		t.Error("foretold by what was done before")
	}
	p.add(80, 2000, now.Add(-time.Millisecond), true, now.Add(time.Second))
	if end, told := p.estimateEnd(); !told || end.Sub(now) != 2*time.Second {
		t.Errorf("foretold for %v (%t)", end.Sub(now), told)
	}
}
