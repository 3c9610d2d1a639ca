package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// The preference decides whether a task waits for a faster executor. It must never wait once
// its slack has passed, and only tasks with long slack may take slow executors first.
func TestSpeedPreference(t *testing.T) {
	urgent := speedDemand{slack: 640 * time.Millisecond, estimate: 680 * time.Millisecond, slowdown: 2.2}
	batch := speedDemand{slack: 10 * time.Second, estimate: 2300 * time.Millisecond, slowdown: 2.2}
	gang := speedDemand{gang: true, slack: 5 * time.Second, estimate: 3400 * time.Millisecond, slowdown: 2.2}
	change := func(d speedDemand, f func(d *speedDemand)) speedDemand {
		f(&d)
		return d
	}
	for name, c := range map[string]struct {
		demand speedDemand
		want   speedPreference
	}{
		"urgent task that would miss its objective":       {urgent, requireFast},
		"urgent task on a slightly slow executor":         {change(urgent, func(d *speedDemand) { d.slowdown = 1.4 }), preferFast},
		"urgent task at its latest start":                 {change(urgent, func(d *speedDemand) { d.slack = 0 }), preferFast},
		"late urgent task":                                {change(urgent, func(d *speedDemand) { d.slack = -time.Minute }), preferFast},
		"batch with long slack":                           {batch, preferSlow},
		"batch with long slack that is bound to its data": {change(batch, func(d *speedDemand) { d.dataBound = true }), anySpeed},
		"batch that has waited":                           {change(batch, func(d *speedDemand) { d.slack = 4 * time.Second }), preferFast},
		"batch with little slack":                         {change(batch, func(d *speedDemand) { d.slack = time.Second }), requireFast},
		"gang in time also on slow executors":             {gang, preferFast},
		"gang with long slack":                            {change(gang, func(d *speedDemand) { d.slack = time.Hour }), preferFast},
		"gang that would miss its objective":              {change(gang, func(d *speedDemand) { d.slack = 4 * time.Second }), requireFast},
		"gang that is bound to its data":                  {change(gang, func(d *speedDemand) { d.dataBound = true }), anySpeed},
		"late gang":                                       {change(gang, func(d *speedDemand) { d.slack = -time.Second }), preferFast},
		"equal speeds":                                    {change(urgent, func(d *speedDemand) { d.slowdown = 1 }), anySpeed},
		"long-running task":                               {change(urgent, func(d *speedDemand) { d.longRunning = true }), anySpeed},
	} {
		if got := c.demand.preference(); got != c.want {
			t.Errorf("%s: preference %d, want %d", name, got, c.want)
		}
	}
}

// newSlowFleet returns a cell in which executors e0 and following are certainly slow by 2.2.
func newSlowFleet(t *testing.T, executors, slow int) *testEnv {
	env := newTestEnv(t, executors)
	env.cell.speeds = nil // nothing is compared anew
	env.cell.slowTimeFactor = 2.2
	for _, v := range env.cell.sortedVMs[:slow] {
		v.certainlySlow, v.timeFactor = true, 2.2
	}
	return env
}

// startedOn returns the sorted IDs of the executors of starts.
func startedOn(orders []ConfirmedStart) []string {
	var ids []string
	for _, o := range orders {
		ids = append(ids, o.Start.To.ID)
	}
	slices.Sort(ids)
	return ids
}

// A task that would be late on a slow executor waits for a faster one while it can still be
// in time there, and no longer.
func TestTaskWaitsForFasterExecutor(t *testing.T) {
	env := newSlowFleet(t, 1, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(4), Estimate: 2 * time.Second}) // objective 5 s, slack 3 s
	env.advance(time.Second)
	env.reportAll()
	if ids := startedOn(env.runCycle()); ids != nil {
		t.Fatalf("started on %v with 2 s of slack and 2.4 s more on the slow executor", ids)
	}
	env.advance(2 * time.Second)
	env.reportAll()
	orders := env.runCycle()
	if ids := startedOn(orders); !slices.Equal(ids, []string{"e0"}) {
		t.Fatalf("started on %v after the slack has passed", ids)
	}
	alloc := env.cell.vms["e0"].allocations[orders[0].Order.Run]
	if got := alloc.expectedEnd.Sub(env.now); got != 4400*time.Millisecond {
		t.Errorf("expected to take %v", got)
	}
}

// Short work takes fast executors and work with long slack takes slow ones, whatever capacity
// they would leave over.
func TestWorkIsPlacedBySlack(t *testing.T) {
	env := newSlowFleet(t, 2, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(30), Estimate: 700 * time.Millisecond})
	if ids := startedOn(env.runCycle()); !slices.Equal(ids, []string{"e1"}) {
		t.Errorf("short task started on %v", ids)
	}
	env = newSlowFleet(t, 2, 1)
	config := testQueueConfig()
	config.Queues[0].Stretch = 10
	env.cell.Configure(config)
	env.submitJob(1, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: time.Second})
	if ids := startedOn(env.runCycle()); !slices.Equal(ids, []string{"e0", "e0"}) {
		t.Errorf("task with long slack started on %v", ids)
	}
}

