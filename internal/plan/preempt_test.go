package plan

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/queue"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Queues of these tests, the most urgent first.
const (
	urgentQueue      = "checks"
	gangQueue        = "gangs"
	preemptibleQueue = "rosters"
)

// newPriorityEnv returns a testEnv whose queues have different priorities.
func newPriorityEnv(t *testing.T, executors int) *testEnv {
	env := newTestEnv(t, executors)
	env.cell.Configure(&queue.Configuration{
		Queues: []queue.Queue{
			{Name: urgentQueue, Service: testService, Priority: 0, MaxAttempts: 2, Stretch: 1.5, TargetLatency: 250 * time.Millisecond},
			{Name: gangQueue, Service: testService, Priority: 1, MaxAttempts: 2, Stretch: 1.5, TargetLatency: time.Second},
			{Name: preemptibleQueue, Service: testService, Priority: 2, MaxAttempts: 2, Stretch: 4, TargetLatency: 3 * time.Second},
		},
		Services: map[string]queue.Service{testService: {Name: testService}},
	})
	return env
}

// startUntilPreemptible starts what is planned and advances the clock until the runs may be
// preempted.
func (env *testEnv) startUntilPreemptible() {
	env.confirmStarts(env.runCycle())
	env.advance(minPreemptedRunTime)
	env.reportAll()
}

// submitPreemptible submits a job of a queue whose runs gangs may preempt.
func (env *testEnv) submitPreemptible(n byte, tasks int, checkpoints bool) *work.Job {
	return env.submitJob(n, preemptibleQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 4 * time.Second, SavesCheckpoints: checkpoints})
}

// reportStopped has executors report that stopped runs have ended with a checkpoint.
func (env *testEnv) reportStopped(stops []Stop) {
	for _, s := range stops {
		v := env.cell.vms[s.To.ID]
		var runs []platform.Run
		for run := range v.allocations {
			if run != s.Run {
				runs = append(runs, run)
			}
		}
		env.report(s.To.ID, running(runs...), []platform.EndedRun{{Number: v.appliedEnds + 1, Run: s.Run, Reason: platform.EndStopped, Checkpoint: "saved"}})
	}
}

