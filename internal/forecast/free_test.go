package forecast

import (
	"testing"
	"time"
)

// Guards against refusals of a job for which slots are free because of steps that can't use them, and
// against jobs that are all accepted for the same slots.
func TestFitsNow(t *testing.T) {
	task := Capacity{1000, 1000}
	executor := func(slots int) Executor { return Executor{Capacity: task.times(8), Free: task.times(slots)} }
	const advice = 30 * time.Millisecond
	waiting := Demand{Tasks: 20, Task: task, Run: time.Second, Share: 0.7}
	gang := Demand{Tasks: 20, Task: task, Run: time.Second, Share: 1, Gang: true, NotBefore: advice}
	accepted := Demand{Tasks: 4, Task: task, Run: time.Second, Share: 1, NotBefore: advice}
	later, expected := accepted, accepted
	later.NotBefore, expected.Expected = time.Second, true
	const sincePlacement = 20 * time.Millisecond
	offered := waiting
	offered.NotBefore = -sincePlacement
	released := []Executor{{Capacity: task.times(8), Free: task.times(4), Released: task.times(4)}}
	for _, c := range []struct {
		name      string
		executors []Executor
		tasks     int
		share     float64
		ahead     []Demand
		want      bool
	}{
		{"no slot", []Executor{executor(0), executor(0)}, 1, 1, nil, false},
		{"one slot of two", []Executor{executor(1)}, 2, 1, nil, false},
		{"one slot of a task, on any executor", []Executor{executor(1)}, 1, 0.3, nil, true},
		{"as many slots as tasks, on a third of the executors", []Executor{executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1), executor(1)}, 12, 0.3, nil, false},
		{"a step ahead that was offered the slots", []Executor{executor(4)}, 4, 1, []Demand{offered}, true},
		{"a step ahead that takes released slots", released, 4, 1, []Demand{offered, offered, offered, offered, offered, offered, offered, offered, offered, offered}, false},
		{"released slots without a step ahead", released, 4, 1, nil, true},
		{"a gang ahead that doesn't fit", []Executor{executor(4)}, 4, 1, []Demand{gang}, true},
		{"a job ahead that starts before it", []Executor{executor(4)}, 1, 1, []Demand{accepted}, false},
		{"a job ahead that leaves slots", []Executor{executor(8)}, 4, 1, []Demand{accepted}, true},
		{"a job ahead that starts after it", []Executor{executor(4)}, 4, 1, []Demand{later}, true},
		{"a job that is only expected", []Executor{executor(4)}, 4, 1, []Demand{expected}, true},
	} {
		j := Job{SincePlacement: sincePlacement, Steps: []Step{{Demand: Demand{Tasks: c.tasks, Task: task, Run: time.Second, Share: c.share, NotBefore: advice}}}}
		if got := FitsNow(c.executors, &j, c.ahead); got != c.want {
			t.Errorf("%s: fits: %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against profiles that count work that has started since they were built, and that forget
// the jobs that were added.
func TestFreeInCountsWhatHasNotStarted(t *testing.T) {
	task := Capacity{1000, 1000}
	before := []Executor{{Capacity: task.times(8), Free: task.times(8)}}
	step := Demand{Tasks: 4, Task: task, Run: time.Second, Share: 1, NotBefore: 30 * time.Millisecond, LatestStart: time.Second}
	job := func(at time.Duration) Job {
		j := Job{Submitted: at, Objective: at + 2*time.Second, Steps: []Step{{Demand: step}}}
		j.Steps[0].NotBefore += at
		return j
	}
	p := Build(MaxHorizon, before, nil, []Demand{step})
	later := job(80 * time.Millisecond)
	halfFree := []Executor{{Capacity: task.times(8), Free: task.times(4)}} // the step has started
	if !p.FreeIn(halfFree, &later, 1) {
		t.Error("no capacity for a job, of which a step that has started is counted twice")
	}
	sooner := job(10 * time.Millisecond)
	if p.FreeIn(halfFree, &sooner, 1) {
		t.Error("capacity for a job that a step ahead will take")
	}
	p.Add(&later, 1, p.Forecast(&later, 1))
	if p.FreeIn(halfFree, &later, 1) {
		t.Error("capacity for a second job that an added one will take")
	}
}
