package plan

import (
	"maps"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// crowd hands in healthy jobs, one each second, and returns them.
func (p *crashPlay) crowd(first byte, jobs int) []*work.Job {
	var crowd []*work.Job
	for i := range jobs {
		p.after(time.Duration(i)*time.Second, func() {
			crowd = append(crowd, p.job(first+byte(i), testQueue, work.Step{TaskCount: 6, TaskResources: cpus(4), Estimate: time.Second}))
		})
	}
	p.t.Cleanup(func() {
		for _, j := range crowd {
			if state := p.state(j.ID); state != work.Completed {
				p.t.Errorf("job %v, which crashes nothing, is %v", j.ID, state)
			}
		}
	})
	return crowd
}

// crashers has the task number 0 of the jobs with such a first byte of their ID crash its
// executors.
func crashers(ids ...byte) func(work.TaskKey) behaviour {
	return func(t work.TaskKey) behaviour {
		for _, id := range ids {
			if t.Job[0] == id && t.Index == 0 {
				return behaviour{crashes: crashesAtOnce, takes: time.Second}
			}
		}
		return behaviour{takes: time.Second}
	}
}

func TestCrashingTaskIsNotRestartedForever(t *testing.T) {
	p := newCrashPlay(t, 12, crashers(1, 2))
	p.crowd(10, 58)
	p.runFor(5 * time.Second)
	bad := []*work.Job{
		p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second}),
		p.job(2, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second}),
	}
	p.runFor(115 * time.Second)
	p.checkBudget()
	for _, j := range bad {
		if state := p.state(j.ID); state != work.Failed {
			t.Errorf("job %v, whose task crashes its executors, is %v", j.ID, state)
		}
	}
}

func TestStartIsNotRepeatedOnUnreachableExecutor(t *testing.T) {
	p := newCrashPlay(t, 2, crashers())
	p.runFor(time.Second)
	p.crash("e0")
	p.runFor(100 * time.Millisecond)
	j := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	p.runFor(crashedFor)
	if state := p.state(j.ID); state != work.Completed {
		t.Errorf("the job is %v", state)
	}
	const most = 2 // one that isn't made tells that the executor isn't there
	if p.cell.failedStarts.notReached >= most {
		t.Errorf("%d starts were sent to an executor that is not there", p.cell.failedStarts.notReached)
	}
}

func TestMassCrashesFailNoHealthyJob(t *testing.T) {
	p := newCrashPlay(t, 12, crashers(1, 2, 3, 4, 5, 6))
	p.crowd(10, 58)
	gang := p.job(7, testQueue, work.Step{TaskCount: 24, TaskResources: cpus(9), Estimate: time.Second, Gang: true})
	for n := byte(1); n <= 6; n++ {
		p.after(time.Duration(n)*3*time.Second, func() {
			p.job(n, testQueue, work.Step{TaskCount: 4, TaskResources: cpus(2), Estimate: time.Second})
		})
	}
	for i := range 3 {
		p.after(time.Duration(10+5*i)*time.Second, func() {
			for k, id := range p.ids() {
				if k%3 == i {
					p.crash(id)
				}
			}
		})
	}
	for i := range 4 {
		p.after(time.Duration(20+20*i)*time.Second, p.lead)
	}
	p.runFor(120 * time.Second)
	p.checkBudget()
	if state := p.state(gang.ID); state != work.Completed {
		t.Errorf("the gang is %v", state)
	}
	for n := byte(1); n <= 6; n++ {
		if state := p.state(work.ID{n}); state != work.Failed {
			t.Errorf("job %d, whose first task crashes its executors, is %v", n, state)
		}
	}
}

func TestCrashCountSurvivesLeaderChanges(t *testing.T) {
	p := newCrashPlay(t, 12, crashers(1))
	p.crowd(10, 20)
	bad := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second})
	for range 12 {
		p.runFor(3300 * time.Millisecond)
		p.lead()
	}
	p.runFor(60 * time.Second)
	p.checkBudget()
	if state := p.state(bad.ID); state != work.Failed {
		t.Errorf("the job is %v", state)
	}
}

func TestCutOffOrLeavingExecutorsCountNoCrash(t *testing.T) {
	p := newCrashPlay(t, 4, func(work.TaskKey) behaviour { return behaviour{takes: 40 * time.Second} })
	j := p.job(1, testQueue, work.Step{TaskCount: 8, TaskResources: cpus(4), Estimate: 40 * time.Second})
	p.runFor(time.Second)
	for range 3 {
		for _, id := range p.ids() {
			p.executors[id].cut = true
		}
		p.runFor(6 * time.Second)
		for _, id := range p.ids() {
			p.executors[id].cut = false
		}
		p.runFor(time.Second)
	}
	for _, id := range p.ids()[:2] {
		leaving := *p.listed[id]
		leaving.Draining = true
		listed := maps.Clone(p.listed)
		listed[id] = &leaving
		p.list(listed)
		p.runFor(time.Second)
		p.crash(id)
	}
	p.runFor(10 * time.Second)
	for _, s := range p.cell.jobs[j.ID].activeOccurrences[0].steps {
		for _, task := range s.tasks {
			if task.losses.crashes > 0 {
				t.Errorf("task %v is held to have crashed %d executors", task.key(), task.losses.crashes)
			}
		}
	}
}

func TestHealthyServiceIsNotBlamedForLaterCrashes(t *testing.T) {
	p := newCrashPlay(t, 4, func(work.TaskKey) behaviour { return behaviour{takes: time.Hour} })
	j := p.job(1, testQueue, work.Step{TaskCount: 1, TaskResources: cpus(2), Estimate: time.Second, LongRunning: true})
	for range 8 {
		p.runFor(lossForgetTime + 2*time.Second)
		p.crash(p.cell.jobs[j.ID].activeOccurrences[0].steps[0].tasks[0].incarnation.ID)
		p.runFor(5 * time.Second)
	}
	if state := p.state(j.ID); state.Final() {
		t.Errorf("the service is %v", state)
	}
}

// checkFails plays a job whose first task crashes its executors, beside healthy ones.
func (p *crashPlay) checkFails(healthy int, step work.Step, d time.Duration) {
	p.t.Helper()
	p.crowd(10, healthy)
	j := p.job(1, testQueue, step)
	p.runFor(d)
	p.checkBudget()
	if state := p.state(j.ID); state != work.Failed {
		p.t.Errorf("the job is %v", state)
	}
}

func TestCrashingServiceIsNotRestartedForever(t *testing.T) {
	p := newCrashPlay(t, 6, crashers(1))
	p.checkFails(30, work.Step{TaskCount: 3, TaskResources: cpus(2), Estimate: time.Second, LongRunning: true}, 60*time.Second)
}

func TestCrashingGangIsNotRestartedForever(t *testing.T) {
	p := newCrashPlay(t, 12, crashers(1))
	p.checkFails(50, work.Step{TaskCount: 10, TaskResources: cpus(9), Estimate: time.Second, Gang: true}, 90*time.Second)
}
