package forecast

import (
	"testing"
	"time"
)

// Guards against expected work that differs from the rate at which jobs were accepted, and
// against rates that a burst leaves behind for longer than a few seconds.
func TestArrivals(t *testing.T) {
	var a Arrivals
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	step := Demand{Tasks: 3, Task: Capacity{2000, 4000}, Run: 400 * time.Millisecond, Share: 0.5, NotBefore: 150 * time.Millisecond}
	j := &Job{Steps: []Step{{Demand: step}, {Demand: step, DependsOn: []int{0}}}, Submitted: 50 * time.Millisecond, Objective: 1050 * time.Millisecond}
	for range 200 { // 20 jobs a second
		now = now.Add(50 * time.Millisecond)
		a.Record("q", j, now)
	}
	expected := a.Expect(10*time.Second, now)
	tasks := [2]int{}
	for _, d := range expected {
		if !d.Expected || d.Task != step.Task || d.Run.Round(time.Millisecond) != step.Run || d.Gang {
			t.Fatalf("expected demand %+v", d)
		}
		// A first step has 200 ms left after its earliest start: 1 s, less two runs.
		if d.LatestStart-d.NotBefore > 110*time.Millisecond || d.LatestStart-d.NotBefore < 90*time.Millisecond {
			t.Fatalf("latest start %v after %v", d.LatestStart, d.NotBefore)
		}
	}
	half := len(expected) / 2
	for i, d := range expected {
		tasks[i/half] += d.Tasks
	}
	for i, n := range tasks {
		if n < 550 || n > 650 { // 10 s of 20 jobs of 3 tasks
			t.Errorf("%d tasks of step %d are expected", n, i)
		}
	}
	later := 0
	for _, d := range a.Expect(10*time.Second, now.Add(5*time.Second)) {
		later += d.Tasks
	}
	if later > 20 {
		t.Errorf("%d tasks are expected 5 s after the last job", later)
	}
}