// A gang doesn't mix in a slow executor if it fits on the others, and uses it if it doesn't
// and can be in time all the same.
func TestGangAvoidsSlowExecutors(t *testing.T) {
	env := newSlowFleet(t, 3, 1)
	gang := work.Step{TaskCount: 4, TaskResources: cpus(16), Estimate: 500 * time.Millisecond, Gang: true}
	env.submitJob(1, testQueue, gang)
	if ids := startedOn(env.runCycle()); !slices.Equal(ids, []string{"e1", "e1", "e2", "e2"}) {
		t.Errorf("gang started on %v", ids)
	}
	env = newSlowFleet(t, 3, 1)
	env.submitJob(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(8), Estimate: time.Millisecond, RequiredLabel: "rack-e0"})
	env.runCycle()
	small := gang
	small.TaskCount, small.TaskResources = 1, cpus(24)
	env.submitJob(1, testQueue, small)
	if ids := startedOn(env.runCycle()); len(ids) != 1 || ids[0] == "e0" {
		t.Errorf("gang that would fill the slow executor started on %v", ids)
	}
	env = newSlowFleet(t, 3, 1)
	gang.TaskCount = 5
	env.submitJob(1, testQueue, gang)
	if ids := startedOn(env.runCycle()); !slices.Equal(ids, []string{"e0", "e1", "e1", "e2", "e2"}) {
		t.Errorf("wide gang started on %v", ids)
	}
	env = newSlowFleet(t, 3, 1)
	gang.Estimate = 4 * time.Second // objective 9 s, and 8.8 s on the slow executor
	env.submitJob(1, testQueue, gang)
	env.advance(time.Second)
	env.reportAll()
	if ids := startedOn(env.runCycle()); ids != nil {
		t.Errorf("gang that would be late on the slow executor started on %v", ids)
	}
	env.advance(4 * time.Second)
	env.reportAll()
	if ids := startedOn(env.runCycle()); len(ids) != 5 {
		t.Errorf("gang without slack started on %v", ids)
	}
}

// Advice calls name the executors that the step would start on. Otherwise its tickets are for
// executors that it doesn't use.
func TestCandidatesBySpeed(t *testing.T) {
	for name, c := range map[string]struct {
		step  work.Step
		first string // of two executors named, e0 being slow
		slots int    // on the slow executor
	}{
		"urgent": {work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: 8 * time.Second}, "e1", 0},
		"long":   {work.Step{TaskCount: 1, TaskResources: cpus(16), Estimate: 200 * time.Millisecond}, "e0", 2},
		"gang":   {work.Step{TaskCount: 2, TaskResources: cpus(16), Estimate: 500 * time.Millisecond, Gang: true}, "e1", 2},
	} {
		env := newSlowFleet(t, 2, 1)
		env.submitJob(1, testAdvisedQueue, c.step)
		env.cell.orderSteps(env.now)
		s := env.cell.orderedSteps[0]
		q := env.cell.queueOf(s.job)
		cands := env.cell.snapshot(env.now).candidatesFor(s, q, env.now)
		named := env.cell.chooseCandidates(cands.unknown, s, q, c.step.TaskCount, 100, false)
		if len(named) != 2 || named[0].vm.Ref.ID != c.first {
			t.Fatalf("%s: named %v", name, executorIDs(named))
		}
		for _, cand := range named {
			if cand.vm.certainlySlow && cand.slots != c.slots {
				t.Errorf("%s: %d slots on the slow executor, want %d", name, cand.slots, c.slots)
			}
		}
	}
}

// newFastFleet returns a cell in which executors e0 and following are certainly fast by 2.2.
func newFastFleet(t *testing.T, executors, fast int) *testEnv {
	env := newTestEnv(t, executors)
	env.cell.speeds = nil // nothing is compared anew
	env.cell.fastTimeFactor = 1 / 2.2
	for _, v := range env.cell.sortedVMs[:fast] {
		v.certainlyFast, v.timeFactor = true, 1/2.2
	}
	return env
}

// Where most executors are of one speed and a few are faster, the fast ones go to work with little
// slack. A gang on both kinds would occupy the fast ones for as long as its slowest member runs.
func TestFastExecutorsAreLeftToWorkThatUsesThem(t *testing.T) {
	for name, c := range map[string]struct {
		step work.Step
		fast int // tasks on the two fast ones of four executors
	}{
		"gang that fits on typical executors": {work.Step{TaskCount: 2, TaskResources: cpus(20), Estimate: 3 * time.Second, Gang: true}, 0},
		"gang that needs all executors":       {work.Step{TaskCount: 4, TaskResources: cpus(20), Estimate: 3 * time.Second, Gang: true}, 2},
		"short task":                          {work.Step{TaskCount: 2, TaskResources: cpus(20), Estimate: 3 * time.Second}, 2},
	} {
		env := newFastFleet(t, 4, 2)
		env.submitJob(1, testQueue, c.step)
		ids := startedOn(env.runCycle())
		fast := 0
		for _, id := range ids {
			if env.cell.vms[id].certainlyFast {
				fast++
			}
		}
		if len(ids) != c.step.TaskCount || fast != c.fast {
			t.Errorf("%s: started on %v, %d of them fast, want %d", name, ids, fast, c.fast)
		}
	}
}

// A run on a fast executor is expected to end earlier, unless the executor has become slow.
func TestExpectedTimeOnFastExecutor(t *testing.T) {
	env := newFastFleet(t, 1, 1)
	env.submitJob(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(1), Estimate: 2200 * time.Millisecond})
	s, v := env.cell.waitingSteps[0], env.cell.sortedVMs[0]
	if got := v.expectedTime(s, env.now).Round(time.Millisecond); got != time.Second {
		t.Errorf("expected to take %v", got)
	}
	v.markSlow(3, env.now)
	if got := v.expectedTime(s, env.now).Round(time.Millisecond); got != 6600*time.Millisecond {
		t.Errorf("expected to take %v on an executor that has become slow", got)
	}
}
