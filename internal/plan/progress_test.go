package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The estimate of the run is one second, but by its reported progress it takes four.
func TestProgressPredictsRunEnd(t *testing.T) {
	env := newTestEnv(t, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(20), Estimate: time.Second})
	orders := env.runCycle()
	env.confirmStarts(orders)
	run := orders[0].Start.Run
	v := env.cell.vms["e0"]
	start := env.now
	report := func(after time.Duration, percent int) {
		env.advance(start.Add(after).Sub(env.now))
		env.report("e0", []platform.RunningTask{{Run: run, ProgressPercent: percent}}, nil)
	}
	for _, c := range []struct {
		after   time.Duration
		percent int
		want    time.Duration // predicted time from the start to the end
	}{
		{10 * time.Millisecond, 0, time.Second}, // the estimate
		{400 * time.Millisecond, 10, 4 * time.Second},
		{2 * time.Second, 50, 4 * time.Second},
		{2 * time.Second, 100, 4 * time.Second}, // 100 percent is ignored: the run is about to end or long-running
	} {
		report(c.after, c.percent)
		if got := v.allocations[run].expectedEndAt(env.now).Sub(start); got != c.want {
			t.Errorf("at %d%% after %v: predicted end after %v, want %v", c.percent, c.after, got, c.want)
		}
	}
	env.advance(3 * time.Second)
	if got := v.allocations[run].expectedEndAt(env.now).Sub(env.now); got != overdueEndDelay {
		t.Errorf("predicted time to an overdue end is %v", got)
	}
}

// The progress that a run had at its checkpoint must not count for its pace.
func TestProgressOfResumedRun(t *testing.T) {
	var p progress
	now := testStart
	p.add(60, 1000, now.Add(-time.Millisecond), true, now)
	if _, known := p.estimateEnd(); known {
		t.Error("the end is predicted from the progress at the checkpoint")
	}
	p.add(80, 2000, now.Add(-time.Millisecond), true, now.Add(time.Second))
	if end, known := p.estimateEnd(); !known || end.Sub(now) != 2*time.Second {
		t.Errorf("predicted end after %v (known: %t), want 2s", end.Sub(now), known)
	}
}
