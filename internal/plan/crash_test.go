package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/work"
)

// crowd hands in healthy jobs, one each second, and returns them.
func (p *crashPlay) crowd(first byte, jobs int) []*work.Job {
	var crowd []*work.Job
	for i := range jobs {
		p.after(time.Duration(i)*time.Second, func() {
			crowd = append(crowd, p.job(first+byte(i), testQueue, work.Step{Tasks: 6, Need: cpus(4), Estimate: time.Second}))
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

func TestTaskThatCrashesItsExecutorsIsNotStartedForEver(t *testing.T) {
	p := newCrashPlay(t, 12, crashers(1, 2))
	p.crowd(10, 58)
	p.runFor(5 * time.Second)
	bad := []*work.Job{
		p.job(1, testQueue, work.Step{Tasks: 1, Need: cpus(2), Estimate: time.Second}),
		p.job(2, testQueue, work.Step{Tasks: 1, Need: cpus(2), Estimate: time.Second}),
	}
	p.runFor(115 * time.Second)
	p.checkBudget()
	for _, j := range bad {
		if state := p.state(j.ID); state != work.Failed {
			t.Errorf("job %v, whose task crashes its executors, is %v", j.ID, state)
		}
	}
}

func TestStartsAreNotRepeatedAtAnExecutorThatIsNotReached(t *testing.T) {
	p := newCrashPlay(t, 2, crashers())
	p.runFor(time.Second)
	p.crash("e0")
	p.runFor(100 * time.Millisecond)
	j := p.job(1, testQueue, work.Step{Tasks: 1, Need: cpus(2), Estimate: time.Second})
	p.runFor(crashedFor)
	if state := p.state(j.ID); state != work.Completed {
		t.Errorf("the job is %v", state)
	}
	const most = 2 // one that isn't made tells that the executor isn't there
	if p.cell.failures.notReached >= most {
		t.Errorf("%d starts were sent to an executor that is not there", p.cell.failures.notReached)
	}
}