// Narrow runs that can wait fill all executors, so a gang never finds enough free capacity at
// one moment unless some of them are preempted.
func TestGangPreemptsLessUrgentRuns(t *testing.T) {
	env := newPriorityEnv(t, 4)
	preempted := env.submitPreemptible(1, 16, true)
	env.startUntilPreemptible()
	env.submitJob(2, gangQueue, work.Step{TaskCount: 4, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
	if starts := env.runCycle(); len(starts) > 0 {
		t.Fatalf("%d tasks started without free capacity", len(starts))
	}
	stops := env.cell.TakeStops(env.now)
	if len(stops) != 12 {
		t.Fatalf("%d runs stopped, want 3 on each executor", len(stops))
	}
	env.advance(200 * time.Millisecond)
	env.reportStopped(stops)
	starts := env.runCycle()
	if len(starts) != 4 {
		t.Fatalf("%d tasks of the gang started, want 4", len(starts))
	}
	for _, s := range env.cell.jobs[preempted.ID].activeOccurrences[0].steps[0].tasks {
		if s.phase == work.Pending && s.checkpoint != "saved" {
			t.Error("a preempted task has lost its checkpoint")
		}
	}
}

// A run is preempted for a gang only if its queue is less urgent and its job loses nothing
// but spare time. A run without checkpoints would lose its work.
func TestPreemptibleRuns(t *testing.T) {
	const tasks = 16
	for _, c := range []struct {
		name      string
		fill      func(env *testEnv) // fills four executors
		age       time.Duration      // time from the start of the runs to the gang's arrival
		queue     string             // queue of the gang
		preempted bool
	}{
		{"job can wait", func(env *testEnv) { env.submitPreemptible(1, tasks, true) }, 0, gangQueue, true},
		{"no checkpoints", func(env *testEnv) { env.submitPreemptible(1, tasks, false) }, 0, gangQueue, false},
		{"no spare time left", func(env *testEnv) { env.submitPreemptible(1, tasks, true) }, 14 * time.Second, gangQueue, false},
		{"same queue as the gang", func(env *testEnv) { env.submitPreemptible(1, tasks, true) }, 0, preemptibleQueue, false},
		{"more urgent queue", func(env *testEnv) {
			env.submitJob(1, urgentQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 20 * time.Second, SavesCheckpoints: true})
		}, 0, gangQueue, false},
		{"member of a gang", func(env *testEnv) {
			env.submitJob(1, preemptibleQueue, work.Step{TaskCount: tasks, TaskResources: cpus(8), Estimate: 4 * time.Second, SavesCheckpoints: true, Gang: true})
		}, 0, gangQueue, false},
	} {
		env := newPriorityEnv(t, 4)
		c.fill(env)
		env.startUntilPreemptible()
		env.advance(c.age)
		env.reportAll()
		env.submitJob(2, c.queue, work.Step{TaskCount: 4, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
		env.runCycle()
		if stops := env.cell.TakeStops(env.now); (len(stops) > 0) != c.preempted {
			t.Errorf("%s: %d runs preempted", c.name, len(stops))
		}
	}
}

// No run is preempted for a gang that wouldn't fit even then.
func TestNoPreemptionIfGangStillDoesNotFit(t *testing.T) {
	env := newPriorityEnv(t, 4)
	env.submitPreemptible(1, 16, true)
	env.startUntilPreemptible()
	env.submitJob(2, gangQueue, work.Step{TaskCount: 5, TaskResources: cpus(18), Estimate: 4 * time.Second, Gang: true})
	env.runCycle()
	if stops := env.cell.TakeStops(env.now); len(stops) > 0 {
		t.Errorf("%d runs preempted, although five tasks don't fit on four executors", len(stops))
	}
}

// preemptionSimulation submits gangs while runs that can wait fill the executors.
type preemptionSimulation struct {
	*testEnv
	rand         *rand.Rand
	runEnds      map[platform.Run]time.Time
	stopCounts   map[work.TaskKey]int
	waitingGangs map[work.ID]time.Time // gangs that have not started, with their arrival
}

// step advances the simulation by 50 ms: runs end, and a cycle is run.
func (sim *preemptionSimulation) step() {
	sim.advance(50 * time.Millisecond)
	for id, v := range sim.cell.vms {
		var runs []platform.Run
		var ended []platform.EndedRun
		number := v.appliedEnds
		for run, alloc := range v.allocations {
			end, timed := sim.runEnds[run]
			switch {
			case alloc.stopRequested:
				number++
				ended = append(ended, platform.EndedRun{Number: number, Run: run, Reason: platform.EndStopped, Checkpoint: "saved"})
			case timed && !end.After(sim.now):
				number++
				ended = append(ended, platform.EndedRun{Number: number, Run: run, Reason: platform.EndDone})
			default:
				runs = append(runs, run)
			}
		}
		sim.report(id, running(runs...), ended)
	}
	starts := sim.runCycle()
	sim.confirmStarts(starts)
	gangEnds := make(map[work.ID]time.Time) // all members of a gang end together
	for _, s := range starts {
		run := s.Start.Run
		spec := sim.submittedJobs[run.Task.Job].Steps[0]
		end, known := gangEnds[run.Task.Job]
		if !known || !spec.Gang {
			end = sim.now.Add(time.Duration((0.5 + sim.rand.Float64()) * float64(spec.Estimate)))
			gangEnds[run.Task.Job] = end
		}
		sim.runEnds[run] = end
		delete(sim.waitingGangs, run.Task.Job)
	}
	for _, s := range sim.cell.TakeStops(sim.now) {
		sim.stopCounts[s.Run.Task]++
	}
}

// No task may be preempted more often than allowed or for a less urgent gang, and no gang may
// wait for more than 4 s where preemption would make enough capacity free.
func TestPreemptionIsBounded(t *testing.T) {
	for seed := range uint64(30) {
		sim := &preemptionSimulation{
			testEnv: newPriorityEnv(t, 8), rand: rand.New(rand.NewPCG(seed, 1)),
			runEnds: make(map[platform.Run]time.Time), stopCounts: make(map[work.TaskKey]int), waitingGangs: make(map[work.ID]time.Time),
		}
		n := byte(0)
		for i := range 800 { // 40 s
			if i%30 == 0 && i < 500 { // 0.9 of the executors' capacity in all
				n++
				sim.submitPreemptible(n, 4+sim.rand.IntN(8), true)
			}
			if i%60 == 30 && i < 500 { // up to three gangs at a time, which fit together
				n++
				j := sim.submitJob(n, gangQueue, work.Step{TaskCount: 1 + sim.rand.IntN(2), TaskResources: cpus(18), Estimate: 3 * time.Second, Gang: true})
				sim.waitingGangs[j.ID] = sim.now
			}
			sim.step()
			for id, since := range sim.waitingGangs {
				if sim.now.Sub(since) > 4*time.Second {
					t.Errorf("seed %d: gang %s has waited for %v while preemptible runs fill most executors", seed, id, sim.now.Sub(since))
					delete(sim.waitingGangs, id)
				}
			}
		}
		for task, stops := range sim.stopCounts {
			if queueName := sim.submittedJobs[task.Job].Queue; stops > maxPreemptions || queueName != preemptibleQueue {
				t.Errorf("seed %d: task %s of queue %s was preempted %d times", seed, task, queueName, stops)
			}
		}
		if left := len(sim.cell.jobs); left > 0 {
			t.Errorf("seed %d: %d jobs have not ended", seed, left)
		}
	}
}
