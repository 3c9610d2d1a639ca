package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/assist"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Admission once limited the total backlog and applied that limit to every job alike. After all
// machines had lost power, a third of the executors were unresponsive and a new leader took over
// 209 steps, 53 of them wide gangs. It served 91 of 102 requests. Then, 12 s after the loss, the
// backlog came to 8 s of the remaining capacity and every job was refused for more than 6 s,
// while a quarter of the executors' capacity was free: 14 of 175 requests were served. Of 1,266
// refusals 1,262 were due to that limit and one to the wait of the job itself; 1,028 of the
// refused jobs had almost nothing ahead of them.
//
// Here two gangs that do not fit make up a backlog of 10 s of the executor's time. The executor is
// idle when a job is submitted that needs a hundredth of it for half a second.
func TestBacklogDoesNotRefuseJobsThatCanStartImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		gang := work.Step{TaskCount: 2, TaskResources: api.Resources{MilliCPU: 20_000}, Estimate: 4 * time.Second, Gang: true}
		for n := range byte(2) {
			r := p.recordOf(n, gang)
			p.store.put(jobsPartition, r.Key, string(r.Value)) // accepted by a former leader
		}
		p.register("ready")
		p.takeOver()
		time.Sleep(20 * time.Second) // both gangs are far past their objective
		check := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 300}, Estimate: 500 * time.Millisecond}
		submittedAt := time.Now()
		results := p.runner.Store(t.Context(), []platform.Record{p.recordOf(9, check)})
		if results[0].Outcome != assist.Stored {
			t.Errorf("outcome %v, retry after %v, with an idle executor; want Stored", results[0].Outcome, results[0].RetryAfter)
		} else {
			p.awaitRuns(1)
			if took := time.Since(submittedAt); took > 250*time.Millisecond {
				t.Errorf("started after %v on an idle executor", took)
			}
		}
		p.stop()
	})
}

// Late gangs that wait for capacity at one moment don't make new jobs be refused, since new jobs start
// before them. With these gangs in the backlog new jobs got half of the capacity, whatever was free.
func TestLateBacklogDoesNotRefuseNewJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestCell(t)
		gang := work.Step{TaskCount: 2, TaskResources: api.Resources{MilliCPU: 20_000}, Estimate: 4 * time.Second, Gang: true}
		for n := range byte(2) {
			r := p.recordOf(n, gang)
			p.store.put(jobsPartition, r.Key, string(r.Value)) // accepted by a former leader
		}
		p.register("ready")
		p.takeOver()
		time.Sleep(20 * time.Second) // both gangs, which need 10 s of the executor, are far past their objective
		short := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 3200}, Estimate: time.Second}
		for n := range byte(10) { // together they need 1 s of the executor
			if got := p.runner.Store(t.Context(), []platform.Record{p.recordOf(100+n, short)})[0]; got.Outcome != assist.Stored {
				t.Errorf("job %d: outcome %v, retry after %v, with an idle executor; want Stored", n, got.Outcome, got.RetryAfter)
			}
		}
		p.stop()
	})
}

// Gangs that can be in time but fit nowhere don't make jobs be refused for which the executor is free:
// neither for the length of their backlog nor because they start before the job.
func TestGangsThatFitNowhereDoNotRefuseJobs(t *testing.T) {
	for name, age := range map[string]time.Duration{"backlog": 2 * time.Second, "wait": 4 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTestCell(t)
				gang := work.Step{TaskCount: 2, TaskResources: api.Resources{MilliCPU: 20_000}, Estimate: 4 * time.Second, Gang: true}
				for n := range byte(5) { // they need 25 s of the executor
					r := p.recordOf(n, gang)
					p.store.put(jobsPartition, r.Key, string(r.Value)) // accepted by a former leader
				}
				p.register("ready")
				p.takeOver()
				time.Sleep(age) // the gangs can be in time until 5 s
				short := work.Step{TaskCount: 1, TaskResources: api.Resources{MilliCPU: 3200}, Estimate: time.Second}
				for n := range byte(10) { // together they fill the executor
					if got := p.runner.Store(t.Context(), []platform.Record{p.recordOf(100+n, short)})[0]; got.Outcome != assist.Stored {
						t.Errorf("job %d: outcome %v, retry after %v, with a free executor; want Stored", n, got.Outcome, got.RetryAfter)
					}
				}
				p.stop()
			})
		})
	}
}
