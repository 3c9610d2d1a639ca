package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// trialPlay runs services and short jobs on executors, one of which may fail everything that starts there.
type trialPlay struct {
	*testEnv
	badExecutor string
	badJob      func(work.ID) bool
	active      map[platform.Run]activeRun
	ends        map[string]uint64     // number of the newest end, by executor
	ready       map[work.ID]time.Time // since when a task of a sound service waits for a start
	longestWait time.Duration
	badStarts   int // runs that started on the bad executor
}

type activeRun struct {
	executor string
	endsAt   time.Time // zero: it runs until it is stopped
	reason   platform.EndReason
}

const (
	trialStep    = 50 * time.Millisecond
	trialFailure = 300 * time.Millisecond // from the start of a bad run to its failure
	// maxTrialWait is how long the platform lets a task that could run wait.
	maxTrialWait = 3 * time.Second
)

// step plans once and has executors start and end runs.
func (p *trialPlay) step() {
	for _, o := range p.runCycle() {
		run, id := o.Start.Run, o.Start.To.ID
		a := activeRun{executor: id}
		switch spec := p.submittedJobs[run.Task.Job]; {
		case id == p.badExecutor, p.badJob(run.Task.Job):
			a.endsAt, a.reason = p.now.Add(trialFailure), platform.EndFailed
		case !spec.LongRunning():
			a.endsAt, a.reason = p.now.Add(spec.Steps[0].Estimate), platform.EndDone
		}
		if id == p.badExecutor {
			p.badStarts++
		}
		if since, waits := p.ready[run.Task.Job]; waits {
			p.longestWait = max(p.longestWait, p.now.Sub(since))
			delete(p.ready, run.Task.Job)
		}
		p.active[run] = a
		p.confirmStarts([]ConfirmedStart{o})
	}
	p.advance(trialStep)
	rows, ended := make(map[string][]platform.RunningTask), make(map[string][]platform.EndedRun)
	for run, a := range p.active {
		if a.endsAt.IsZero() || p.now.Before(a.endsAt) {
			rows[a.executor] = append(rows[a.executor], running(run)...)
			continue
		}
		p.ends[a.executor]++
		ended[a.executor] = append(ended[a.executor], platform.EndedRun{Number: p.ends[a.executor], Run: run, Reason: a.reason})
		delete(p.active, run)
		if p.submittedJobs[run.Task.Job].LongRunning() && !p.badJob(run.Task.Job) {
			p.ready[run.Task.Job] = p.now
		}
	}
	for id := range p.registry {
		p.report(id, rows[id], ended[id])
	}
}

// fail ends one run of a job as failed.
func (p *trialPlay) fail(id work.ID) {
	for run, a := range p.active {
		if run.Task.Job == id {
			a.endsAt, a.reason = p.now, platform.EndFailed
			p.active[run] = a
			return
		}
	}
}

// Failing services put all executors on trial, and a sound service beside them waited 16 s for a place. A trial
// is for executors on which sound tasks fail.
func TestFailingServicesCostSoundOnesNoPlace(t *testing.T) {
	const executors = 6
	for _, c := range []struct {
		name                     string
		badServices, badExecutor bool
	}{
		{"bad services", true, false},
		{"a bad executor", false, true},
		{"both", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			service := work.Step{TaskCount: executors - 1, TaskResources: cpus(1), Estimate: time.Second, LongRunning: true, MaxPerVM: 1}
			p := &trialPlay{
				testEnv: newTestEnv(t, executors), active: make(map[platform.Run]activeRun), ends: make(map[string]uint64), ready: make(map[work.ID]time.Time),
				badJob: func(id work.ID) bool { return id[0] >= 0x80 },
			}
			if c.badExecutor {
				p.badExecutor = "e0"
			}
			sound := []work.ID{{1}, {2}}
			for _, id := range sound {
				p.submitJob(id[0], testQueue, service)
			}
			if c.badServices {
				for n := byte(0x80); n < 0x82; n++ {
					p.submitJob(n, testQueue, work.Step{TaskCount: 3, TaskResources: cpus(1), Estimate: time.Second, LongRunning: true})
				}
			}
			short := byte(3)
			for i := range 600 {
				if i%10 == 0 && i < 300 {
					p.submitJob(short, testQueue, work.Step{TaskCount: 2, TaskResources: cpus(1), Estimate: 200 * time.Millisecond})
					short++
				}
				if i > 100 && i%100 == 0 {
					p.fail(sound[i/100%2])
				}
				p.step()
			}
			if p.longestWait > maxTrialWait {
				t.Errorf("a task of a sound service waited %v for a place", p.longestWait)
			}
			for n := byte(3); n < short; n++ {
				if s := p.savedProgress[work.ID{n}].State; s != work.Completed {
					t.Errorf("job %d is %v", n, s)
				}
			}
			t.Logf("longest wait %v, %d starts on the bad executor", p.longestWait, p.badStarts)
		})
	}
}
