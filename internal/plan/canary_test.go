package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// crashingJobs has all tasks of the jobs with such a first byte of their ID crash their
// executors.
func crashingJobs(ids ...byte) func(work.TaskKey) behaviour {
	one := crashers(ids...)
	return func(t work.TaskKey) behaviour {
		t.Index = 0
		return one(t)
	}
}

func TestWideCrashingStepLosesOnlyFirstExecutors(t *testing.T) {
	const (
		executors  = 48
		tasks      = 200
		firstWave  = 13 // executors that hold 200 tasks of 2 processors
		afterwards = 2
	)
	p := newCrashPlay(t, executors, crashingJobs(1))
	p.crowd(10, 58)
	p.runFor(5 * time.Second)
	bad := p.job(1, testQueue, work.Step{TaskCount: tasks, TaskResources: cpus(2), Estimate: time.Second})
	p.runFor(90 * time.Second)
	p.checkBudget()
	if p.lost > firstWave+afterwards {
		t.Errorf("%d executors were lost, want %d at most", p.lost, firstWave+afterwards)
	}
	if state := p.state(bad.ID); state != work.Failed {
		t.Errorf("the job is %v", state)
	}
}

func TestCanaryForImageOfFailedJob(t *testing.T) {
	p := newCrashPlay(t, 48, crashingJobs(1, 2))
	image := work.Step{TaskCount: 100, TaskResources: cpus(2), Estimate: time.Second, Image: "crashing"}
	p.job(1, testQueue, image)
	p.runFor(30 * time.Second)
	before := p.lost
	p.job(2, testQueue, image)
	p.runFor(30 * time.Second)
	const most = 2 // of a job of which each task starts alone
	if lost := p.lost - before; lost > most {
		t.Errorf("%d executors were lost under the second job, want %d at most", lost, most)
	}
	for id := byte(1); id <= 2; id++ {
		if state := p.state(work.ID{id}); state != work.Failed {
			t.Errorf("job %d is %v", id, state)
		}
	}
}

func TestCanaryEndsWithFirstSuccessfulRun(t *testing.T) {
	p := newCrashPlay(t, 12, crashers())
	j := p.job(1, testQueue, work.Step{TaskCount: 150, TaskResources: cpus(2), Estimate: time.Second})
	p.runFor(300 * time.Millisecond)
	for _, id := range p.ids()[:4] {
		p.crash(id)
	}
	took := time.Duration(0)
	for ; took < 30*time.Second && p.state(j.ID) != work.Completed; took += time.Second {
		p.runFor(time.Second)
	}
	// The lost runs are known to be lost after some 3 s; the canary and the other tasks take
	// a run's time each.
	if most := 7 * time.Second; took > most {
		t.Errorf("the job has ended after %v, want %v at most", took, most)
	}
}

// Under a job that has its executors for itself three crash by chance, the third under a
// task that has lost one before.
func TestCrashThatStartsCanaryDoesNotFailJob(t *testing.T) {
	w := newWorld(t, 3)
	j := w.job(1, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(30), Estimate: time.Minute})
	w.startAll(w.cycle())
	tasks := w.cell.jobs[j.ID].activeOccurrences[0].steps[0].tasks
	tasks[2].losses.crashes = 1
	for _, task := range tasks {
		w.pass(time.Second)
		w.reportAll()
		w.cell.HandleExecutorLoss(w.ref(task.incarnation.ID), OtherIncarnation, w.now)
	}
	if state := w.cell.jobs[j.ID]; state == nil {
		t.Error("the job is given up")
	}
}
