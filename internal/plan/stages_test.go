package plan

import (
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/internal/account"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/work"
)

// The stages of a job with a dependent step, a failed run and a wait for capacity add up to the time
// from its arrival to its end.
func TestStagesOfAJobAddUp(t *testing.T) {
	env := newTestEnv(t, 0)
	env.advance(time.Second) // a job that arrived before this leader took over counts as inherited
	env.addExecutor("x")
	j := &work.Job{ID: work.ID{1}, Queue: testQueue, Service: testService, AcceptedMs: env.now.Add(-30 * time.Millisecond).UnixMilli(), Steps: []work.Step{
		{TaskCount: 2, TaskResources: cpus(20), Estimate: time.Second}, // the second task waits for the first
		{TaskCount: 1, TaskResources: cpus(1), Estimate: time.Second, DependsOn: []int{0}},
	}}
	env.submit(j)
	planned := env.cell.jobs[j.ID]
	reasons := []platform.EndReason{platform.EndFailed, platform.EndDone, platform.EndDone, platform.EndDone}
	for i, reason := range reasons {
		env.advance(20 * time.Millisecond)
		orders := env.runCycle()
		if len(orders) != 1 {
			t.Fatalf("%d starts in round %d", len(orders), i)
		}
		env.confirmStarts(orders)
		env.runCycle()
		env.advance(time.Second)
		env.report("x", nil, ended(uint64(i+1), orders[0].Start.Run, reason))
	}
	if planned.state != work.Completed {
		t.Fatalf("the job is %v", planned.state)
	}
	if got, want := planned.times.Total(), env.now.Sub(planned.arrivedAt); got != want {
		t.Errorf("the stages take %v, the job took %v", got, want)
	}
	for stage, want := range map[account.Stage]time.Duration{
		account.Arrival: 30 * time.Millisecond, account.Run: 2 * time.Second,
	} {
		if got := planned.times.Of(stage); got != want {
			t.Errorf("%v in stage %v, want %v", got, stage, want)
		}
	}
	if planned.times.Of(account.Processors)+planned.times.Of(account.Repeated) < time.Second {
		t.Errorf("neither the wait for capacity nor the failed run shows: %v", planned.times)
	}
}
